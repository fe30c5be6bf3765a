package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

func failoverConfig(name, instance string) failover.Config {
	return failover.Config{
		Group:            name,
		Instance:         instance,
		Lease:            leaseDuration,
		SuspectAfter:     suspectAfter,
		RefusedAfter:     refusedAfter,
		Stagger:          stagger,
		StepTimeout:      stepTimeout,
		ViewInterval:     viewInterval,
		TakeOverAfter:    takeOverAfter,
		CatchUpTimeout:   catchUpTimeout,
		ClaimTimeout:     claimTimeout,
		SequentialTerms:  true,
		ExcludeDemoted:   true,
		ReleaseAbandoned: true,
		ClaimRequired:    true,

		AnsweredPromotions: true,
	}
}

// orders sends promotion orders to the members of a group; it is safe for concurrent use.
//
// Members do not record the attempt to which they made a promise. Only the promotion coordinator fences,
// so a promise to the term of this instance's own attempt belongs to that attempt.
type orders[L Link[L]] struct {
	instance *Instance[L]
	name     string
	group    func() *engine.Group[L]
	observer engine.Observer
	// answered receives the outcome of each promotion order that Run has sent.
	answered func(failover.Event)
	current  engine.Attempt
	// promotions holds the promotion order that Run sends next, and ended is signalled when an attempt has ended.
	promotions chan failover.Promote
	ended      chan struct{}
	mu         sync.Mutex
	// stopSettling ends the call of settle that is in progress.
	stopSettling context.CancelFunc
	attempt      string
	term         group.Term
	// lastStates is the state that each member last reported, so that changes are logged.
	lastStates map[string]memberState
}

func newOrders[L Link[L]](i *Instance[L], name string, g func() *engine.Group[L]) *orders[L] {
	return &orders[L]{instance: i, name: name, group: g, promotions: make(chan failover.Promote, 1), ended: make(chan struct{}, 1), stopSettling: func() {}, lastStates: map[string]memberState{}}
}

// memberState is what a member reports of its role and term.
type memberState struct {
	role     group.Role
	term     group.Term
	promised group.Term
}

// begin makes an attempt the current one.
func (o *orders[L]) begin(term group.Term, attempt string) {
	o.current.Begin(attempt)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = term
	o.attempt = attempt
}

// Fence orders a replica to promise term, or the primary to become a replica for it, if this instance holds the coordinator
// lease.
func (o *orders[L]) Fence(endpoint string, term group.Term, attempt string) {
	o.begin(term, attempt)
	if _, ok := o.instance.coordinator.Held(); !ok {
		logLine(o.instance.cfg.Logger, "level", "warn", "msg", "fence_left_out", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "reason", "the lease of the promotion coordinator has ended")
		return
	}
	isPrimary := o.group().Primary() == endpoint
	o.group().Send(endpoint, func(ctx context.Context, link L) (group.Status, error) {
		if !o.maySend(o.current.Current(attempt), "fence_left_out", endpoint, term) {
			return link.Status(ctx)
		}
		s, err := o.fence(ctx, link, term, isPrimary)
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "endpoint_fenced", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "demoted", isPrimary, "role", s.Role().String(), "point", s.Received().String(), "error", errorText(err))
		return s, err
	})
}

// maySend reports whether an order that has waited for its member may be sent: its attempt is in force, and this instance
// holds the coordinator lease.
func (o *orders[L]) maySend(inForce bool, message, endpoint string, term group.Term) bool {
	_, held := o.instance.coordinator.Held()
	if !inForce || !held {
		logLine(o.instance.cfg.Logger, "level", "info", "msg", message, "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "attempt_in_force", inForce, "lease_held", held)
	}
	return inForce && held
}

func (o *orders[L]) fence(ctx context.Context, link L, term group.Term, isPrimary bool) (group.Status, error) {
	if !isPrimary {
		return link.PauseReplication(ctx, term)
	}
	s, err := link.Demote(ctx, term)
	if err == nil && s.Role() == group.RoleReplica {
		s = s.WithPromise(term)
	}
	return s, err
}

// Release resumes a replica's replication if this instance holds the coordinator lease and has begun no other attempt: no
// other attempt can then have fenced the replica.
func (o *orders[L]) Release(endpoint string, term group.Term, attempt string) {
	o.current.Begin(attempt)
	o.group().Send(endpoint, func(ctx context.Context, link L) (group.Status, error) {
		if !o.maySend(o.current.Newest(attempt), "release_left_out", endpoint, term) {
			return link.Status(ctx)
		}
		s, err := link.ResumeReplication(ctx)
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "endpoint_released", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "error", errorText(err))
		return s, err
	})
}

// Withdraw ends an attempt.
func (o *orders[L]) Withdraw(attempt string) {
	o.current.End(attempt)
	o.instance.coordinator.End(o.name, attempt)
	select {
	case o.ended <- struct{}{}:
	default:
	}
}

// Promote orders the promotion of a member, which needs no connection to it.
//
// An attempt has one order in flight at a time, so an order that still waits belongs to an earlier attempt.
func (o *orders[L]) Promote(p failover.Promote) {
	o.begin(p.Term, p.Attempt)
	select {
	case <-o.promotions:
	default:
	}
	o.promotions <- p
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopSettling()
}

// recordTimeout bounds the record of an order before it is sent: a promotion does not wait for the store.
const recordTimeout = stepTimeout

// Run sends the promotion orders, one after the other, and records what the store does not hold of them, until ctx ends.
func (o *orders[L]) Run(ctx context.Context) {
	retry := time.NewTimer(0)
	defer retry.Stop()
	failures := 0
	for {
		select {
		case p := <-o.promotions:
			outcome, recorded, err := o.promote(ctx, p)
			logLine(o.instance.cfg.Logger, "level", "info", "msg", "promotion_ordered", "group", o.name, "endpoint", p.Endpoint,
				"term", uint64(p.Term), "outcome", outcome.String(), "recorded", recorded, "error", errorText(err))
			o.answered(failover.PromotionAnswered{Attempt: p.Attempt, Endpoint: p.Endpoint, Outcome: outcome})
		case <-o.ended:
		case <-retry.C:
		case <-ctx.Done():
			return
		}
		if o.settle(ctx, failures > 0) {
			failures = 0
			continue
		}
		retry.Reset(min(retryPause<<min(failures, maxBackoffs), maxRetryPause))
		failures++
	}
}

// settle records what the attempts have ordered and how they have ended; it reports false if that is to be tried again, and
// logs only the first failure.
func (o *orders[L]) settle(ctx context.Context, failed bool) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	o.mu.Lock()
	o.stopSettling = cancel
	waits := len(o.promotions) > 0
	o.mu.Unlock()
	if waits {
		return false
	}
	recorded, err := o.instance.coordinator.Settle(ctx, o.name)
	if recorded || err != nil && !failed {
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "order_recorded", "group", o.name, "error", errorText(err))
	}
	return err == nil
}

// promote records an order and sends it if its attempt is current, and claims the coordinator lease first if it has ended.
//
// The record precedes the order, so that whoever continues after this instance knows that
// the order may have an effect. If the store does not answer, the order is sent without
// it: the claim counts it, and Run records it as soon as the store answers.
func (o *orders[L]) promote(ctx context.Context, p failover.Promote) (outcome failover.PromotionOutcome, recorded bool, err error) {
	i := o.instance
	if err := o.renewLease(ctx, p); err != nil {
		return unsentOutcome(err), false, err
	}
	recordErr := o.record(ctx, p)
	if unsentOutcome(recordErr) == failover.PromotionPreempted {
		return failover.PromotionPreempted, false, recordErr
	}
	notSent := i.coordinator.OrderSending(o.name, p.Attempt, p.Orders)
	token, until, ok := i.coordinator.HeldUntil()
	if !ok || !o.current.Current(p.Attempt) {
		notSent()
		return failover.PromotionNotSent, false, fault.New(fault.Config{
			Kind:    fault.KindConflict,
			Message: "the attempt or the lease of the promotion coordinator has ended",
			Remedy:  "no action needed; the promotion is ordered again if it is still needed",
		})
	}
	err = i.cfg.Adapter.Promote(ctx, Promotion{Group: o.name, Endpoint: p.Endpoint, Holder: i.cfg.Name, Token: token, Until: until})
	if clock.Now().Before(until) {
		i.coordinator.OrderEnded(err)
	}
	outcome = promotionOutcome(err)
	if outcome == failover.PromotionNotSent {
		notSent()
	}
	return outcome, recordErr == nil, errors.Join(recordErr, err)
}

// unsentOutcome returns the outcome of an order that was not sent because of an error of the coordinator lease.
func unsentOutcome(err error) failover.PromotionOutcome {
	if err != nil && (fault.KindOf(err) == fault.KindConflict || isConcurrentWrite(err)) {
		return failover.PromotionPreempted
	}
	return failover.PromotionNotSent
}

// renewLease claims the coordinator lease again if it has ended.
func (o *orders[L]) renewLease(ctx context.Context, p failover.Promote) error {
	if _, ok := o.instance.coordinator.Held(); ok || !o.current.Current(p.Attempt) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := o.instance.coordinator.Claim(ctx, claimRequest{group: o.name, term: p.Term, attempt: p.Attempt, renew: true})
	return err
}

// record records an order.
func (o *orders[L]) record(ctx context.Context, p failover.Promote) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return o.instance.coordinator.RecordOrders(ctx, o.name, p.Attempt, p.Orders)
}

// promotionOutcome returns what an error of Adapter.Promote says of the order.
func promotionOutcome(err error) failover.PromotionOutcome {
	switch {
	case err == nil:
		return failover.PromotionAccepted
	case fault.KindOf(err) == fault.KindConflict:
		return failover.PromotionRefused
	case fault.KindOf(err) == fault.KindUnavailable:
		return failover.PromotionNotSent
	}
	return failover.PromotionUnanswered
}

// Probed forwards a member's status, with this instance's attempt if the member's promise belongs to it.
func (o *orders[L]) Probed(s group.Status) {
	o.mu.Lock()
	own := o.attempt != "" && s.Promised() == o.term
	attempt := o.attempt
	state := memberState{role: s.Role(), term: s.Point().Term(), promised: s.Promised()}
	changed := o.lastStates[s.Endpoint()] != state
	o.lastStates[s.Endpoint()] = state
	o.mu.Unlock()
	if changed {
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "endpoint_part", "group", o.name, "endpoint", s.Endpoint(),
			"role", state.role.String(), "term", uint64(state.term), "promised", uint64(state.promised), "point", s.Received().String())
	}
	if own {
		s = s.WithAttempt(attempt)
	}
	o.observer.Probed(s)
}

// ProbeFailed forwards a failed probe of a member.
func (o *orders[L]) ProbeFailed(endpoint string, refused bool) {
	o.observer.ProbeFailed(endpoint, refused)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
