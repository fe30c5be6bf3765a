package pool_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

func TestPermitShare(t *testing.T) {
	for _, c := range []struct{ slots, sharers, want int }{
		{0, 4, 0}, {3, 3, 2}, {3, 23, 1}, {6, 8, 2}, {5, 1, 10}, {2, 0, 4},
	} {
		if got := pool.PermitShare(c.slots, c.sharers); got != c.want {
			t.Errorf("%d slots shared by %d give %d permits each, want %d", c.slots, c.sharers, got, c.want)
		}
	}
}

// A transaction that has released its permit still holds its connection. It is granted a permit before waiters without a
// connection, which may need the one that it holds.
func TestConnectionHolderGetsPermitFirst(t *testing.T) {
	p := pool.New[int](pool.Config[int]{Limit: 5, Permits: 1})
	if g := p.Acquire(pool.WaitRequest[int]{Waiter: 1, QueueLimit: 10, Deadline: at(100)}); g.Action != pool.ActionOpen {
		t.Fatalf("the first request got %v", g.Action)
	}
	if g := p.Acquire(pool.WaitRequest[int]{Waiter: 2, QueueLimit: 10, Deadline: at(100)}); g.Action != pool.ActionWait {
		t.Fatalf("the second request got %v though the only permit was in use", g.Action)
	}
	wakeups := p.ReleasePermit(at(1))
	if len(wakeups) != 1 || wakeups[0].Waiter != 2 || wakeups[0].Grant.Action != pool.ActionOpen {
		t.Fatalf("after the first request released its permit, %v were served", wakeups)
	}
	p.Acquire(pool.WaitRequest[int]{Waiter: 3, QueueLimit: 10, Deadline: at(100)})
	if g := p.ReacquirePermit(1); g.Action != pool.ActionWait {
		t.Fatalf("the first request reacquired the permit at once with %v", g.Action)
	}
	wakeups = p.ReleasePermit(at(2))
	if len(wakeups) != 1 || wakeups[0].Waiter != 1 || wakeups[0].Grant.Action != pool.ActionReacquire {
		t.Fatalf("after the second request released its permit, %v were served", wakeups)
	}
}

// TestPoolNeverExceedsPermits compares a pool with a model of its permits over random sequences of operations.
func TestPoolNeverExceedsPermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "turns")
		p := pool.New[int](pool.Config[int]{Limit: 6, Permits: limit})
		// running and paused list the connections in use with and without a permit; reacquiring maps the waiters for a
		// permit to their connections.
		var running, paused []int
		reacquiring := map[int]int{}
		conns, waiters := 0, 0
		applyGrant := func(w int, g pool.Grant[int]) {
			switch g.Action {
			case pool.ActionOpen:
				conns++
				running = append(running, conns)
			case pool.ActionUse:
				running = append(running, g.Conn)
			case pool.ActionReacquire:
				running = append(running, reacquiring[w])
				delete(reacquiring, w)
			}
		}
		deliver := func(ws []pool.Wakeup[int, int]) {
			for _, w := range ws {
				applyGrant(w.Waiter, w.Grant)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				waiters++
				applyGrant(waiters, p.Acquire(pool.WaitRequest[int]{Waiter: waiters, QueueLimit: 4, Deadline: epoch.Add(time.Second)}))
			},
			"rest": func(t *rapid.T) {
				if len(running) > 0 {
					paused = append(paused, running[0])
					running = running[1:]
					deliver(p.ReleasePermit(epoch))
				}
			},
			"resume": func(t *rapid.T) {
				if len(paused) > 0 {
					waiters++
					reacquiring[waiters] = paused[0]
					paused = paused[1:]
					applyGrant(waiters, p.ReacquirePermit(waiters))
				}
			},
			"release": func(t *rapid.T) {
				if len(running) > 0 {
					c := running[0]
					running = running[1:]
					ws, _ := p.Release(epoch, c, "")
					deliver(append(ws, p.ReleasePermit(epoch)...))
				}
			},
			"cancel a wait": func(t *rapid.T) {
				for w := range reacquiring {
					if !p.Cancel("", w) {
						t.Fatalf("waiter %d was not queued", w)
					}
					paused = append(paused, reacquiring[w])
					delete(reacquiring, w)
					return
				}
			},
			"": func(t *rapid.T) {
				if len(running) > limit {
					t.Fatalf("%d requests run, the limit is %d", len(running), limit)
				}
				if _, inUse := p.Permits(); inUse != len(running) {
					t.Fatalf("%d permits are counted, %d requests run", inUse, len(running))
				}
				if len(reacquiring) > 0 && len(running) < limit {
					t.Fatalf("%d wait for a permit though one is free", len(reacquiring))
				}
				if p.Open() != len(running)+len(paused)+len(reacquiring)+p.Idle() {
					t.Fatalf("%d open, but %d running, %d paused, %d idle", p.Open(), len(running), len(paused)+len(reacquiring), p.Idle())
				}
			},
		})
	})
}
