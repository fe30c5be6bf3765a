package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// A partition separates this instance and the primary from both replicas for longer than a lease. Requests that wait
// for a confirmation that cannot arrive lose the time in which another instance could serve them.
func TestRequestsDoNotWaitForPartitionedWitnesses(t *testing.T) {
	now := time.Unix(1000, 0)
	const lease = time.Second
	g := engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name: "orders", Members: []engine.Address{{Endpoint: "a"}, {Endpoint: "b"}, {Endpoint: "c"}}, Lease: lease,
		Outage: 2 * time.Second, PromotionTime: 800 * time.Millisecond, RequireAllReplicas: true, Clock: func() time.Time { return now },
	})
	observe := func(name string, term group.Term, role group.Role) {
		g.Observe(now, group.NewStatus(group.StatusConfig{Endpoint: name, Role: role, Point: group.NewPoint(term, 10), Promised: term}))
	}
	observe("a", 1, group.RolePrimary)
	observe("b", 1, group.RoleReplica)
	observe("c", 1, group.RoleReplica)
	if !g.LeaseValid() {
		t.Fatal("no lease although all members confirmed the term")
	}
	checkAfter := func(delay time.Duration) error {
		now = now.Add(delay)
		observe("a", 1, group.RolePrimary)
		return g.CheckExpectedWait(now.Add(400 * time.Millisecond))
	}
	if err := checkAfter(lease + 100*time.Millisecond); err != nil {
		t.Errorf("refused just after the confirmation became overdue: %v", err)
	}
	if err := checkAfter(lease); fault.KindOf(err) != fault.KindNoPrimary {
		t.Errorf("error %v after a lease without confirmation, want an immediate refusal", err)
	}
	observe("b", 2, group.RolePrimary)
	if err := g.CheckExpectedWait(now.Add(400 * time.Millisecond)); err != nil {
		t.Errorf("refused although a new primary was just observed: %v", err)
	}
}

// A request that arrives just after an instance has started waits for the first confirmation.
func TestRequestsWaitForFirstConfirmation(t *testing.T) {
	g := engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name: "orders", Members: []engine.Address{{Endpoint: "a"}}, Lease: time.Second, Outage: 2 * time.Second,
		PromotionTime: 800 * time.Millisecond,
	})
	g.Observe(clock.Now(), group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RolePrimary, Point: group.NewPoint(1, 10), Promised: 1,
	}))
	if err := g.CheckExpectedWait(clock.Now().Add(400 * time.Millisecond)); err != nil {
		t.Errorf("refused at start: %v", err)
	}
	if g.AwaitLease(context.Background(), clock.Now().Add(time.Millisecond)) == nil {
		t.Error("lease valid with the confirmation of only one member")
	}
}

// After a restart of all instances, callers reconnect before the first probe has been answered. No primary has been seen
// then, but none has failed either.
func TestRequestsWaitForFirstProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	const probeTimeout = 700 * time.Millisecond
	g := engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name: "orders", Members: []engine.Address{{Endpoint: "a"}}, Lease: time.Second, Outage: 2 * time.Second,
		PromotionTime: 800 * time.Millisecond, ProbeTimeout: probeTimeout, Clock: func() time.Time { return now },
	})
	if err := g.CheckExpectedWait(now.Add(400 * time.Millisecond)); err != nil {
		t.Errorf("refused before the first probe could be answered: %v", err)
	}
	now = now.Add(probeTimeout)
	if err := g.CheckExpectedWait(now.Add(400 * time.Millisecond)); fault.KindOf(err) != fault.KindNoPrimary {
		t.Errorf("error %v although no probe was answered in time, want an immediate refusal", err)
	}
}
