package pool_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

// fixedForecast expects the same number of connections of each key back.
type fixedForecast map[string]int

func (f fixedForecast) Returning(_ time.Time, key string) int { return f[key] }
func (f fixedForecast) UseTime() time.Duration                { return 15 * time.Millisecond }

func keyed(key string, w, ms int) pool.WaitRequest[int] {
	return pool.WaitRequest[int]{Key: key, Waiter: w, QueueLimit: 10, Since: at(ms), Target: at(ms + 200), Deadline: at(ms + 200)}
}

// Guards against a busy account that loses its only connection to a rare one. Load: an account with two idle connections
// and the most requests, one with a single connection and fewer, and a third without any.
func TestOnlyConnectionOfBusyKeyIsKept(t *testing.T) {
	p := pool.New[int](pool.Config[int]{Limit: 3, Forecast: fixedForecast{}})
	p.Acquire(keyed("single", 1, 0))
	p.Release(at(1), 1, "single")
	for i := range 100 {
		p.Acquire(keyed("several", 2, i))
		if i == 0 {
			p.Acquire(keyed("several", 3, i))
			p.Release(at(i), 3, "several")
		}
		p.Release(at(i), 2, "several")
	}
	p.Acquire(keyed("single", 1, 100))
	p.Release(at(101), 1, "single")
	g := p.Acquire(keyed("rare", 4, 102))
	if g.Action != pool.ActionOpen || len(g.Close) != 1 || g.Close[0] == 1 {
		t.Errorf("the grant is %+v, want one that replaces a connection of the account with several", g)
	}
}

// Guards against a connection that is opened although one of the same account is about to come back, and against a
// request that waits for ever for one that does not.
func TestWaiterWaitsForConnectionExpectedBack(t *testing.T) {
	forecast := fixedForecast{}
	p := pool.New[int](pool.Config[int]{Limit: 2, Forecast: forecast, Queue: pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})})
	p.Acquire(keyed("other", 1, 0))
	p.Acquire(keyed("own", 2, 0))
	p.Release(at(1), 1, "other")
	forecast["own"] = 1
	if g := p.Acquire(keyed("own", 3, 2)); g.Action != pool.ActionWait || p.Deferred() != 1 {
		t.Fatalf("the grant is %+v, want to wait for the connection in use", g)
	}
	if g := p.Acquire(keyed("other", 4, 3)); g.Action != pool.ActionUse || g.Conn != 1 {
		t.Fatalf("the grant is %+v, want the other account's own connection", g)
	}
	p.Release(at(4), 1, "other")
	wakeups, _ := p.Release(at(5), 2, "own")
	if len(wakeups) != 1 || wakeups[0].Waiter != 3 || wakeups[0].Grant.Conn != 2 {
		t.Fatalf("served %+v, want the waiter with the connection that came back", wakeups)
	}
	p.Acquire(keyed("own", 5, 6))
	forecast["own"] = 0
	wakeups = p.Wake(at(20))
	if len(wakeups) != 1 || wakeups[0].Grant.Action != pool.ActionOpen || wakeups[0].Grant.Close[0] != 1 {
		t.Fatalf("served %+v, want the waiter with a new connection", wakeups)
	}
}

// Guards against a request of one account on a connection of another, and against waiters that are lost: random
// operations on 3 keys, 3 connections and 2 permits.
func TestPoolWithKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, permits = 3, 2
		forecast := fixedForecast{}
		p := pool.New[int](pool.Config[int]{Limit: limit, Permits: permits, Forecast: forecast, Queue: pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})})
		keys := []string{"a", "b", "c"}
		keyOf, waiting := map[int]string{}, map[int]string{}
		var inUse []int
		conns, requests := 0, 0
		take := func(key string, g pool.Grant[int]) {
			for _, c := range g.Close {
				delete(keyOf, c)
			}
			conn := g.Conn
			if g.Action == pool.ActionOpen {
				conns++
				conn = conns
				keyOf[conn] = key
			}
			if keyOf[conn] != key {
				t.Fatalf("a request with key %s got a connection with key %q", key, keyOf[conn])
			}
			inUse = append(inUse, conn)
		}
		takeAll := func(wakeups []pool.Wakeup[int, int]) {
			for _, w := range wakeups {
				take(waiting[w.Waiter], w.Grant)
				delete(waiting, w.Waiter)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				requests++
				if g := p.Acquire(keyed(key, requests, 0)); g.Action == pool.ActionWait {
					waiting[requests] = key
				} else if g.Action != pool.ActionRefuse {
					take(key, g)
				}
			},
			"release": func(t *rapid.T) {
				if len(inUse) == 0 {
					return
				}
				conn := inUse[0]
				inUse = inUse[1:]
				wakeups, _ := p.Release(at(0), conn, keyOf[conn])
				takeAll(append(wakeups, p.ReleasePermit(at(0))...))
			},
			"forecast": func(t *rapid.T) {
				forecast[rapid.SampledFrom(keys).Draw(t, "key")] = rapid.IntRange(0, 2).Draw(t, "returning")
				takeAll(p.Wake(at(0)))
			},
			"": func(t *rapid.T) {
				if p.Open() != len(keyOf) || len(keyOf) > limit || len(inUse) > permits || p.Waiting() != len(waiting) {
					t.Fatalf("%d open of %d, %d in use, %d waiting of %d", p.Open(), len(keyOf), len(inUse), p.Waiting(), len(waiting))
				}
				if len(waiting) > p.Deferred() && len(inUse) < permits && p.Idle() > 0 {
					t.Fatalf("%d requests wait, %d of them for a connection in use, while others are idle", len(waiting), p.Deferred())
				}
			},
		})
	})
}
