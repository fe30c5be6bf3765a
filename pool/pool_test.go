package pool_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

var epoch = time.Unix(1000, 0)

func TestFairQueueServesCustomersRoundRobin(t *testing.T) {
	q := pool.NewFairQueue[int]()
	late := epoch.Add(time.Minute)
	for i := range 3 {
		q.Push(pool.WaitRequest[int]{Customer: "busy", QueueLimit: 10, Waiter: i, Deadline: late})
	}
	q.Push(pool.WaitRequest[int]{Customer: "quiet", QueueLimit: 10, Waiter: 100, Deadline: late})
	var got []int
	for {
		v, ok := q.Pop(epoch)
		if !ok {
			break
		}
		got = append(got, v)
	}
	if diff := cmp.Diff([]int{0, 100, 1, 2}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestFairQueueIsBoundedAndDropsExpired(t *testing.T) {
	q := pool.NewFairQueue[int]()
	q.Push(pool.WaitRequest[int]{Customer: "c", QueueLimit: 2, Waiter: 1, Deadline: epoch})
	q.Push(pool.WaitRequest[int]{Customer: "c", QueueLimit: 2, Waiter: 2, Deadline: epoch.Add(time.Minute)})
	if q.Push(pool.WaitRequest[int]{Customer: "c", QueueLimit: 2, Waiter: 3, Deadline: epoch.Add(time.Minute)}) {
		t.Error("a full queue accepted another request")
	}
	if v, ok := q.Pop(epoch); !ok || v != 2 {
		t.Errorf("Pop = %d, %v; want 2, whose deadline has not passed", v, ok)
	}
}

// TestPoolNeverExceedsLimit compares a pool with a model of its connections over random sequences of operations.
func TestPoolNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		p := pool.New[int](pool.Config[int]{Limit: limit})
		inUse := map[int]bool{}
		next := 0
		take := func(g pool.Grant[int]) {
			c := g.Conn
			if g.Action == pool.ActionOpen {
				next++
				c = next
			}
			if inUse[c] {
				t.Fatalf("connection %d was granted twice", c)
			}
			inUse[c] = true
		}
		lowestInUse := func() int {
			lowest := 0
			for c := range inUse {
				if lowest == 0 || c < lowest {
					lowest = c
				}
			}
			return lowest
		}
		deliver := func(ws []pool.Wakeup[int, int]) {
			for _, w := range ws {
				take(w.Grant)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				g := p.Acquire(pool.WaitRequest[int]{Customer: "c", QueueLimit: 3, Deadline: epoch.Add(time.Second)})
				if g.Action == pool.ActionUse || g.Action == pool.ActionOpen {
					take(g)
				}
			},
			"release": func(t *rapid.T) {
				if c := lowestInUse(); c != 0 {
					delete(inUse, c)
					ws, _ := p.Release(epoch, c, "")
					deliver(ws)
				}
			},
			"discard": func(t *rapid.T) {
				if c := lowestInUse(); c != 0 {
					delete(inUse, c)
					deliver(p.Discard(epoch))
				}
			},
			"raise": func(t *rapid.T) {
				limit++
				ws, _ := p.SetLimit(epoch, limit)
				deliver(ws)
			},
			"": func(t *rapid.T) {
				if len(inUse)+p.Idle() != p.Open() {
					t.Fatalf("%d in use and %d idle, but %d open", len(inUse), p.Idle(), p.Open())
				}
				if p.Open() > limit {
					t.Fatalf("%d open, limit %d", p.Open(), limit)
				}
				if p.Waiting() > 0 && p.Idle() > 0 {
					t.Fatalf("%d requests wait while %d connections are idle", p.Waiting(), p.Idle())
				}
			},
		})
	})
}
