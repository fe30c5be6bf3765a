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

func waitRequest(name string, priority, target, deadline int) pool.WaitRequest[string] {
	return pool.WaitRequest[string]{Customer: name, Waiter: name, Priority: priority, Target: at(target), Deadline: at(deadline)}
}

func popAll(q *pool.PriorityQueue[string], now time.Time) []string {
	var out []string
	for {
		w, ok := q.Pop(now)
		if !ok {
			return out
		}
		out = append(out, w)
	}
}

func TestPriorityQueueServesByPriorityThenTargetThenLate(t *testing.T) {
	q := pool.NewPriorityQueue[string](pool.PriorityQueueConfig{})
	for _, req := range []pool.WaitRequest[string]{
		waitRequest("lookup", 2, 800, 5000),
		waitRequest("update", 2, 400, 1000),
		waitRequest("booking", 1, 600, 1000),
		waitRequest("missed", 1, 10, 1000),
		waitRequest("gone", 1, 10, 20),
	} {
		if !q.Push(req) {
			t.Fatalf("the queue rejected %s", req.Waiter)
		}
	}
	want := []string{"booking", "update", "lookup", "missed"}
	if diff := cmp.Diff(want, popAll(q, at(50))); diff != "" {
		t.Error(diff)
	}
}

func TestAheadCountsWaitersServedBefore(t *testing.T) {
	q := pool.NewPriorityQueue[string](pool.PriorityQueueConfig{})
	q.Push(waitRequest("update", 2, 400, 1000))
	q.Push(waitRequest("lookup", 2, 800, 1000))
	if got := q.Ahead(at(0), waitRequest("booking", 1, 900, 1000)); got != 0 {
		t.Errorf("Ahead = %d for a more urgent request, want 0", got)
	}
	if got := q.Ahead(at(0), waitRequest("new", 2, 600, 1000)); got != 1 {
		t.Errorf("Ahead = %d for a target between those queued, want 1", got)
	}
	if got := q.Ahead(at(500), waitRequest("new", 2, 900, 1000)); got != 1 {
		t.Errorf("Ahead = %d after the first waiter missed its target, want 1", got)
	}
}

// No waiter whose target can be met is served after a less urgent waiter.
func TestPriorityQueueServesUrgentFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})
		requests := map[int]pool.WaitRequest[int]{}
		for i := range rapid.IntRange(0, 30).Draw(t, "waiters") {
			target := rapid.IntRange(0, 100).Draw(t, "target")
			req := pool.WaitRequest[int]{
				Waiter: i, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Target: at(target), Deadline: at(target + rapid.IntRange(1, 100).Draw(t, "late")),
			}
			requests[i] = req
			q.Push(req)
		}
		now := at(rapid.IntRange(0, 150).Draw(t, "now"))
		var last pool.WaitRequest[int]
		for n := 0; ; n++ {
			w, ok := q.Pop(now)
			if !ok {
				return
			}
			req := requests[w]
			if !now.Before(req.Deadline) {
				t.Fatalf("waiter %d was served after its deadline", w)
			}
			if n > 0 && now.Before(req.Target) && (!now.Before(last.Target) || req.Priority < last.Priority) {
				t.Fatalf("waiter %d was served after a less urgent waiter", w)
			}
			last = req
		}
	})
}
