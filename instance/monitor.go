package instance

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

// Timing of the failover machine, as multiples of what the instance is set to.
const (
	suspectProbes = 4
	refusedAfter  = 150 * time.Millisecond
	stagger       = 300 * time.Millisecond
	stepTimeout   = 300 * time.Millisecond
	takeOverExtra = 1500 * time.Millisecond
	catchUp       = time.Second
)

// monitor runs the failover machine of one group of PostgreSQL endpoints.
type monitor = engine.Monitor[*endpoint.Conn]

func newMonitor(i *Instance, name string, members []engine.Address, orders engine.Orders) *monitor {
	var names []string
	for _, m := range members {
		names = append(names, m.Endpoint)
	}
	return engine.NewMonitor(engine.MonitorConfig[*endpoint.Conn]{
		Failover: failover.Config{
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
		},
		Fleet:        &fleet{instance: i},
		Orders:       orders,
		Tick:         monitorTick,
		PublishPause: pollInterval,
	})
}

// fleet answers a monitor from the peers and the table.
type fleet struct {
	instance *Instance
}

// Place returns this instance's place for a duty among the live ones and how many others there are.
func (f *fleet) Place(duty string) (place, others int) { return f.instance.rank(duty) }

// Views asks the others whether they have lost a primary.
func (f *fleet) Views(ctx context.Context, name string, term group.Term, take func(failover.View)) {
	f.instance.node.Views(ctx, f.instance.node.Others(), name, term, take)
}

// Claim records an attempt in the table.
func (f *fleet) Claim(ctx context.Context, name string, term group.Term, attempt string) (failover.ClaimOutcome, group.Term) {
	return f.instance.cfg.Platform.ClaimTerm(ctx, name, term, attempt)
}

// Revoke reports false: a lease is waited out.
func (f *fleet) Revoke(context.Context, string, group.Term) bool { return false }

// Publish records the new primary in the table.
func (f *fleet) Publish(ctx context.Context, name string, term group.Term, endpoint string) error {
	return f.instance.cfg.Platform.PublishTerm(ctx, name, term, endpoint)
}

// Explain keeps a decision for operators.
func (f *fleet) Explain(subject, decision, evidence string) {
	f.instance.events.Add(event.Config{Subject: subject, Decision: decision, Evidence: evidence})
}

// Gap counts a failover gap.
func (f *fleet) Gap(name string, d time.Duration) { f.instance.recordGap(name, d) }

// orders sends the members of a group the orders of a promotion.
type orders struct {
	group func() *engine.Group[*endpoint.Conn]
}

// Fence asks a member to promise a term.
func (o *orders) Fence(name string, term group.Term, attempt string) {
	o.group().Send(name, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
		return c.Fence(ctx, term, attempt)
	})
}

// Release does nothing: a promise stands until the next term.
func (o *orders) Release(string, group.Term, string) {}

// Promote asks a member to lead a term.
func (o *orders) Promote(name string, term group.Term, attempt string) {
	o.group().Send(name, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
		return c.Promote(ctx, term, attempt)
	})
}
