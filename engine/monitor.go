package engine

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Fleet gives a monitor access to the other instances and to the store.
type Fleet interface {
	// Rank returns this instance's rank for key among the live instances, 0 being the first, and the number of others.
	Rank(key string) (rank, others int)
	// QueryViews queries the other instances for their views, which state whether they have lost the primary of a
	// group's term, and calls receive with each answer.
	QueryViews(ctx context.Context, group string, term group.Term, receive func(failover.View))
	// Claim tries to claim term, or a later one, for attempt in the store.
	Claim(ctx context.Context, group string, term group.Term, attempt string) failover.ClaimResult
	// Revoke ends the leases of a group that r names on all instances and reports whether all of them confirmed.
	Revoke(ctx context.Context, group string, r failover.Revoke) bool
	// Publish records the primary of a term in the store; it fails while the store is unavailable.
	Publish(ctx context.Context, group string, term group.Term, endpoint string) error
	// Explain records a decision with its evidence.
	Explain(subject, decision, evidence string)
	// RecordGap records the time during which a group accepted no writes.
	RecordGap(group string, d time.Duration)
}

// Orders sends members the orders of a promotion; their results arrive like those of probes.
//
// An order that has not been sent when its attempt is withdrawn must not be sent any more.
type Orders interface {
	// Fence orders a member to promise term to attempt.
	Fence(endpoint string, term group.Term, attempt string)
	// Release withdraws a member's promise to an abandoned attempt.
	Release(endpoint string, term group.Term, attempt string)
	// Promote orders the promotion p.
	Promote(p failover.Promote)
	// Withdraw ends an attempt, whose orders may not be sent from now on; the releases of its members follow.
	Withdraw(attempt string)
}

// MonitorConfig configures the monitor of one group.
type MonitorConfig[L Link[L]] struct {
	Failover failover.Config
	Fleet    Fleet
	Orders   Orders
	// Interval is the interval of the failover machine's tick events.
	Interval time.Duration
	// PublishRetryInterval is the wait before a failed publication of a new primary is retried.
	PublishRetryInterval time.Duration
}

// Monitor runs the failover machine of one group; it is safe for concurrent use.
type Monitor[L Link[L]] struct {
	cfg MonitorConfig[L]
	// performing is held while the actions of one event are performed, so that they keep the order of the events.
	performing sync.Mutex
	mu         sync.Mutex
	group      *Group[L]
	machine    *failover.Machine
	ctx        context.Context
	// confirmedAt is the last confirmation of the primary under a valid lease; gapStartedAt is a copy of it, taken when
	// the lease lapsed, or zero while the lease is valid.
	confirmedAt  time.Time
	gapStartedAt time.Time
}

// NewMonitor returns a monitor that is inactive until Run is called.
func NewMonitor[L Link[L]](cfg MonitorConfig[L]) *Monitor[L] {
	return &Monitor[L]{cfg: cfg, machine: failover.New(cfg.Failover)}
}

// Run passes ticks and this instance's rank to the failover machine of g until ctx ends.
func (m *Monitor[L]) Run(ctx context.Context, g *Group[L]) {
	m.mu.Lock()
	m.ctx = ctx
	m.group = g
	m.mu.Unlock()
	ticker := time.NewTicker(m.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			rank, others := m.cfg.Fleet.Rank("group/" + m.cfg.Failover.Group)
			m.Step(failover.Fleet{Others: others, Rank: rank})
			m.Step(failover.Tick{})
			if m.busy() {
				g.ProbeNow()
			}
			m.measureGap(g.cfg.Clock())
		case <-ctx.Done():
			return
		}
	}
}

// busy reports whether a promotion waits for members or for leases to expire.
func (m *Monitor[L]) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Busy()
}

// measureGap records, when the lease becomes valid again, the time without writes since the last confirmation.
func (m *Monitor[L]) measureGap(now time.Time) {
	var confirmed time.Time
	m.group.View(func(t *route.Tracker) { confirmed = t.ConfirmedAt() })
	valid := m.group.LeaseValid()
	if confirmed.After(m.confirmedAt) && valid {
		m.confirmedAt = confirmed
	}
	switch {
	case !valid && m.gapStartedAt.IsZero():
		m.gapStartedAt = m.confirmedAt
	case valid && !m.gapStartedAt.IsZero():
		m.cfg.Fleet.RecordGap(m.cfg.Failover.Group, now.Sub(m.gapStartedAt))
		m.gapStartedAt = time.Time{}
	}
}

// Step passes an event to the machine and performs the resulting actions.
func (m *Monitor[L]) Step(e failover.Event) {
	m.performing.Lock()
	defer m.performing.Unlock()
	m.mu.Lock()
	ctx := m.ctx
	var actions []failover.Action
	if ctx != nil {
		actions = m.machine.Step(m.group.cfg.Clock(), e)
	}
	m.mu.Unlock()
	for _, a := range actions {
		m.perform(ctx, a)
	}
}

// perform performs an action without waiting for its result.
func (m *Monitor[L]) perform(ctx context.Context, a failover.Action) {
	name := m.cfg.Failover.Group
	switch a := a.(type) {
	case failover.QueryViews:
		go m.cfg.Fleet.QueryViews(ctx, name, a.Term, func(v failover.View) { m.Step(v) })
	case failover.Claim:
		go m.claim(ctx, a)
	case failover.Fence:
		m.cfg.Orders.Fence(a.Endpoint, a.Term, a.Attempt)
	case failover.Promote:
		m.cfg.Orders.Promote(a)
	case failover.Release:
		m.cfg.Orders.Release(a.Endpoint, a.Term, a.Attempt)
	case failover.Withdraw:
		m.cfg.Orders.Withdraw(a.Attempt)
	case failover.Revoke:
		go m.revoke(ctx, a)
	case failover.Publish:
		go m.publish(ctx, a)
	case failover.Explain:
		m.cfg.Fleet.Explain("group/"+name, string(a.Decision), a.Evidence)
	}
}

func (m *Monitor[L]) claim(ctx context.Context, a failover.Claim) {
	m.Step(m.cfg.Fleet.Claim(ctx, m.cfg.Failover.Group, a.Term, a.Attempt))
}

func (m *Monitor[L]) revoke(ctx context.Context, a failover.Revoke) {
	if m.cfg.Fleet.Revoke(ctx, m.cfg.Failover.Group, a) {
		m.Step(failover.Revoked{Attempt: a.Attempt})
	}
}

// publish records the new primary in the store, and retries until it succeeds.
func (m *Monitor[L]) publish(ctx context.Context, a failover.Publish) {
	for ctx.Err() == nil {
		if m.cfg.Fleet.Publish(ctx, m.cfg.Failover.Group, a.Term, a.Endpoint) == nil {
			return
		}
		if Sleep(ctx, m.cfg.PublishRetryInterval) != nil {
			return
		}
	}
}

// Probed passes a member's status to the machine.
func (m *Monitor[L]) Probed(s group.Status) { m.Step(failover.Probed{Status: s}) }

// ProbeFailed reports a failed probe of a member to the machine.
func (m *Monitor[L]) ProbeFailed(endpoint string, refused bool) {
	m.Step(failover.ProbeFailed{Endpoint: endpoint, Refused: refused})
}

// SetLeaving sets the members that are leaving.
//
// A leaving primary is replaced; among members with equal logs, one that is not
// leaving is promoted.
func (m *Monitor[L]) SetLeaving(endpoints []string) {
	m.mu.Lock()
	m.machine.SetLeaving(endpoints)
	m.mu.Unlock()
}

// SetMembers replaces the list of members, and that of members that are not listed any more though they have not left.
func (m *Monitor[L]) SetMembers(endpoints, missing []string) {
	m.mu.Lock()
	m.machine.SetMembers(endpoints)
	m.machine.SetMissing(missing)
	m.mu.Unlock()
}

// SetRequiredReplicas sets the number of replicas that receive a write before it is acknowledged.
func (m *Monitor[L]) SetRequiredReplicas(n int) {
	m.mu.Lock()
	m.machine.SetRequiredReplicas(n)
	m.mu.Unlock()
}

// PrimaryLost reports whether this instance has lost contact with the primary of term, with its evidence for logs.
func (m *Monitor[L]) PrimaryLost(term group.Term) (lost bool, evidence string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.group == nil {
		return false, "the group is not watched yet"
	}
	now := m.group.cfg.Clock()
	return m.machine.PrimaryLost(now, term), m.machine.LossEvidence(now)
}

// Phase returns the name of the machine's phase.
func (m *Monitor[L]) Phase() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Phase()
}
