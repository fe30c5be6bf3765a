package pool_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

func TestTurnShareKeepsAllInstancesTogetherNearTheSlots(t *testing.T) {
	for _, c := range []struct{ slots, sharers, want int }{
		{0, 4, 0}, {3, 3, 2}, {3, 23, 1}, {6, 8, 2}, {5, 1, 10}, {2, 0, 4},
	} {
		if got := pool.TurnShare(c.slots, c.sharers); got != c.want {
			t.Errorf("%d slots shared by %d give %d turns each, want %d", c.slots, c.sharers, got, c.want)
		}
	}
}

// A transaction that rests keeps its connection but not its turn, and goes on before those without a connection.
func TestAHolderGoesOnBeforeThoseWithoutAConnection(t *testing.T) {
	p := pool.New[int](pool.Config[int]{Limit: 5, Turns: 1})
	if g := p.Acquire(pool.Ask[int]{Waiter: 1, QueueLimit: 10, Deadline: at(100)}); g.Action != pool.ActionOpen {
		t.Fatalf("the first got %v", g.Action)
	}
	if g := p.Acquire(pool.Ask[int]{Waiter: 2, QueueLimit: 10, Deadline: at(100)}); g.Action != pool.ActionWait {
		t.Fatalf("the second got %v though the only turn was taken", g.Action)
	}
	wakes := p.Rest(at(1))
	if len(wakes) != 1 || wakes[0].Waiter != 2 || wakes[0].Grant.Action != pool.ActionOpen {
		t.Fatalf("as the first rested, %v were woken", wakes)
	}
	p.Acquire(pool.Ask[int]{Waiter: 3, QueueLimit: 10, Deadline: at(100)})
	if g := p.Resume(1); g.Action != pool.ActionWait {
		t.Fatalf("the first went on at once with %v", g.Action)
	}
	wakes = p.Rest(at(2))
	if len(wakes) != 1 || wakes[0].Waiter != 1 || wakes[0].Grant.Action != pool.ActionResume {
		t.Fatalf("as the second rested, %v were woken", wakes)
	}
}

// TestPoolKeepsItsTurns plays any sequence of uses against the count of turns in the model.
func TestPoolKeepsItsTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "turns")
		p := pool.New[int](pool.Config[int]{Limit: 6, Turns: limit})
		// working and resting are the connections in use; waiting maps a waiter that resumes to its connection.
		var working, resting []int
		resuming := map[int]int{}
		conns, waiters := 0, 0
		take := func(w int, g pool.Grant[int]) {
			switch g.Action {
			case pool.ActionOpen:
				conns++
				working = append(working, conns)
			case pool.ActionUse:
				working = append(working, g.Conn)
			case pool.ActionResume:
				working = append(working, resuming[w])
				delete(resuming, w)
			}
		}
		wakes := func(ws []pool.Wake[int, int]) {
			for _, w := range ws {
				take(w.Waiter, w.Grant)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				waiters++
				take(waiters, p.Acquire(pool.Ask[int]{Waiter: waiters, QueueLimit: 4, Deadline: epoch.Add(time.Second)}))
			},
			"rest": func(t *rapid.T) {
				if len(working) > 0 {
					resting = append(resting, working[0])
					working = working[1:]
					wakes(p.Rest(epoch))
				}
			},
			"resume": func(t *rapid.T) {
				if len(resting) > 0 {
					waiters++
					resuming[waiters] = resting[0]
					resting = resting[1:]
					take(waiters, p.Resume(waiters))
				}
			},
			"release": func(t *rapid.T) {
				if len(working) > 0 {
					c := working[0]
					working = working[1:]
					ws, _ := p.Release(epoch, c, "")
					wakes(append(ws, p.Rest(epoch)...))
				}
			},
			"give up": func(t *rapid.T) {
				for w := range resuming {
					if !p.Cancel("", w) {
						t.Fatalf("waiter %d was not queued", w)
					}
					resting = append(resting, resuming[w])
					delete(resuming, w)
					return
				}
			},
			"": func(t *rapid.T) {
				if len(working) > limit {
					t.Fatalf("%d are at work, the limit is %d", len(working), limit)
				}
				if _, taken := p.Turns(); taken != len(working) {
					t.Fatalf("%d turns are counted, %d are at work", taken, len(working))
				}
				if len(resuming) > 0 && len(working) < limit {
					t.Fatalf("%d wait to go on though a turn is free", len(resuming))
				}
				if p.Open() != len(working)+len(resting)+len(resuming)+p.Idle() {
					t.Fatalf("%d open, but %d at work, %d resting, %d idle", p.Open(), len(working), len(resting)+len(resuming), p.Idle())
				}
			},
		})
	})
}
