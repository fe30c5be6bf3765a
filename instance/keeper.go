package instance

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// keeper runs the failover machine of one group.
type keeper struct {
	instance *Instance
	name     string
	group    *endpoint.Group
	mu       sync.Mutex
	machine  *failover.Machine
	ctx      context.Context
	// confirmedAt is when the primary was last known to lead, and lapsedAt that time once the permit has run out.
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

func newKeeper(i *Instance, name string, members []endpoint.Address) *keeper {
	var names []string
	for _, m := range members {
		names = append(names, m.Endpoint)
	}
	return &keeper{
		instance: i,
		name:     name,
		machine: failover.New(failover.Config{
			Group:         name,
			Instance:      i.cfg.Name,
			Members:       names,
			Permit:        i.cfg.Permit,
			SuspectAfter:  suspectProbes*i.cfg.ProbeInterval + probeTimeout,
			RefusedAfter:  refusedAfter,
			Stagger:       stagger,
			StepTimeout:   stepTimeout,
			TakeOverAfter: i.cfg.Permit + takeOverExtra,
			CatchUp:       catchUp,
		}),
	}
}

// run feeds time and the fleet's size to the machine until ctx ends.
func (k *keeper) run(ctx context.Context) {
	k.mu.Lock()
	k.ctx = ctx
	k.mu.Unlock()
	ticker := time.NewTicker(keeperTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			rank, others := k.instance.rank("group/" + k.name)
			k.step(failover.Fleet{Others: others, Rank: rank})
			k.step(failover.Tick{})
			k.measureGap(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

// measureGap records how long writes were impossible once they are possible again: from the primary's last confirmation on.
func (k *keeper) measureGap(now time.Time) {
	var confirmed time.Time
	k.group.View(func(t *route.Tracker) { confirmed = t.ConfirmedAt() })
	valid := k.group.PermitValid()
	if confirmed.After(k.confirmedAt) && valid {
		k.confirmedAt = confirmed
	}
	switch {
	case !valid && k.lapsedAt.IsZero():
		k.lapsedAt = k.confirmedAt
	case valid && !k.lapsedAt.IsZero():
		k.instance.recordGap(k.name, now.Sub(k.lapsedAt))
		k.lapsedAt = time.Time{}
	}
}

// step gives the machine an event and carries out its actions.
func (k *keeper) step(e failover.Event) {
	k.mu.Lock()
	ctx := k.ctx
	actions := k.machine.Step(clock.Now(), e)
	k.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, a := range actions {
		k.act(ctx, a)
	}
}

func (k *keeper) act(ctx context.Context, a failover.Action) {
	switch a := a.(type) {
	case failover.AskViews:
		go k.instance.node.Views(ctx, k.name, a.Term, func(v failover.View) { k.step(v) })
	case failover.Claim:
		go k.claim(ctx, a)
	case failover.Fence:
		k.group.Send(a.Endpoint, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
			return c.Fence(ctx, a.Term, a.Attempt)
		})
	case failover.Promote:
		k.group.Send(a.Endpoint, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
			return c.Promote(ctx, a.Term, a.Attempt)
		})
	case failover.Publish:
		go k.publish(ctx, a)
	case failover.Explain:
		k.instance.events.Add(event.Config{Subject: "group/" + k.name, Decision: string(a.Decision), Evidence: a.Evidence})
	}
}

func (k *keeper) claim(ctx context.Context, a failover.Claim) {
	outcome, term := k.instance.cfg.Platform.ClaimTerm(ctx, k.name, a.Term, a.Attempt)
	k.step(failover.ClaimResult{Attempt: a.Attempt, Outcome: outcome, Term: term})
}

// publish records the new primary in the table once that answers.
func (k *keeper) publish(ctx context.Context, a failover.Publish) {
	for ctx.Err() == nil {
		if k.instance.cfg.Platform.PublishTerm(ctx, k.name, a.Term, a.Endpoint) == nil {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// Probed feeds a member's status to the machine.
func (k *keeper) Probed(s group.Status) { k.step(failover.Probed{Status: s}) }

// ProbeFailed feeds a member's silence to the machine.
func (k *keeper) ProbeFailed(endpoint string, refused bool) {
	k.step(failover.ProbeFailed{Endpoint: endpoint, Refused: refused})
}

func (k *keeper) setLeaving(endpoints []string) {
	k.step(failover.Leaving{Endpoints: endpoints})
}

func (k *keeper) lost(term group.Term) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Lost(clock.Now(), term)
}

func (k *keeper) phase() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Phase()
}
