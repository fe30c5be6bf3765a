package pool_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

var origin = time.Unix(1000, 0)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func ask(name string, priority, target, deadline int) pool.Ask[string] {
	return pool.Ask[string]{Customer: name, Waiter: name, Priority: priority, Target: at(target), Deadline: at(deadline)}
}

func drain(o *pool.Ordered[string], now time.Time) []string {
	var out []string
	for {
		w, ok := o.Pop(now)
		if !ok {
			return out
		}
		out = append(out, w)
	}
}

func TestOrderedServesUrgentThenEarliestTargetThenLate(t *testing.T) {
	o := pool.NewOrdered[string](pool.OrderedConfig{})
	for _, a := range []pool.Ask[string]{
		ask("lookup", 2, 800, 5000),
		ask("update", 2, 400, 1000),
		ask("booking", 1, 600, 1000),
		ask("missed", 1, 10, 1000),
		ask("gone", 1, 10, 20),
	} {
		if !o.Push(a) {
			t.Fatalf("no room for %s", a.Waiter)
		}
	}
	want := []string{"booking", "update", "lookup", "missed"}
	if diff := cmp.Diff(want, drain(o, at(50))); diff != "" {
		t.Error(diff)
	}
}

func TestOrderedCountsWhoGoesBefore(t *testing.T) {
	o := pool.NewOrdered[string](pool.OrderedConfig{})
	o.Push(ask("update", 2, 400, 1000))
	o.Push(ask("lookup", 2, 800, 1000))
	if got := o.Ahead(at(0), ask("booking", 1, 900, 1000)); got != 0 {
		t.Errorf("%d go before the more urgent one", got)
	}
	if got := o.Ahead(at(0), ask("new", 2, 600, 1000)); got != 1 {
		t.Errorf("%d go before the one in the middle, want 1", got)
	}
	if got := o.Ahead(at(500), ask("new", 2, 900, 1000)); got != 1 {
		t.Errorf("%d go before, though one has missed its target; want 1", got)
	}
}

// No waiter whose target can be met is served behind a less urgent one.
func TestOrderedProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := pool.NewOrdered[int](pool.OrderedConfig{})
		asks := map[int]pool.Ask[int]{}
		for i := range rapid.IntRange(0, 30).Draw(t, "waiters") {
			target := rapid.IntRange(0, 100).Draw(t, "target")
			a := pool.Ask[int]{
				Waiter: i, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Target: at(target), Deadline: at(target + rapid.IntRange(1, 100).Draw(t, "late")),
			}
			asks[i] = a
			o.Push(a)
		}
		now := at(rapid.IntRange(0, 150).Draw(t, "now"))
		var last pool.Ask[int]
		for n := 0; ; n++ {
			w, ok := o.Pop(now)
			if !ok {
				return
			}
			a := asks[w]
			if !now.Before(a.Deadline) {
				t.Fatalf("waiter %d was served past its deadline", w)
			}
			if n > 0 && now.Before(a.Target) && (!now.Before(last.Target) || a.Priority < last.Priority) {
				t.Fatalf("waiter %d went behind a less urgent one", w)
			}
			last = a
		}
	})
}
