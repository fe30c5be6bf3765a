package pool

import "time"

// turns counts the connections that are at work, and keeps those who wait to go on with one that they have.
type turns[W comparable] struct {
	limit int
	taken int
	// resuming are served before those who have no connection yet: others wait for what they hold.
	resuming []W
}

// free reports whether another connection may be at work.
func (t *turns[W]) free() bool { return t.limit == 0 || t.taken < t.limit }

func (t *turns[W]) remove(w W) bool {
	for i, other := range t.resuming {
		if other == w {
			t.resuming = append(t.resuming[:i], t.resuming[i+1:]...)
			return true
		}
	}
	return false
}

// Rest ends a turn: the holder of a connection waits for its caller, or has returned it.
func (p *Pool[C, W]) Rest(now time.Time) []Wake[C, W] {
	p.turns.taken--
	return p.wake(now)
}

// Resume takes a turn for the holder of a connection, or queues it before all who have none.
func (p *Pool[C, W]) Resume(w W) Grant[C] {
	if p.turns.free() {
		p.turns.taken++
		return Grant[C]{Action: ActionResume}
	}
	p.turns.resuming = append(p.turns.resuming, w)
	return Grant[C]{Action: ActionWait}
}

// resume hands free turns to those who hold a connection.
func (p *Pool[C, W]) resume() []Wake[C, W] {
	var wakes []Wake[C, W]
	for p.turns.free() && len(p.turns.resuming) > 0 {
		w := p.turns.resuming[0]
		p.turns.resuming = p.turns.resuming[1:]
		p.turns.taken++
		wakes = append(wakes, Wake[C, W]{Waiter: w, Grant: Grant[C]{Action: ActionResume}})
	}
	return wakes
}

// SetTurns changes how many connections may be at work at once, 0 for all, and returns the waiters that may go on.
func (p *Pool[C, W]) SetTurns(now time.Time, limit int) []Wake[C, W] {
	p.turns.limit = limit
	return p.wake(now)
}

// HasTurn reports whether another connection may be at work.
func (p *Pool[C, W]) HasTurn() bool { return p.turns.free() }

// Turns returns how many connections may be at work at once, and how many are.
func (p *Pool[C, W]) Turns() (limit, taken int) { return p.turns.limit, p.turns.taken }

// turnsPerSlot is how many requests are kept at an endpoint for each that it runs at once: the one that runs, and
// the next one, which must not first come over the network. More would wait there in the order of their arrival.
const turnsPerSlot = 2

// TurnShare returns how many turns each of sharers takes at an endpoint that runs slots requests at once, at least 1;
// 0 slots, which means that they are not known, give 0.
func TurnShare(slots, sharers int) int {
	if slots == 0 {
		return 0
	}
	sharers = max(1, sharers)
	return (turnsPerSlot*slots + sharers - 1) / sharers
}
