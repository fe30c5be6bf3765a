package pool_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/pool"
)

// The pattern: both replicas of a group are seconds behind, so that all reads meet the primary's two slots, with
// 1.3 times the work that these can do. A first-come queue then fills up to the callers' patience, and every
// answer comes late.
const (
	overloadSlots    = 2
	overloadFactor   = 1.3
	overloadService  = 14 * time.Millisecond
	overloadTarget   = 200 * time.Millisecond
	overloadPatience = 800 * time.Millisecond
	overloadRequests = 20_000
)

// arrival is one request of the model.
type arrival struct {
	at      time.Time
	service time.Duration
	served  time.Time
}

// finish is the end of a request on a connection.
type finish struct {
	at   time.Time
	conn int
}

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

// overload plays the pattern on a pool and returns the share of the slots' capacity that was served within the target.
func overload(line pool.Line[int], refuse bool) float64 {
	r := rand.New(rand.NewPCG(7, 11))
	p := pool.New[int](pool.Config[int]{Limit: overloadSlots, Line: line})
	var requests []arrival
	var ends finishes
	conns := 0
	now := origin
	start := func(i int, g pool.Grant[int]) {
		conn := g.Conn
		if g.Action == pool.ActionOpen {
			conns++
			conn = conns
		}
		requests[i].served = now.Add(requests[i].service)
		heap.Push(&ends, finish{at: requests[i].served, conn: conn})
	}
	release := func(until time.Time) {
		for len(ends) > 0 && !ends[0].at.After(until) {
			end := heap.Pop(&ends).(finish)
			now = end.at
			wakes, _ := p.Release(now, end.conn, "")
			for _, w := range wakes {
				start(w.Waiter, w.Grant)
			}
		}
	}
	every := float64(overloadService) / overloadSlots / overloadFactor
	next := origin
	for i := range overloadRequests {
		next = next.Add(time.Duration(r.ExpFloat64() * every))
		release(next)
		now = next
		requests = append(requests, arrival{at: now, service: time.Duration(r.ExpFloat64() * float64(overloadService))})
		ask := pool.Ask[int]{
			Waiter: i, QueueLimit: 1000, Deadline: now.Add(overloadPatience),
			Target: now.Add(overloadTarget - overloadService),
		}
		full := p.Waiting() > 0 || p.Open() >= overloadSlots && p.Idle() == 0
		wait := time.Duration(p.Ahead(now, ask)+1) * overloadService / overloadSlots
		if refuse {
			ask.Deadline = pool.LatestStart(now, now.Add(overloadTarget), ask.Deadline, overloadService)
		}
		if refuse && full && now.Add(wait).After(ask.Deadline) {
			continue
		}
		if g := p.Acquire(ask); g.Action != pool.ActionWait {
			start(i, g)
		}
	}
	inTime := 0
	for _, one := range requests {
		if !one.served.IsZero() && one.served.Sub(one.at) <= overloadTarget {
			inTime++
		}
	}
	return float64(inTime) / (overloadRequests / overloadFactor)
}

func TestAnOverloadedPrimaryServesWhatItsSlotsCanCarryInTime(t *testing.T) {
	// 0.95 of the slots' capacity is the stated target under overload.
	const bound = 0.95
	if share := overload(pool.NewOrdered[int](pool.OrderedConfig{}), true); share < bound {
		t.Errorf("served %.3f of the slots' capacity in time, want %.2f", share, bound)
	}
	if share := overload(pool.NewQueue[int](), false); share >= bound {
		t.Errorf("the pattern is no overload: a first-come queue serves %.3f of the capacity in time", share)
	}
}
