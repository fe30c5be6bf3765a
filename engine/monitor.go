package engine

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Fleet is what a monitor asks of the instances and of the store around it.
type Fleet interface {
	// Place returns this instance's place for a duty among the live ones, 0 first, and how many others there are.
	Place(duty string) (place, others int)
	// Views asks the others whether they have lost the primary of a group's term and calls back with each answer.
	Views(ctx context.Context, group string, term group.Term, take func(failover.View))
	// Claim records in the store that attempt goes for term.
	Claim(ctx context.Context, group string, term group.Term, attempt string) (failover.ClaimOutcome, group.Term)
	// Revoke ends the leases of a group's terms up to term on all instances and reports whether every one of them did.
	Revoke(ctx context.Context, group string, term group.Term) bool
	// Publish records the primary of a term in the store; it fails while the store does not answer.
	Publish(ctx context.Context, group string, term group.Term, endpoint string) error
	// Explain reports a decision with its evidence.
	Explain(subject, decision, evidence string)
	// Gap records how long the writes of a group were impossible.
	Gap(group string, d time.Duration)
}

// Orders sends members the orders of a promotion; the answers come back as probes do.
type Orders interface {
	// Fence asks a member to promise term to attempt.
	Fence(endpoint string, term group.Term, attempt string)
	// Release lets a member go of its promise to an abandoned attempt.
	Release(endpoint string, term group.Term, attempt string)
	// Promote asks a member to lead term for attempt.
	Promote(endpoint string, term group.Term, attempt string)
}

// MonitorConfig describes the monitor of one group.
type MonitorConfig[L Link[L]] struct {
	Failover failover.Config
	Fleet    Fleet
	Orders   Orders
	// Tick is the interval at which time passes for the machine.
	Tick time.Duration
	// PublishPause is the wait before a new primary is published again.
	PublishPause time.Duration
}

// Monitor runs the failover machine of one group; it is safe for concurrent use.
type Monitor[L Link[L]] struct {
	cfg     MonitorConfig[L]
	mu      sync.Mutex
	group   *Group[L]
	machine *failover.Machine
	ctx     context.Context
	// confirmedAt is when the primary was last known to lead, and lapsedAt that time once the lease has run out.
	confirmedAt time.Time
	lapsedAt    time.Time
}

// NewMonitor returns a monitor that acts once Run is called.
func NewMonitor[L Link[L]](cfg MonitorConfig[L]) *Monitor[L] {
	return &Monitor[L]{cfg: cfg, machine: failover.New(cfg.Failover)}
}

// Run feeds time and the fleet's size to the machine of g until ctx ends.
func (m *Monitor[L]) Run(ctx context.Context, g *Group[L]) {
	m.mu.Lock()
	m.ctx = ctx
	m.group = g
	m.mu.Unlock()
	ticker := time.NewTicker(m.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			rank, others := m.cfg.Fleet.Place("group/" + m.cfg.Failover.Group)
			m.Step(failover.Fleet{Others: others, Rank: rank})
			m.Step(failover.Tick{})
			if m.busy() {
				g.Kick()
			}
			m.measureGap(g.cfg.Clock())
		case <-ctx.Done():
			return
		}
	}
}

// busy reports whether a promotion waits for what members say.
func (m *Monitor[L]) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Busy()
}

// measureGap records how long writes were impossible once they are possible again: from the primary's last confirmation on.
func (m *Monitor[L]) measureGap(now time.Time) {
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
		m.cfg.Fleet.Gap(m.cfg.Failover.Group, now.Sub(m.lapsedAt))
		m.lapsedAt = time.Time{}
	}
}

// Step gives the machine an event and carries out its actions.
func (m *Monitor[L]) Step(e failover.Event) {
	m.mu.Lock()
	ctx := m.ctx
	var actions []failover.Action
	if ctx != nil {
		actions = m.machine.Step(m.group.cfg.Clock(), e)
	}
	m.mu.Unlock()
	for _, a := range actions {
		m.act(ctx, a)
	}
}

func (m *Monitor[L]) act(ctx context.Context, a failover.Action) {
	name := m.cfg.Failover.Group
	switch a := a.(type) {
	case failover.AskViews:
		go m.cfg.Fleet.Views(ctx, name, a.Term, func(v failover.View) { m.Step(v) })
	case failover.Claim:
		go m.claim(ctx, a)
	case failover.Fence:
		m.cfg.Orders.Fence(a.Endpoint, a.Term, a.Attempt)
	case failover.Promote:
		m.cfg.Orders.Promote(a.Endpoint, a.Term, a.Attempt)
	case failover.Release:
		m.cfg.Orders.Release(a.Endpoint, a.Term, a.Attempt)
	case failover.Revoke:
		go m.revoke(ctx, a)
	case failover.Publish:
		go m.publish(ctx, a)
	case failover.Explain:
		m.cfg.Fleet.Explain("group/"+name, string(a.Decision), a.Evidence)
	}
}

func (m *Monitor[L]) claim(ctx context.Context, a failover.Claim) {
	outcome, term := m.cfg.Fleet.Claim(ctx, m.cfg.Failover.Group, a.Term, a.Attempt)
	m.Step(failover.ClaimResult{Attempt: a.Attempt, Outcome: outcome, Term: term})
}

func (m *Monitor[L]) revoke(ctx context.Context, a failover.Revoke) {
	if m.cfg.Fleet.Revoke(ctx, m.cfg.Failover.Group, a.Term) {
		m.Step(failover.Revoked{Attempt: a.Attempt})
	}
}

// publish records the new primary in the store once that answers.
func (m *Monitor[L]) publish(ctx context.Context, a failover.Publish) {
	for ctx.Err() == nil {
		if m.cfg.Fleet.Publish(ctx, m.cfg.Failover.Group, a.Term, a.Endpoint) == nil {
			return
		}
		if Sleep(ctx, m.cfg.PublishPause) != nil {
			return
		}
	}
}

// Probed feeds a member's status to the machine.
func (m *Monitor[L]) Probed(s group.Status) { m.Step(failover.Probed{Status: s}) }

// ProbeFailed feeds a member's silence to the machine.
func (m *Monitor[L]) ProbeFailed(endpoint string, refused bool) {
	m.Step(failover.ProbeFailed{Endpoint: endpoint, Refused: refused})
}

// SetLeaving tells which members are to get no new work.
func (m *Monitor[L]) SetLeaving(endpoints []string) {
	m.mu.Lock()
	m.machine.SetLeaving(endpoints)
	m.mu.Unlock()
}

// SetMembers replaces the list of members.
func (m *Monitor[L]) SetMembers(endpoints []string) {
	m.mu.Lock()
	m.machine.SetMembers(endpoints)
	m.mu.Unlock()
}

// Lost reports whether this instance has lost the primary of term.
func (m *Monitor[L]) Lost(term group.Term) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group != nil && m.machine.Lost(m.group.cfg.Clock(), term)
}

// Phase returns the name of the machine's state.
func (m *Monitor[L]) Phase() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Phase()
}
