package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// fate is what becomes of a promotion order at the platform.
type fate int

const (
	orderAnswered fate = iota
	orderRunUnanswered
	orderRunLate
	orderNeverRun
)

// Choices of the model: what replaces the primary, and what fails during the promotion.
var (
	modelFates        = []fate{orderAnswered, orderRunUnanswered, orderRunLate, orderNeverRun}
	modelLaterFates   = []fate{orderAnswered, orderRunLate}
	modelTriggers     = []string{"leaves", "crashes", "silent"}
	modelSuccessors   = []string{"sound", "silent_short", "silent_long", "isolated_3300", "isolated_3500", "isolated_3700", "isolated_3900"}
	modelCoordinators = []string{"sound", "killed_before_order", "killed_after_order", "frozen", "store_cut", "store_cut_killed"}
)

// modelCase is one combination of choices.
type modelCase struct {
	trigger, successor, coordinator string
	first, later                    fate
	deaf, sync                      bool
}

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
	waiting  []modelWrite
}

// model is two instances, the store and one group.
type model struct {
	sim       *simulation
	group     *modelGroup
	instances []*modelInstance
	choices   modelCase
	orders    int
	ticks     int
}

const (
	modelTick = 100 * time.Millisecond
	// modelUnanswered bounds the orders that the platform does not answer.
	modelUnanswered = 6
	modelTrigger    = 3 * time.Second
	modelLength     = 35 * time.Second
)

func newModel(c modelCase) *model {
	sim := newSimulation()
	m := &model{sim: sim, group: newModelGroup(sim.now, c.sync), choices: c}
	for rank, name := range []string{"one", "two"} {
		i := &modelInstance{model: m, name: name, rank: rank}
		i.start()
		m.instances = append(m.instances, i)
	}
	return m
}

// start starts the instance without any memory.
func (i *modelInstance) start() {
	cfg := fleet.FailoverConfig("g", i.name)
	cfg.Members = []string{"a", "b", "c"}
	cfg.ReplicationRequired = i.model.choices.sync
	i.machine, i.attempt, i.own, i.waiting = failover.New(cfg), engine.Attempt{}, 0, nil
	i.tracker = route.NewTracker(route.TrackerConfig{Group: "g", Endpoints: cfg.Members, Lease: fleet.LeaseDuration, RequireAllReplicas: true})
	i.lease = i.model.sim.lease(i.name)
	i.down, i.frozenUntil = false, time.Time{}
}

// cut reports whether the store turns the instance away.
func (i *modelInstance) cut() bool { return i.model.sim.now.Before(i.cutUntil) }

func (i *modelInstance) runs() bool { return !i.down && !i.model.sim.now.Before(i.frozenUntil) }

// run plays the case and returns the broken rules.
func (m *model) run() []string {
	started, ackedAt := m.sim.now, m.sim.now
	for m.sim.now.Sub(started) < modelLength {
		if m.ticks == int(modelTrigger/modelTick) {
			m.trigger()
		}
		m.ticks++
		m.sim.advance(modelTick)
		m.group.now = m.sim.now
		m.group.step()
		before := len(m.group.acked)
		for _, i := range m.instances {
			if i.runs() {
				i.tick()
			}
		}
		if len(m.group.acked) > before {
			ackedAt = m.sim.now
		}
		if len(m.group.broken) > 0 {
			return m.group.broken
		}
	}
	if m.sim.now.Sub(ackedAt) > 2*time.Second {
		return []string{fmt.Sprintf("no write was acknowledged in the last %v", m.sim.now.Sub(ackedAt))}
	}
	return nil
}

// trigger begins what replaces the primary.
func (m *model) trigger() {
	primary := m.group.leader()
	if m.choices.deaf {
		m.group.find("b").deaf = true
		m.group.after(8*time.Second, func() { m.group.find("b").deaf = false })
	}
	switch m.choices.trigger {
	case "leaves":
		for _, i := range m.instances {
			i.machine.SetLeaving([]string{primary.name})
		}
	case "crashes":
		primary.down = true
		m.group.after(10*time.Second, func() { primary.down = false })
	case "silent":
		primary.silent = true
		m.group.after(4*time.Second, func() { primary.silent = false })
	}
}

// reach returns a member if the instances reach it, or nil.
func (m *model) reach(name string) *modelMember {
	if member := m.group.find(name); member != nil && !member.silent && !member.down {
		return member
	}
	return nil
}

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
	if s, err := i.model.sim.store.All(context.Background(), fleet.CoordinatorTable); err == nil && i.model.ticks%2 == 0 && !i.cut() &&
		!fleet.PromotionReplaces(s, "g", i.tracker.Term(), i.tracker.Primary()) {
		i.tracker.ConfirmByStore(now, i.tracker.Term())
	}
	i.step(failover.Fleet{Others: 1, Rank: i.rank})
	i.step(failover.Tick{})
	if i.runs() {
		i.write(now)
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
		m.group.after(d, func() { i.deliver(failover.PromotionAnswered{Attempt: p.Attempt, Endpoint: p.Endpoint, Outcome: o}) })
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
	m.orders++
	f := m.choices.later
	if first {
		f = m.choices.first
		m.failSuccessor(p.Endpoint)
	} else if m.orders > modelUnanswered {
		f = orderAnswered
	}
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

// record records the orders, or lets that happen once the store no longer turns the instance away.
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
	i.model.group.after(i.cutUntil.Sub(i.model.sim.now), func() {
		if i.runs() && i.lease.RecordOrders(ctx, "g", p.Attempt, p.Orders...) != nil {
			return
		}
	})
	return nil
}

// failSuccessor lets the member fail whose promotion is ordered first.
func (m *model) failSuccessor(name string) {
	member := m.group.find(name)
	fail := func(isolated bool, d time.Duration) {
		member.silent, member.isolated = true, isolated
		m.group.after(d, func() { member.silent, member.isolated = false, false })
	}
	switch m.choices.successor {
	case "silent_short":
		fail(false, 2500*time.Millisecond)
	case "silent_long":
		fail(false, 7*time.Second)
	}
	var ms int
	if n, err := fmt.Sscanf(m.choices.successor, "isolated_%d", &ms); n == 1 && err == nil {
		fail(true, time.Duration(ms)*time.Millisecond)
	}
}

// Checks ONE and LOST, and that writes are acknowledged in the end, over all combinations of what replaces the primary, what
// becomes of the orders, and what fails with them.
func TestPromotionsKeepRulesUnderAllCombinations(t *testing.T) {
	for _, trigger := range modelTriggers {
		for _, successor := range modelSuccessors {
			t.Run(trigger+"/"+successor, func(t *testing.T) {
				t.Parallel()
				for _, c := range modelCases(trigger, successor) {
					if broken := newModel(c).run(); len(broken) > 0 {
						t.Errorf("%+v: %s", c, broken[0])
					}
				}
			})
		}
	}
}

// modelCases returns all combinations with a trigger and a successor.
func modelCases(trigger, successor string) (cases []modelCase) {
	for _, coordinator := range modelCoordinators {
		for _, first := range modelFates {
			for _, later := range modelLaterFates {
				c := modelCase{trigger: trigger, successor: successor, coordinator: coordinator, first: first, later: later}
				withSync, withDeaf := c, c
				withSync.sync = true
				withDeaf.sync, withDeaf.deaf = true, true
				cases = append(cases, c, withSync, withDeaf)
			}
		}
	}
	return cases
}
