package pool_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

func TestEvictsLeastUrgentThenLongest(t *testing.T) {
	q := pool.NewPriorityQueue[string](pool.PriorityQueueConfig{})
	long := waitRequest("lookup", 2, 60, 60)
	long.ServiceTime = 55 * time.Millisecond
	q.Push(long)
	short := waitRequest("update", 2, 80, 80)
	short.ServiceTime = 33 * time.Millisecond
	s := pool.Schedule{Now: at(0), NextPermit: 10 * time.Millisecond, Permits: 1}
	if evicted, refused := q.Unschedulable(s, short); refused || len(evicted) != 0 {
		t.Errorf("evicted %v, refused %v, though both can be served", evicted, refused)
	}
	short.Target, short.Deadline = at(50), at(50)
	if evicted, refused := q.Unschedulable(s, short); refused || !slices.Equal(evicted, []string{}) && len(evicted) != 0 {
		t.Errorf("evicted %v, refused %v, though the short request is served first and both are in time", evicted, refused)
	}
	short.Target, short.Deadline = at(62), at(62)
	if evicted, refused := q.Unschedulable(s, short); refused || !slices.Equal(evicted, []string{"lookup"}) {
		t.Errorf("evicted %v, refused %v; want the longer request evicted", evicted, refused)
	}
	urgent := waitRequest("booking", 1, 20, 20)
	urgent.ServiceTime = 100 * time.Millisecond
	if evicted, refused := q.Unschedulable(s, urgent); refused || !slices.Equal(evicted, []string{"lookup"}) {
		t.Errorf("evicted %v, refused %v; want the less urgent request evicted", evicted, refused)
	}
	late := waitRequest("hopeless", 1, 5, 5)
	if evicted, refused := q.Unschedulable(s, late); !refused || len(evicted) != 0 {
		t.Errorf("evicted %v, refused %v; want only the new request refused, which cannot start in time", evicted, refused)
	}
}

// All requests that remain after the evictions start by their target.
func TestRemainingRequestsStartInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})
		requests := map[int]pool.WaitRequest[int]{}
		draw := func(i int) pool.WaitRequest[int] {
			target := rapid.IntRange(1, 200).Draw(t, "target")
			return pool.WaitRequest[int]{
				Waiter: i, Priority: rapid.IntRange(1, 2).Draw(t, "priority"), Target: at(target), Deadline: at(target),
				ServiceTime: time.Duration(rapid.IntRange(1, 60).Draw(t, "service")) * time.Millisecond,
			}
		}
		n := rapid.IntRange(0, 20).Draw(t, "waiters")
		for i := range n {
			requests[i] = draw(i)
			q.Push(requests[i])
		}
		last := draw(n)
		requests[n] = last
		evicted, refused := q.Unschedulable(pool.Schedule{Now: at(0), Permits: 1}, last)
		for _, w := range evicted {
			delete(requests, w)
		}
		if refused {
			delete(requests, n)
		}
		remaining := make([]pool.WaitRequest[int], 0, len(requests))
		for i := range n + 1 {
			if req, ok := requests[i]; ok {
				remaining = append(remaining, req)
			}
		}
		slices.SortStableFunc(remaining, func(a, b pool.WaitRequest[int]) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Target.Compare(b.Target))
		})
		start := at(0)
		for _, req := range remaining {
			if start.After(req.Target) {
				t.Fatalf("waiter %d starts %v after its target", req.Waiter, start.Sub(req.Target))
			}
			start = start.Add(req.ServiceTime)
		}
	})
}

// The test guards against refusing many short requests for a few long ones. Both replicas of a group are far behind, so
// that the primary's six slots get 1.5 times the load that they can serve, of three kinds: urgent short bookings,
// updates, and long lookups with a late target. If the queue served by target alone, the lookups would wait until their
// target is the earliest, and updates would then be refused to make room for them.
func TestEvictionServesFeasibleShareUnderOverload(t *testing.T) {
	const (
		slots    = 6
		factor   = 1.5
		requests = 30_000
		// bound is the stated target under overload, as a share of the requests that the slots can serve.
		bound = 0.95
		// lateBound is the largest share of requests that may be evicted more than a quarter of their target after their
		// arrival: a request that cannot start in time must be refused at once.
		lateBound = 0.10
	)
	kinds := []kind{
		{share: 0.15, service: 11 * time.Millisecond, target: 200 * time.Millisecond, priority: 1},
		{share: 0.15, service: 55 * time.Millisecond, target: 800 * time.Millisecond, priority: 2},
		{share: 0.70, service: 33 * time.Millisecond, target: 400 * time.Millisecond, priority: 2},
	}
	feasible := feasibleShare(kinds, factor)
	withEviction, late := simulateKinds(kinds, slots, factor, requests, true)
	if withEviction < bound*feasible {
		t.Errorf("served %.3f of the requests in time, the slots can serve %.3f", withEviction, feasible)
	}
	if late > lateBound {
		t.Errorf("refused %.3f of the requests after a quarter of their time, want at most %.2f", late, lateBound)
	}
	if withoutEviction, _ := simulateKinds(kinds, slots, factor, requests, false); withoutEviction >= bound*feasible {
		t.Errorf("the load is no overload for the order of targets alone: it serves %.3f of %.3f", withoutEviction, feasible)
	}
}

// kind is a kind of request of the simulation.
type kind struct {
	share    float64
	service  time.Duration
	target   time.Duration
	priority int
}

// feasibleShare returns the share of requests that the slots can serve at factor times their capacity, shortest first.
func feasibleShare(kinds []kind, factor float64) float64 {
	meanServiceTime := 0.0
	for _, k := range kinds {
		meanServiceTime += k.share * float64(k.service)
	}
	capacity := meanServiceTime / factor
	sorted := slices.Clone(kinds)
	slices.SortFunc(sorted, func(a, b kind) int { return cmp.Compare(a.service, b.service) })
	served := 0.0
	for _, k := range sorted {
		part := min(k.share, capacity/float64(k.service))
		served += part
		capacity -= part * float64(k.service)
	}
	return served
}

// simulateKinds simulates the kinds of requests, and returns the share that was served within its target and the share
// that was evicted more than a quarter of its target after its arrival.
func simulateKinds(kinds []kind, slots int, factor float64, requests int, evict bool) (served, lateShare float64) {
	r := rand.New(rand.NewPCG(3, 5))
	queue := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})
	p := pool.New[int](pool.Config[int]{Limit: 100, Permits: slots, Queue: queue})
	sim := simulation{now: origin}
	kindOf := make([]kind, 0, requests)
	late := 0
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * float64(k.service)
	}
	next := origin
	for i := range requests {
		next = next.Add(time.Duration(r.ExpFloat64() * mean / float64(slots) / factor))
		sim.release(p, next)
		now := sim.now
		k := pick(kinds, r.Float64())
		sim.arrivals = append(sim.arrivals, arrival{at: now, service: k.service})
		kindOf = append(kindOf, k)
		req := pool.WaitRequest[int]{
			Customer: k.service.String(), Since: now, Waiter: i, QueueLimit: 10_000, Priority: k.priority, ServiceTime: k.service,
			Target: now.Add(k.target - k.service), Deadline: now.Add(k.target - k.service),
		}
		_, inUse := p.Permits()
		busy := p.Waiting() > 0 || inUse >= slots
		mean := time.Duration(mean)
		if !evict && busy && now.Add(time.Duration(p.Ahead(now, req)+1)*mean/time.Duration(slots)).After(req.Deadline) {
			continue
		}
		if evict && busy {
			evicted, refused := queue.Unschedulable(pool.Schedule{Now: now, NextPermit: mean / time.Duration(slots), Permits: slots, MeanServiceTime: mean}, req)
			for _, w := range evicted {
				p.Cancel("", w)
				if now.Sub(sim.arrivals[w].at) > kindOf[w].target/4 {
					late++
				}
			}
			if refused {
				continue
			}
		}
		if g := p.Acquire(req); g.Action != pool.ActionWait {
			sim.start(i, g)
		}
	}
	inTime := 0
	for i, a := range sim.arrivals {
		if !a.served.IsZero() && a.served.Sub(a.at) <= kindOf[i].target {
			inTime++
		}
	}
	return float64(inTime) / float64(requests), float64(late) / float64(requests)
}

// pick returns the kind whose cumulative share covers at.
func pick(kinds []kind, at float64) kind {
	for _, k := range kinds {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}
