package pool_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/pool"
)

// The parameters of a simulated overload: both replicas of a group are seconds behind, so that all reads load the
// primary's two slots with 1.3 times their capacity. A first-come queue then fills until the wait reaches the callers'
// maximum, and every answer is late.
const (
	overloadSlots    = 2
	overloadFactor   = 1.3
	overloadService  = 14 * time.Millisecond
	overloadTarget   = 200 * time.Millisecond
	overloadMaxWait  = 800 * time.Millisecond
	overloadRequests = 20_000
)

// arrival is a request of the simulation.
type arrival struct {
	at      time.Time
	service time.Duration
	served  time.Time
}

// finish is the completion of a request on a connection.
type finish struct {
	at   time.Time
	conn int
}

// finishes is a heap of completions, the earliest first.
type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

// simulation runs requests on the connections that a pool grants.
type simulation struct {
	now      time.Time
	arrivals []arrival
	ends     finishes
	conns    int
}

// start runs a request on the connection of its grant.
func (s *simulation) start(i int, g pool.Grant[int]) {
	conn := g.Conn
	if g.Action == pool.ActionOpen {
		s.conns++
		conn = s.conns
	}
	s.arrivals[i].served = s.now.Add(s.arrivals[i].service)
	heap.Push(&s.ends, finish{at: s.arrivals[i].served, conn: conn})
}

// release completes the requests that end by a time, and starts the waiters that are served as a result.
func (s *simulation) release(p *pool.Pool[int, int], until time.Time) {
	for len(s.ends) > 0 && !s.ends[0].at.After(until) {
		end := heap.Pop(&s.ends).(finish)
		s.now = end.at
		wakeups, _ := p.Release(s.now, end.conn, "")
		for _, w := range append(wakeups, p.ReleasePermit(s.now)...) {
			s.start(w.Waiter, w.Grant)
		}
	}
	s.now = until
}

// simulateOverload returns the share of the slots' capacity that a pool serves within the target under overload.
func simulateOverload(queue pool.WaitQueue[int], refuseLate bool) float64 {
	r := rand.New(rand.NewPCG(7, 11))
	p := pool.New[int](pool.Config[int]{Limit: overloadSlots, Queue: queue})
	sim := simulation{now: origin}
	meanGap := float64(overloadService) / overloadSlots / overloadFactor
	next := origin
	for i := range overloadRequests {
		next = next.Add(time.Duration(r.ExpFloat64() * meanGap))
		sim.release(p, next)
		now := sim.now
		sim.arrivals = append(sim.arrivals, arrival{at: now, service: time.Duration(r.ExpFloat64() * float64(overloadService))})
		req := pool.WaitRequest[int]{
			Waiter: i, QueueLimit: 1000, Deadline: now.Add(overloadMaxWait),
			Target: now.Add(overloadTarget - overloadService),
		}
		busy := p.Waiting() > 0 || p.Open() >= overloadSlots && p.Idle() == 0
		wait := time.Duration(p.Ahead(now, req)+1) * overloadService / overloadSlots
		if refuseLate {
			req.Deadline = pool.LatestStart(now, now.Add(overloadTarget), req.Deadline, overloadService)
		}
		if refuseLate && busy && now.Add(wait).After(req.Deadline) {
			continue
		}
		if g := p.Acquire(req); g.Action != pool.ActionWait {
			sim.start(i, g)
		}
	}
	inTime := 0
	for _, a := range sim.arrivals {
		if !a.served.IsZero() && a.served.Sub(a.at) <= overloadTarget {
			inTime++
		}
	}
	return float64(inTime) / (overloadRequests / overloadFactor)
}

// Guards against a queue that, under the overload described above, is full of requests whose answers come late.
func TestPriorityQueueServesCapacityInTimeUnderOverload(t *testing.T) {
	// 0.95 of the slots' capacity is the stated target under overload.
	const bound = 0.95
	if share := simulateOverload(pool.NewPriorityQueue[int](pool.PriorityQueueConfig{}), true); share < bound {
		t.Errorf("served %.3f of the slots' capacity in time, want %.2f", share, bound)
	}
	if share := simulateOverload(pool.NewFairQueue[int](), false); share >= bound {
		t.Errorf("the load is no overload: a first-come queue serves %.3f of the capacity in time", share)
	}
}
