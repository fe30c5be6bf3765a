package fleet_test

import (
	"context"
	"slices"
	"testing"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

// snapshot returns the rows of the coordinator.
func (sim *simulation) snapshot(t *testing.T) store.Snapshot {
	t.Helper()
	s, err := sim.store.All(context.Background(), fleet.CoordinatorTable)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a store that confirms the primary of an unseen promotion: the term alone does not tell which of two orders put
// it in place.
func TestStoreConfirmsOnlyPrimaryOfNewestOrder(t *testing.T) {
	sim := newSimulation()
	one := sim.lease("one")
	if _, _, err := one.ClaimFor(context.Background(), "orders", "first", 3); err != nil {
		t.Fatal(err)
	}
	orders := []failover.Order{{Endpoint: "b", After: 1, Term: 2}, {Endpoint: "c", After: 1, Term: 3}}
	if err := one.RecordOrders(context.Background(), "orders", "first", orders...); err != nil {
		t.Fatal(err)
	}
	check := func(when string) {
		t.Helper()
		for _, want := range []struct {
			primary  string
			term     group.Term
			replaced bool
		}{
			{"a", 1, true}, {"b", 2, true}, {"c", 2, false}, {"c", 3, false},
			// A reign of c before the orders, and a primary that some later order has put in place.
			{"c", 1, true}, {"d", 4, false},
		} {
			if got := fleet.PromotionReplaces(sim.snapshot(t), "orders", want.term, want.primary); got != want.replaced {
				t.Errorf("%s, a promotion replaces %s in term %d: %v, want %v", when, want.primary, want.term, got, want.replaced)
			}
		}
	}
	check("after the order")
	sim.advance(fleet.CoordinatorLeaseDuration + fleet.IntentSlack)
	check("after the end of the intent")
}

// Guards against an attempt that numbers its term like an earlier one, whose order may have used it.
func TestClaimExceedsTermsOfEarlierOrders(t *testing.T) {
	sim := newSimulation()
	one, two := sim.lease("one"), sim.lease("two")
	term, orders, err := one.ClaimFor(context.Background(), "orders", "first", 2)
	if err != nil || term != 2 || len(orders) != 0 {
		t.Fatalf("claimed term %d with the orders %v: %v", term, orders, err)
	}
	order := failover.Order{Endpoint: "b", After: 1, Term: 2}
	if err := one.RecordOrders(context.Background(), "orders", "first", order); err != nil {
		t.Fatal(err)
	}
	if again, _, err := one.ClaimFor(context.Background(), "orders", "first", 2); err != nil || again != 2 {
		t.Errorf("the same attempt claimed term %d: %v", again, err)
	}
	sim.advance(fleet.CoordinatorLeaseDuration)
	term, orders, err = two.ClaimFor(context.Background(), "orders", "second", 2)
	if err != nil || term != 3 || !slices.Equal(orders, []failover.Order{order}) {
		t.Errorf("another instance claimed term %d with the orders %v: %v", term, orders, err)
	}
	if err := one.RecordOrders(context.Background(), "orders", "first", order, failover.Order{Endpoint: "c", After: 1, Term: 2}); fault.KindOf(err) != fault.KindConflict {
		t.Errorf("an order was recorded for an attempt that another one has followed: %v", err)
	}
}

// Guards against a fleet of two builds: rows of earlier builds record the term of an order and not its member.
func TestOrderOfEarlierBuildIsForUnknownMember(t *testing.T) {
	sim := newSimulation()
	sim.store.Put(fleet.CoordinatorTable, "intent/orders", []byte(`{"term":2,"until_ms":0,"ordered":2}`))
	term, orders, err := sim.lease("one").ClaimFor(context.Background(), "orders", "first", 2)
	if err != nil || term != 3 || !slices.Equal(orders, []failover.Order{{Term: 2}}) {
		t.Errorf("claimed term %d with the orders %v: %v", term, orders, err)
	}
}

// Guards against a coordinator that follows another one, which could not record its order: it must learn that there may be one.
func TestClaimTellsOfUnrecordedOrder(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		sim := newSimulation()
		one, two := sim.lease("one"), sim.lease("two")
		if interrupted, err := one.ClaimInterrupted(context.Background(), "orders", "first", 2); err != nil || interrupted {
			t.Fatalf("the first claim of a group is interrupted: %v, %v", interrupted, err)
		}
		if interrupted, err := one.ClaimInterrupted(context.Background(), "orders", "second", 2); err != nil || interrupted {
			t.Errorf("a process takes its own attempt for another one's: %v, %v", interrupted, err)
		}
		if recorded {
			if err := one.RecordOrders(context.Background(), "orders", "second", failover.Order{Endpoint: "b", After: 1, Term: 2}); err != nil {
				t.Fatal(err)
			}
		}
		sim.advance(fleet.CoordinatorLeaseDuration)
		if interrupted, err := two.ClaimInterrupted(context.Background(), "orders", "third", 2); err != nil || interrupted == recorded {
			t.Errorf("order recorded %v: interrupted %v, %v", recorded, interrupted, err)
		}
	}
}
