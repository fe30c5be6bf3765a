package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store/storetest"
	"pgregory.net/rapid"
)

// world is a store and the clocks of instances, which tests move.
type world struct {
	store *storetest.Store
	now   time.Time
}

func newWorld() *world { return &world{store: storetest.New(), now: time.Unix(5000, 0)} }

func (w *world) clock() time.Time { return w.now }

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.store.Advance(d)
}

func (w *world) duty(name string) *fleet.Duty { return fleet.NewDuty(w.store, name, w.clock) }

func claim(t *testing.T, d *fleet.Duty) error {
	t.Helper()
	return d.Claim(context.Background(), "orders", 2)
}

func TestTheDutyIsHeldByOneUntilItsLeaseEnds(t *testing.T) {
	w := newWorld()
	one, two := w.duty("one"), w.duty("two")
	if err := claim(t, one); err != nil {
		t.Fatal(err)
	}
	if err := claim(t, two); fault.KindOf(err) != fault.KindConflict {
		t.Fatalf("a second holder: %v", err)
	}
	w.pass(fleet.DutyLease - fleet.DutyMargin)
	if _, ok := one.Held(); ok {
		t.Error("the holder may still order when others may soon")
	}
	w.pass(fleet.DutyMargin)
	if err := claim(t, two); err != nil {
		t.Fatal(err)
	}
	first, _ := one.Held()
	second, ok := two.Held()
	if !ok || second <= first {
		t.Errorf("token %d after %d; it must rise with the holder", second, first)
	}
}

func TestRenewingKeepsTheToken(t *testing.T) {
	w := newWorld()
	one := w.duty("one")
	var last uint64
	for range 3 {
		if err := claim(t, one); err != nil {
			t.Fatal(err)
		}
		token, _ := one.Held()
		if last != 0 && token != last {
			t.Errorf("token %d after %d with the same holder", token, last)
		}
		last = token
		w.pass(10 * fleet.DutyLease)
	}
}

func TestALostAnswerIsReadAgain(t *testing.T) {
	w := newWorld()
	w.store.LoseAnswers(1)
	one := w.duty("one")
	if err := claim(t, one); err != nil {
		t.Fatal(err)
	}
	if token, ok := one.Held(); !ok || token != 1 {
		t.Errorf("token %d, held %v", token, ok)
	}
}

func TestARaceIsWeighedAnew(t *testing.T) {
	w := newWorld()
	one, two := w.duty("one"), w.duty("two")
	w.store.BeforeNextCommit(func() {
		if err := claim(t, two); err != nil {
			t.Error(err)
		}
	})
	if err := claim(t, one); fault.KindOf(err) != fault.KindConflict {
		t.Errorf("the loser of a race got %v", err)
	}
	if _, ok := one.Held(); ok {
		t.Error("the loser of a race holds the duty")
	}
}

func TestWithoutTheStoreNobodyClaims(t *testing.T) {
	w := newWorld()
	w.store.SetDown(true)
	one := w.duty("one")
	if err := claim(t, one); fault.KindOf(err) != fault.KindUnavailable {
		t.Errorf("claimed without the store: %v", err)
	}
}

func TestAnIntentStandsUntilItsOrderCannotTakeEffect(t *testing.T) {
	w := newWorld()
	if err := claim(t, w.duty("one")); err != nil {
		t.Fatal(err)
	}
	promoting := func(term group.Term) bool {
		s, err := w.store.All(context.Background(), fleet.DutyTable)
		if err != nil {
			t.Fatal(err)
		}
		return fleet.Promoting(s, "orders", term)
	}
	if !promoting(1) {
		t.Error("a promotion that was just claimed does not show")
	}
	if promoting(2) {
		t.Error("a promotion to a term that has begun still shows")
	}
	w.pass(fleet.DutyLease + fleet.IntentSlack - time.Millisecond)
	if !promoting(1) {
		t.Error("the intent ended before its order can no longer take effect")
	}
	w.pass(time.Millisecond)
	if promoting(1) {
		t.Error("an abandoned intent stands for ever")
	}
}

// Two instances never hold the duty at once, and the token never falls, whatever is lost or late.
func TestDutyProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		names := []string{"one", "two", "three"}
		duties := map[string]*fleet.Duty{}
		for _, name := range names {
			duties[name] = w.duty(name)
		}
		highest, holder := uint64(0), ""
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				w.pass(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				w.store.LoseAnswers(rapid.IntRange(0, 3).Draw(t, "lost"))
			case 2:
				w.store.SetDown(rapid.Bool().Draw(t, "down"))
			case 3:
				duties[name] = w.duty(name)
			case 4:
				if duties[name].Claim(context.Background(), "orders", 2) != nil {
					continue
				}
			}
			held := 0
			for _, one := range names {
				token, ok := duties[one].Held()
				if !ok {
					continue
				}
				held++
				if token < highest || token == highest && holder != "" && holder != one {
					t.Fatalf("%s holds token %d after %s held %d", one, token, holder, highest)
				}
				highest, holder = token, one
			}
			if held > 1 {
				t.Fatalf("%d instances hold the duty at once", held)
			}
		}
	})
}
