package fleet_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// modelInstance is an instance with the real decisions on promotions and leases.
type modelInstance struct {
	model   *model
	name    string
	rank    int
	machine *failover.Machine
	tracker *route.Tracker
	lease   *fleet.CoordinatorLease
	attempt engine.Attempt
	own     group.Term
	ownID   string
	// down is set while the instance does not run, and frozenUntil is until when it is suspended.
	down        bool
	frozenUntil time.Time
	// cutUntil is until when the store turns the instance away.
	cutUntil time.Time
	// apiCut is set for an instance that does not reach the promotion API.
	apiCut  bool
	waiting []modelWrite
}

// start starts the instance without any memory.
func (i *modelInstance) start() {
	cfg := fleet.FailoverConfig("g", i.name)
	cfg.Members = []string{"a", "b", "c"}
	if i.model.choices.sync {
		cfg.RequiredReplicas = 1
	}
	i.machine, i.attempt, i.own, i.waiting = failover.New(cfg), engine.Attempt{}, 0, nil
	i.tracker = route.NewTracker(route.TrackerConfig{Group: "g", Endpoints: cfg.Members, Lease: fleet.LeaseDuration, RequireAllReplicas: true})
	i.lease = i.model.sim.lease(i.name).WithOthers(1)
	i.down, i.frozenUntil = false, time.Time{}
}

// cut reports whether the store turns the instance away.
func (i *modelInstance) cut() bool { return i.model.sim.now.Before(i.cutUntil) }

func (i *modelInstance) runs() bool { return !i.down && !i.model.sim.now.Before(i.frozenUntil) }

// tick probes the members, consults the store, runs the machine, and writes.
func (i *modelInstance) tick() {
	now := i.model.sim.now
	for _, member := range i.model.group.members {
		// The second instance learns later, as from another one's evidence.
		if i.model.ticks%(1+3*i.rank) != 0 {
			break
		}
		if i.model.reach(member.name) == nil {
			i.step(failover.ProbeFailed{Endpoint: member.name, Refused: member.down})
			continue
		}
		i.observe(member.status())
	}
	i.consultStore(now)
	i.step(failover.Fleet{Others: 1, Rank: i.rank})
	i.step(failover.Tick{})
	if i.runs() {
		i.write(now)
	}
}

// consultStore asks the store as the witness of the primary, and records what it does not hold of the own orders.
func (i *modelInstance) consultStore(now time.Time) {
	if i.cut() {
		return
	}
	if i.model.ticks%5 == 0 && i.lease.Settle(context.Background(), "g") != nil {
		return
	}
	s, err := i.model.sim.store.All(context.Background(), fleet.CoordinatorTable)
	term, primary := i.tracker.Term(), i.tracker.Primary()
	switch {
	case err != nil || i.model.ticks%2 != 0:
	case !fleet.PromotionReplaces(s, "g", term, primary):
		i.tracker.ConfirmByStore(now, term)
	case now.Sub(i.tracker.ConfirmedAt()) >= fleet.LeaseDuration && fleet.PromotionOverdue(s, "g", term, primary):
		i.step(failover.Superseded{Endpoint: primary, Term: term})
	}
}

// observe passes a member's status on, with the own attempt if the promise is to it.
func (i *modelInstance) observe(s group.Status) {
	i.tracker.Observe(i.model.sim.now, i.model.sim.now, s)
	if i.own != 0 && s.Promised() == i.own {
		s = s.WithAttempt(i.ownID)
	}
	i.step(failover.Probed{Status: s})
}

// write sends a write under a valid lease, and acknowledges those that may be.
func (i *modelInstance) write(now time.Time) {
	var waiting []modelWrite
	for _, w := range i.waiting {
		switch {
		case !now.Before(i.tracker.LeaseUntil()) || i.tracker.Primary() != w.member || i.tracker.Term() != w.term:
		case i.model.group.received(w):
			i.model.group.acknowledge(w)
		default:
			waiting = append(waiting, w)
		}
	}
	i.waiting = waiting
	m := i.model.reach(i.tracker.Primary())
	if m != nil && m.primary && m.term == i.tracker.Term() && now.Before(i.tracker.LeaseUntil()) {
		i.waiting = append(i.waiting, i.model.group.commit(m))
	}
}

// step passes an event to the machine and performs the actions.
func (i *modelInstance) step(e failover.Event) {
	if !i.runs() {
		return
	}
	for _, a := range i.machine.Step(i.model.sim.now, e) {
		i.perform(a)
	}
}

// deliver passes an event to the machine, once the instance is no longer suspended.
func (i *modelInstance) deliver(e failover.Event) {
	if suspended := i.frozenUntil.Sub(i.model.sim.now); suspended > 0 {
		i.model.group.after(suspended, func() { i.deliver(e) })
		return
	}
	i.step(e)
}

func (i *modelInstance) perform(a failover.Action) {
	ctx := context.Background()
	switch a := a.(type) {
	case failover.QueryViews:
		for _, other := range i.model.instances {
			if other != i && other.runs() {
				i.step(failover.View{Instance: other.name, Term: a.Term, Lost: other.machine.PrimaryLost(i.model.sim.now, a.Term)})
			}
		}
	case failover.Claim:
		if i.cut() {
			i.step(failover.ClaimResult{Attempt: a.Attempt, Outcome: failover.ClaimUnavailable})
			return
		}
		result, err := i.lease.ClaimResult(ctx, "g", a.Attempt, a.Term)
		i.model.claims++
		if i.model.claims == 1 && i.model.choices.coordinator == "killed_after_claim" {
			i.kill()
			return
		}
		if err != nil {
			result = failover.ClaimResult{Attempt: a.Attempt, Outcome: failover.ClaimTaken}
		}
		i.step(result)
	case failover.Fence:
		i.fence(a)
	case failover.Release:
		i.attempt.Begin(a.Attempt)
		if _, held := i.lease.Held(); held && i.attempt.Newest(a.Attempt) && i.model.reach(a.Endpoint) != nil {
			i.model.reach(a.Endpoint).paused = 0
		}
	case failover.Withdraw:
		i.attempt.End(a.Attempt)
		i.lease.End("g", a.Attempt)
	case failover.Revoke:
		i.revoke(a)
	case failover.Promote:
		i.promote(ctx, a)
	}
}

func (i *modelInstance) fence(a failover.Fence) {
	i.attempt.Begin(a.Attempt)
	i.own, i.ownID = a.Term, a.Attempt
	m := i.model.reach(a.Endpoint)
	if _, held := i.lease.Held(); !held || !i.attempt.Current(a.Attempt) || m == nil {
		return
	}
	if i.tracker.Primary() == a.Endpoint {
		m.primary = m.primary && m.term >= a.Term
	} else if !m.primary && a.Term > m.term {
		m.paused = a.Term
	}
	s := m.status()
	if s.Role() == group.RoleReplica {
		s = s.WithPromise(a.Term)
	}
	i.observe(s)
}

func (i *modelInstance) revoke(r failover.Revoke) {
	all := true
	for _, other := range i.model.instances {
		if !other.runs() {
			all = false
			continue
		}
		now := i.model.sim.now
		if len(r.Ordered) == 0 {
			other.tracker.RevokeLease(r.Term, now, now.Add(fleet.RevocationTime))
			continue
		}
		other.tracker.RevokeLease(r.Reported, now, now.Add(fleet.RevocationTime))
		other.tracker.RevokeLeaseOf(r.Ordered, r.Term, now, now.Add(fleet.RevocationTime))
	}
	if all {
		i.step(failover.Revoked{Attempt: r.Attempt})
	}
}

// kill ends the instance, which starts again later.
func (i *modelInstance) kill() {
	i.down = true
	i.model.group.after(2*time.Second, i.start)
}

// promote records an order and sends it; its fate and what fails with it are choices of the case.
func (i *modelInstance) promote(ctx context.Context, p failover.Promote) {
	m, first := i.model, i.model.orders == 0
	if first && m.choices.coordinator == "killed_before_order" {
		m.orders++
		i.kill()
		return
	}
	answer := func(d time.Duration, o failover.PromotionOutcome) {
		m.group.after(d, func() {
			i.recordOrder(o)
			i.deliver(failover.PromotionAnswered{Attempt: p.Attempt, Endpoint: p.Endpoint, Outcome: o})
		})
	}
	if first && strings.HasPrefix(m.choices.coordinator, "store_cut") {
		i.cutUntil = m.sim.now.Add(9 * time.Second)
	}
	if err := i.record(ctx, p); err != nil {
		outcome := failover.PromotionNotSent
		if fault.KindOf(err) == fault.KindConflict {
			outcome = failover.PromotionPreempted
		}
		answer(modelTick, outcome)
		return
	}
	if m.orders == 0 && m.choices.coordinator == "api_cut" {
		i.apiCut = true
	}
	m.orders++
	if i.apiCut {
		answer(modelTick, failover.PromotionNotSent)
		return
	}
	f := m.choices.later
	if first {
		f = m.choices.first
		m.failSuccessor(p.Endpoint)
	} else if m.orders > modelUnanswered {
		f = orderAnswered
	}
	i.lease.OrderSending("g", p.Attempt, p.Orders...)
	switch f {
	case orderAnswered:
		outcome := failover.PromotionRefused
		if m.group.order(p.Endpoint) {
			outcome = failover.PromotionAccepted
		}
		m.group.answer()
		answer(modelTick, outcome)
	case orderRunUnanswered:
		m.group.order(p.Endpoint)
		answer(time.Second, failover.PromotionUnanswered)
	case orderRunLate:
		m.group.late = append(m.group.late, p.Endpoint)
		answer(time.Second, failover.PromotionUnanswered)
	case orderNeverRun:
		answer(time.Second, failover.PromotionUnanswered)
	}
	switch {
	case first && (m.choices.coordinator == "killed_after_order" || m.choices.coordinator == "store_cut_killed"):
		i.kill()
	case first && m.choices.coordinator == "frozen":
		i.frozenUntil = m.sim.now.Add(4 * time.Second)
	}
}

// recordOrder records whether the promotion API answered an order.
func (i *modelInstance) recordOrder(o failover.PromotionOutcome) {
	switch {
	case i.apiCut:
		i.lease.OrderEnded(fault.New(fault.Config{Kind: fault.KindUnavailable, Cause: fleet.ErrPromotionAPIUnreachable}))
	case o == failover.PromotionUnanswered:
		i.lease.OrderEnded(fault.New(fault.Config{Kind: fault.KindOutcomeUnknown}))
	case o == failover.PromotionAccepted || o == failover.PromotionRefused:
		i.lease.OrderEnded(nil)
	}
}

// record records the orders, unless the store turns the instance away.
func (i *modelInstance) record(ctx context.Context, p failover.Promote) error {
	if _, held := i.lease.Held(); !held {
		if i.cut() {
			return errors.New("the store turns the instance away")
		}
		if err := i.lease.Renew(ctx, "g", p.Attempt, p.Term); err != nil {
			return err
		}
	}
	if !i.cut() {
		return i.lease.RecordOrders(ctx, "g", p.Attempt, p.Orders...)
	}
	return nil
}
