package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/store"
	"github.com/monsoontiller/monsoontiller/store/storetest"
	"pgregory.net/rapid"
)

// restoredSimulation is a simulation whose store reports eras, and a copy of which is taken every second.
type restoredSimulation struct {
	*simulation
	copies []*storetest.Copy
}

func newRestoredSimulation() *restoredSimulation {
	sim := &restoredSimulation{simulation: newSimulation()}
	sim.store.SetEra(1)
	return sim
}

// pass advances the clocks, and takes a copy of the store each second.
func (sim *restoredSimulation) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		sim.copies = append(sim.copies, sim.store.Copy())
		sim.advance(min(d, time.Second))
	}
}

// restore makes the store return from a copy that is the given number of seconds old; its clock goes back by clockBack.
func (sim *restoredSimulation) restore(seconds int, clockBack time.Duration) {
	if n := len(sim.copies) - seconds; n >= 0 && n < len(sim.copies) {
		sim.store.Restore(sim.copies[n])
		sim.store.Advance(-clockBack)
		sim.copies = sim.copies[:n+1]
	}
}

// Guards against two holders of the coordinator lease, and against a fencing token that decreases or is given out twice,
// after the store has returned from a copy that lacks the newest claims.
func TestCoordinatorLeaseAcrossRestoredStore(t *testing.T) {
	claims, rewrites := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newRestoredSimulation()
		sim.store.SetEra(rapid.SampledFrom([]uint64{0, 1}).Draw(t, "first era"))
		names := []string{"one", "two", "three"}
		leases := map[string]*fleet.CoordinatorLease{}
		for _, name := range names {
			leases[name] = sim.lease(name)
		}
		holders := leaseHolders{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "instance")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				sim.pass(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case 2:
				sim.store.LoseAnswers(rapid.IntRange(0, 3).Draw(t, "lost"))
			case 3:
				sim.restore(rapid.IntRange(1, 8).Draw(t, "seconds"), time.Duration(rapid.SampledFrom([]int{0, 3, 1000}).Draw(t, "clock back"))*time.Second)
			case 4:
				leases[name] = sim.lease(name)
			case 5:
				if err := leases[name].Restore(context.Background()); err == nil {
					rewrites++
				}
			default:
				if leases[name].Claim(context.Background(), "orders", 2) == nil {
					claims++
				}
			}
			holders.check(t, leases)
		}
	})
	if claims == 0 || rewrites == 0 {
		t.Errorf("%d claims and %d rewrites succeeded", claims, rewrites)
	}
}

// Guards against a lease that nobody can claim for long, since the store's clock went back with its rows.
func TestLeaseCanBeClaimedAfterStoreClockGoesBack(t *testing.T) {
	sim := newSimulation()
	sim.advance(time.Hour)
	if err := claim(t, sim.lease("one")); err != nil {
		t.Fatal(err)
	}
	older := sim.store.Copy()
	sim.store.SetEra(1)
	sim.store.Restore(older)
	sim.store.Advance(-time.Hour)
	two := sim.lease("two")
	if err := two.Restore(context.Background()); err != nil {
		t.Fatal(err)
	}
	sim.advance(fleet.CoordinatorLeaseDuration)
	if err := claim(t, two); err != nil {
		t.Errorf("the lease cannot be claimed after the longest claim has ended: %v", err)
	}
}

// Guards against promotions that wait for lost claims although their holder goes on: it writes its lease again, and keeps
// its token.
func TestHolderKeepsLeaseAcrossRestoredStore(t *testing.T) {
	sim := newRestoredSimulation()
	sim.pass(20 * time.Second)
	one, two := sim.lease("one"), sim.lease("two")
	for claim(t, one) != nil {
		sim.pass(time.Second)
	}
	token, _ := one.Held()
	older := sim.copies[len(sim.copies)-1]
	sim.pass(2 * time.Second)
	sim.store.Restore(older)
	if err := one.Restore(context.Background()); err != nil {
		t.Fatal(err)
	}
	if again, held := one.Held(); !held || again != token {
		t.Errorf("the holder has token %d, held %v, want %d", again, held, token)
	}
	if claim(t, two) == nil {
		t.Error("another instance holds the lease too")
	}
	s, err := sim.store.All(context.Background(), fleet.CoordinatorTable)
	if err != nil {
		t.Fatal(err)
	}
	if !fleet.PromotionInProgress(s, "orders", 1) {
		t.Error("the intent of the promotion was not written again")
	}
	sim.pass(fleet.CoordinatorLeaseDuration)
	if err := claim(t, two); err != nil {
		t.Errorf("the lease has ended, and cannot be claimed: %v", err)
	}
	if next, _ := two.Held(); next <= token {
		t.Errorf("token %d after %d with another holder", next, token)
	}
}

// Guards against a store that confirms the term of a replaced primary, because the record of the promotion was lost with
// its history: while it may be in force, also after another instance has claimed the lease.
func TestLostIntentDoesNotConfirmTerm(t *testing.T) {
	sim := newRestoredSimulation()
	sim.pass(20 * time.Second)
	older := sim.store.Copy()
	for lease := sim.lease("one"); claim(t, lease) != nil; {
		sim.pass(time.Second)
	}
	sim.store.Restore(older)
	inProgress := func() bool {
		s, err := sim.store.All(context.Background(), fleet.CoordinatorTable)
		if err != nil {
			t.Fatal(err)
		}
		return fleet.PromotionInProgress(s, "orders", 1)
	}
	if !inProgress() {
		t.Error("the store confirms term 1 right after its return")
	}
	two := sim.lease("two")
	if err := two.Restore(context.Background()); err != nil {
		t.Fatal(err)
	}
	sim.pass(fleet.CoordinatorLeaseDuration)
	for range 2 {
		if err := two.Claim(context.Background(), "stock", 2); err != nil {
			t.Fatal(err)
		}
	}
	if !inProgress() {
		t.Error("the store confirms term 1 after another instance has claimed the lease")
	}
	sim.pass(fleet.IntentSlack)
	if inProgress() {
		t.Error("the lost intent has ended, and the store does not confirm term 1")
	}
}

// Guards against requests to an endpoint that has reported to leave, after the store has returned from a copy that is older
// than the report and before the endpoint has written it again.
func TestEndpointLeavesAcrossRestoredStore(t *testing.T) {
	now := time.Unix(5000, 0)
	ready, leaving := fleet.Entry{Endpoint: "a"}, fleet.Entry{Endpoint: "a", Leaving: true}
	restarted := fleet.Entry{Endpoint: "a", Incarnation: 1}
	reported := fleet.ListedEndpoint{}.ReplacedBy(leaving, store.NewPosition(1, 90), now)
	lost := reported.ReplacedBy(ready, store.NewPosition(2, 40), now)
	beat := lost.ReplacedBy(ready, store.NewPosition(2, 45), now)
	later := now.Add(fleet.RemovalGrace)
	for _, tc := range []struct {
		name     string
		endpoint fleet.ListedEndpoint
		at       time.Time
		want     bool
	}{
		{"reported", reported, later, true},
		{"report lost", lost, later.Add(-1), true},
		{"report lost and not made again", lost, later, false},
		{"report lost, entry written", beat, later.Add(-1), true},
		{"report lost, entry written, not made again", beat, later, false},
		{"report made again", lost.ReplacedBy(leaving, store.NewPosition(2, 46), now), later, true},
		{"taken back in the same era", reported.ReplacedBy(ready, store.NewPosition(1, 91), now), now, false},
		{"restarted", reported.ReplacedBy(restarted, store.NewPosition(2, 46), now), now, false},
	} {
		if got := tc.endpoint.Leaving(tc.at); got != tc.want {
			t.Errorf("%s: leaving %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Guards against an instance that reports a wrong era and makes the others drop the answers of the store, and against a
// follower that waits although a peer knows that the store has returned.
func TestEraOfPeerIsConfirmedByStore(t *testing.T) {
	inner := storetest.New()
	inner.SetEra(1)
	tracker, tracked := fleet.NewEraTracker(inner)
	first, err := tracked.All(t.Context(), "servers")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := tracked.Changes(t.Context(), "servers", first.Version, time.Minute)
		ended <- err
	}()
	var waited error
	for hint := uint64(7); waited == nil; hint++ {
		tracker.Hint(hint)
		select {
		case waited = <-ended:
		case <-time.After(time.Millisecond):
		}
	}
	if fault.KindOf(waited) != fault.KindStale {
		t.Errorf("the call that waited for changes ended with %v, want a stale position", waited)
	}
	if _, err := tracked.All(t.Context(), "servers"); err != nil || tracker.Current() != 1 {
		t.Errorf("after a wrong hint the era is %d, and a read fails with %v", tracker.Current(), err)
	}
}

// delayedStore returns one answer of an earlier era late.
type delayedStore struct {
	store.Store
	late *store.Snapshot
}

func (s *delayedStore) All(ctx context.Context, table string) (store.Snapshot, error) {
	if late := s.late; late != nil {
		s.late = nil
		return *late, nil
	}
	return s.Store.All(ctx, table)
}

// Guards against rows that the store has lost, and that an answer sent before its return brings late.
func TestLateAnswerOfEarlierEraIsDropped(t *testing.T) {
	inner := storetest.New()
	inner.SetEra(2)
	delayed := &delayedStore{Store: inner}
	_, tracked := fleet.NewEraTracker(delayed)
	if _, err := tracked.All(t.Context(), "servers"); err != nil {
		t.Fatal(err)
	}
	delayed.late = &store.Snapshot{Version: 90, Era: 1}
	if _, err := tracked.All(t.Context(), "servers"); fault.KindOf(err) != fault.KindUnavailable {
		t.Errorf("a late answer of an earlier era was returned with %v", err)
	}
	if s, err := tracked.All(t.Context(), "servers"); err != nil || s.Era != 2 {
		t.Errorf("era %d, %v after the late answer", s.Era, err)
	}
}

// Guards against a promotion that does not wait for the leases of instances whose registrations the store has just lost.
func TestRegistrationsMayBeMissingAfterStoreReturns(t *testing.T) {
	for _, firstEra := range []uint64{0, 1} {
		inner := storetest.New()
		inner.SetEra(firstEra)
		tracker, tracked := fleet.NewEraTracker(inner)
		older := inner.Copy()
		for _, restored := range []bool{false, true} {
			if restored {
				inner.Restore(older)
			}
			if _, err := tracked.All(t.Context(), "instances"); err != nil {
				t.Fatal(err)
			}
			now := clock.Now()
			if got := tracker.LastsFor(fleet.ReregistrationTime(4), now); got == restored {
				t.Errorf("first era %d, restored %v: registrations count as complete: %v", firstEra, restored, got)
			}
			if !tracker.LastsFor(fleet.ReregistrationTime(4), now.Add(fleet.ReregistrationTime(4))) {
				t.Errorf("first era %d, restored %v: registrations do not count as complete once they are back", firstEra, restored)
			}
		}
	}
}

// Load: all instances of a large fleet register again after the store's return. They must not use up the writes of the
// store, and promotions must not trust the list of registrations before.
func TestRegistrationsAreSpreadOverTime(t *testing.T) {
	for _, tc := range []struct {
		instances  int
		mostWrites float64
	}{{9, 100}, {78, 100}, {3500, 100}} {
		spread := fleet.RewriteSpread(tc.instances)
		if rate := float64(tc.instances) / spread.Seconds(); rate > tc.mostWrites {
			t.Errorf("%d instances write %.0f times a second, want at most %.0f", tc.instances, rate, tc.mostWrites)
		}
		if wait := fleet.ReregistrationTime(tc.instances); wait <= spread {
			t.Errorf("%d instances: the registrations count as complete after %v, and are written until %v", tc.instances, wait, spread)
		}
		if tc.instances <= 78 && spread >= time.Second {
			t.Errorf("%d instances register again within %v, want them back within 2 s", tc.instances, spread)
		}
	}
}
