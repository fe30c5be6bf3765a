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

// clerk starts requests on the connections that a pool grants.
type clerk struct {
	now      time.Time
	arrivals []arrival
	ends     finishes
	conns    int
}

// start puts a request to work.
func (c *clerk) start(i int, g pool.Grant[int]) {
	conn := g.Conn
	if g.Action == pool.ActionOpen {
		c.conns++
		conn = c.conns
	}
	c.arrivals[i].served = c.now.Add(c.arrivals[i].service)
	heap.Push(&c.ends, finish{at: c.arrivals[i].served, conn: conn})
}

// release ends what is done by a time, and starts what that lets go on.
func (c *clerk) release(p *pool.Pool[int, int], until time.Time) {
	for len(c.ends) > 0 && !c.ends[0].at.After(until) {
		end := heap.Pop(&c.ends).(finish)
		c.now = end.at
		wakes, _ := p.Release(c.now, end.conn, "")
		for _, w := range append(wakes, p.Rest(c.now)...) {
			c.start(w.Waiter, w.Grant)
		}
	}
	c.now = until
}

// overload plays the pattern on a pool and returns the share of the slots' capacity that was served within the target.
func overload(line pool.Line[int], refuse bool) float64 {
	r := rand.New(rand.NewPCG(7, 11))
	p := pool.New[int](pool.Config[int]{Limit: overloadSlots, Line: line})
	c := clerk{now: origin}
	every := float64(overloadService) / overloadSlots / overloadFactor
	next := origin
	for i := range overloadRequests {
		next = next.Add(time.Duration(r.ExpFloat64() * every))
		c.release(p, next)
		now := c.now
		c.arrivals = append(c.arrivals, arrival{at: now, service: time.Duration(r.ExpFloat64() * float64(overloadService))})
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
			c.start(i, g)
		}
	}
	inTime := 0
	for _, one := range c.arrivals {
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
	if share := overload(pool.NewFairQueue[int](), false); share >= bound {
		t.Errorf("the pattern is no overload: a first-come queue serves %.3f of the capacity in time", share)
	}
}
