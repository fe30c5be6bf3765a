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

// Timing of the failover machine, besides the configured lease and probe interval.
const (
	// suspectProbes is a number of probe intervals: a primary is suspected once it has been silent for that many and one
	// probe timeout.
	suspectProbes = 4
	// refusedAfter is how long a primary must refuse connections before it is suspected.
	refusedAfter = 150 * time.Millisecond
	// stagger, times an instance's rank, is its additional wait before a promotion, so that not all claim it concurrently.
	stagger = 300 * time.Millisecond
	// stepTimeout bounds each step of a promotion before it is repeated.
	stepTimeout = 300 * time.Millisecond
	// takeOverMargin plus the lease is the time after which an attempt that has not produced a primary counts as failed.
	takeOverMargin = 1500 * time.Millisecond
	// catchUpTimeout is how long a switchover waits for a replica to catch up.
	catchUpTimeout = time.Second
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
			Group:          name,
			Instance:       i.cfg.Name,
			Members:        names,
			Lease:          i.cfg.Lease,
			SuspectAfter:   suspectProbes*i.cfg.ProbeInterval + probeTimeout,
			RefusedAfter:   refusedAfter,
			Stagger:        stagger,
			StepTimeout:    stepTimeout,
			TakeOverAfter:  i.cfg.Lease + takeOverMargin,
			CatchUpTimeout: catchUpTimeout,
		},
		Fleet:                &fleet{instance: i},
		Orders:               orders,
		Interval:             monitorTick,
		PublishRetryInterval: pollInterval,
	})
}

// fleet gives a monitor access to the peers and to the platform's table.
type fleet struct {
	instance *Instance
}

// Rank returns this instance's rank among the live instances for a key, and the number of the others.
func (f *fleet) Rank(key string) (rank, others int) { return f.instance.rank(key) }

// QueryViews queries the other instances for their views on the primary of term, and passes each answer to report.
func (f *fleet) QueryViews(ctx context.Context, name string, term group.Term, report func(failover.View)) {
	f.instance.node.QueryViews(ctx, f.instance.node.Others(), name, term, report)
}

// Claim claims a term for an attempt in the table.
func (f *fleet) Claim(ctx context.Context, name string, term group.Term, attempt string) failover.ClaimResult {
	outcome, held := f.instance.cfg.Platform.ClaimTerm(ctx, name, term, attempt)
	return failover.ClaimResult{Attempt: attempt, Outcome: outcome, Term: held}
}

// Revoke reports false: leases are not revoked here, so a promotion waits until they have ended.
func (f *fleet) Revoke(context.Context, string, failover.Revoke) bool { return false }

// Publish records the new primary in the table.
func (f *fleet) Publish(ctx context.Context, name string, term group.Term, endpoint string) error {
	return f.instance.cfg.Platform.PublishTerm(ctx, name, term, endpoint)
}

// Explain stores and logs a decision.
func (f *fleet) Explain(subject, decision, evidence string) {
	f.instance.events.Add(event.Config{Subject: subject, Decision: decision, Evidence: evidence})
}

// RecordGap counts how long the writes of a group were impossible.
func (f *fleet) RecordGap(name string, d time.Duration) { f.instance.recordGap(name, d) }

// orders sends the orders of a promotion to the members of a group.
type orders struct {
	group   func() *engine.Group[*endpoint.Conn]
	attempt engine.Attempt
}

// Fence orders a member to promise a term to an attempt.
func (o *orders) Fence(name string, term group.Term, attempt string) {
	o.send(name, attempt, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
		return c.Fence(ctx, term, attempt)
	})
}

// send queues an order, which requests only the status if its attempt has ended by the time that the member is reached.
func (o *orders) send(name, attempt string, order engine.Order[*endpoint.Conn]) {
	o.attempt.Begin(attempt)
	o.group().Send(name, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
		if !o.attempt.Current(attempt) {
			return c.Status(ctx)
		}
		return order(ctx, c)
	})
}

// Withdraw ends an attempt.
func (o *orders) Withdraw(attempt string) { o.attempt.End(attempt) }

// Release does nothing: a promise holds until the next term.
func (o *orders) Release(string, group.Term, string) {}

// Promote orders a member to become the primary of a term.
func (o *orders) Promote(p failover.Promote) {
	o.send(p.Endpoint, p.Attempt, func(ctx context.Context, c *endpoint.Conn) (group.Status, error) {
		return c.Promote(ctx, p.Term, p.Attempt)
	})
}
