package pool

import "time"

// permits limits how many connections run a request, and queues the holders of connections that wait for a permit.
type permits[W comparable] struct {
	limit int
	inUse int
	// reacquiring is served before waiters without a connection: its waiters hold connections that others wait for.
	reacquiring []W
}

// free reports whether a permit is free.
func (p *permits[W]) free() bool { return p.limit == 0 || p.inUse < p.limit }

func (p *permits[W]) remove(w W) bool {
	for i, other := range p.reacquiring {
		if other == w {
			p.reacquiring = append(p.reacquiring[:i], p.reacquiring[i+1:]...)
			return true
		}
	}
	return false
}

// ReleasePermit releases a permit: the holder of a connection waits for its caller, or has returned the connection.
func (p *Pool[C, W]) ReleasePermit(now time.Time) []Wakeup[C, W] {
	p.permits.inUse--
	return p.wake(now)
}

// ReacquirePermit grants w, the holder of a connection, a permit, or queues w before all waiters without a connection.
func (p *Pool[C, W]) ReacquirePermit(w W) Grant[C] {
	if p.permits.free() {
		p.permits.inUse++
		return Grant[C]{Action: ActionReacquire}
	}
	p.permits.reacquiring = append(p.permits.reacquiring, w)
	return Grant[C]{Action: ActionWait}
}

// wakeReacquiring grants free permits to the queued holders of connections.
func (p *Pool[C, W]) wakeReacquiring() []Wakeup[C, W] {
	var wakeups []Wakeup[C, W]
	for p.permits.free() && len(p.permits.reacquiring) > 0 {
		w := p.permits.reacquiring[0]
		p.permits.reacquiring = p.permits.reacquiring[1:]
		p.permits.inUse++
		wakeups = append(wakeups, Wakeup[C, W]{Waiter: w, Grant: Grant[C]{Action: ActionReacquire}})
	}
	return wakeups
}

// SetPermits changes the number of permits, 0 for no limit, and returns the waiters that are served.
func (p *Pool[C, W]) SetPermits(now time.Time, limit int) []Wakeup[C, W] {
	p.permits.limit = limit
	return p.wake(now)
}

// HasFreePermit reports whether a permit is free.
func (p *Pool[C, W]) HasFreePermit() bool { return p.permits.free() }

// Permits returns the number of permits, and how many of them are in use.
func (p *Pool[C, W]) Permits() (limit, inUse int) { return p.permits.limit, p.permits.inUse }

// permitsPerSlot is how many requests are kept at an endpoint for each request that it runs at once: the running
// request, and the next request, which then need not cross the network first. More requests would wait at the endpoint
// in the order of their arrival.
const permitsPerSlot = 2

// PermitShare returns how many permits each of sharers instances has at an endpoint that runs slots requests at once.
//
// It returns at least 1, or 0 when slots is 0, which means that it is not known.
func PermitShare(slots, sharers int) int {
	if slots == 0 {
		return 0
	}
	sharers = max(1, sharers)
	return (permitsPerSlot*slots + sharers - 1) / sharers
}
