package instance

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// monitor runs the failover machine of one group.
type monitor struct {
	instance *Instance
	name     string
	group    *engine.Group[*endpoint.Conn]
	mu       sync.Mutex
	machine  *failover.Machine
	ctx      context.Context
	// confirmedAt is when the primary was last known to lead, and lapsedAt that time once the lease has run out.
	confirmedAt time.Time
	lapsedAt    time.Time
}

// Timing of the failover machine, as multiples of what the instance is set to.
const (
	suspectProbes = 4
	refusedAfter  = 150 * time.Millisecond
	stagger       = 300 * time.Millisecond
	stepTimeout   = 300 * time.Millisecond
	takeOverExtra = 1500 * time.Millisecond
	catchUp       = time.Second
)

func newMonitor(i *Instance, name string, members []engine.Address) *monitor {
	var names []string
	for _, m := range members {
		names = append(names, m.Endpoint)
	}
	return &monitor{
		instance: i,
		name:     name,
		machine: failover.New(failover.Config{
			Group:         name,
			Instance:      i.cfg.Name,
			Members:       names,
			Lease:         i.cfg.Lease,
			SuspectAfter:  suspectProbes*i.cfg.ProbeInterval + probeTimeout,
			RefusedAfter:  refusedAfter,
			Stagger:       stagger,
			StepTimeout:   stepTimeout,
			TakeOverAfter: i.cfg.Lease + takeOverExtra,
			CatchUp:       catchUp,
		}),
	}
}

// run feeds time and the fleet's size to the machine until ctx ends.
func (m *monitor) run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	ticker := time.NewTicker(monitorTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			rank, others := m.instance.rank("group/" + m.name)
			m.step(failover.Fleet{Others: others, Rank: rank})
			m.step(failover.Tick{})
			m.measureGap(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// measureGap records how long writes were impossible once they are possible again: from the primary's last confirmation on.
func (m *monitor) measureGap(now time.Time) {
	var confirmed time.Time
	m.group.View(func(t *route.Tracker) { confirmed = t.ConfirmedAt() })
	valid := m.group.LeaseValid()
	if confirmed.After(m.confirmedAt) && valid {
		m.confirmedAt = confirmed
	}
	switch {
	case !valid && m.lapsedAt.IsZero():
		m.lapsedAt = m.confirmedAt
	case valid && !m.lapsedAt.IsZero():
		m.instance.recordGap(m.name, now.Sub(m.lapsedAt))
		m.lapsedAt = time.Time{}
	}
}

// step gives the machine an event and carries out its actions.
func (m *monitor) step(e failover.Event) {
	m.mu.Lock()
	ctx := m.ctx
	actions := m.machine.Step(clock.Now(), e)
	m.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, a := range actions {
		m.act(ctx, a)
	}
}

func (m *monitor) act(ctx context.Context, a failover.Action) {
	switch a := a.(type) {
	case failover.AskViews:
		go m.instance.node.Views(ctx, m.name, a.Term, func(v failover.View) { m.step(v) })
	case failover.Claim:
		go m.claim(ctx, a)
	case failover.Fence:
		m.group.Send(a.Endpoint, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
			return c.Fence(ctx, a.Term, a.Attempt)
		})
	case failover.Promote:
		m.group.Send(a.Endpoint, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
			return c.Promote(ctx, a.Term, a.Attempt)
		})
	case failover.Publish:
		go m.publish(ctx, a)
	case failover.Explain:
		m.instance.events.Add(event.Config{Subject: "group/" + m.name, Decision: string(a.Decision), Evidence: a.Evidence})
	}
}

func (m *monitor) claim(ctx context.Context, a failover.Claim) {
	outcome, term := m.instance.cfg.Platform.ClaimTerm(ctx, m.name, a.Term, a.Attempt)
	m.step(failover.ClaimResult{Attempt: a.Attempt, Outcome: outcome, Term: term})
}

// publish records the new primary in the table once that answers.
func (m *monitor) publish(ctx context.Context, a failover.Publish) {
	for ctx.Err() == nil {
		if m.instance.cfg.Platform.PublishTerm(ctx, m.name, a.Term, a.Endpoint) == nil {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// Probed feeds a member's status to the machine.
func (m *monitor) Probed(s group.Status) { m.step(failover.Probed{Status: s}) }

// ProbeFailed feeds a member's silence to the machine.
func (m *monitor) ProbeFailed(endpoint string, refused bool) {
	m.step(failover.ProbeFailed{Endpoint: endpoint, Refused: refused})
}

func (m *monitor) setLeaving(endpoints []string) {
	m.step(failover.Leaving{Endpoints: endpoints})
}

func (m *monitor) lost(term group.Term) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Lost(clock.Now(), term)
}

func (m *monitor) phase() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Phase()
}
