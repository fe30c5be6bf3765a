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

// The pattern: a partition leaves the primary with this instance and both replicas beyond it, for longer than a lease.
// Requests that wait for a confirmation that cannot come lose the time in which another instance could serve them.
func TestRequestsDoNotWaitForWitnessesThatArePartitioned(t *testing.T) {
	now := time.Unix(1000, 0)
	const lease = time.Second
	g := engine.NewGroup(engine.GroupConfig[*link]{
		Name: "orders", Members: []engine.Address{{Endpoint: "a"}, {Endpoint: "b"}, {Endpoint: "c"}}, Lease: lease,
		Outage: 2 * time.Second, PromotionTime: 800 * time.Millisecond, AllReplicas: true, Clock: func() time.Time { return now },
	})
	heard := func(name string, term group.Term, role group.Role) {
		g.Observe(now, group.NewStatus(group.StatusConfig{Endpoint: name, Role: role, Point: group.NewPoint(term, 10), Promised: term}))
	}
	heard("a", 1, group.RolePrimary)
	heard("b", 1, group.RoleReplica)
	heard("c", 1, group.RoleReplica)
	if !g.LeaseValid() {
		t.Fatal("no lease though all members vouched")
	}
	outlook := func(after time.Duration) error {
		now = now.Add(after)
		heard("a", 1, group.RolePrimary)
		return g.CheckExpectedWait(now.Add(400 * time.Millisecond))
	}
	if err := outlook(lease + 100*time.Millisecond); err != nil {
		t.Errorf("refused while the confirmation was just missed: %v", err)
	}
	if err := outlook(lease); fault.KindOf(err) != fault.KindNoPrimary {
		t.Errorf("%v after the confirmation was lacking for a lease, want a refusal at once", err)
	}
	heard("b", 2, group.RolePrimary)
	if err := g.CheckExpectedWait(now.Add(400 * time.Millisecond)); err != nil {
		t.Errorf("refused though a new primary was just found: %v", err)
	}
}

// A request that comes as an instance starts waits for the first confirmation.
func TestRequestsWaitForTheFirstConfirmation(t *testing.T) {
	g := engine.NewGroup(engine.GroupConfig[*link]{
		Name: "orders", Members: []engine.Address{{Endpoint: "a"}}, Lease: time.Second, Outage: 2 * time.Second,
		PromotionTime: 800 * time.Millisecond,
	})
	g.Observe(clock.Now(), group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RolePrimary, Point: group.NewPoint(1, 10), Promised: 1,
	}))
	if err := g.CheckExpectedWait(clock.Now().Add(400 * time.Millisecond)); err != nil {
		t.Errorf("refused at the start: %v", err)
	}
	if g.AwaitLease(context.Background(), clock.Now().Add(time.Millisecond)) == nil {
		t.Error("one member alone made a lease")
	}
}
