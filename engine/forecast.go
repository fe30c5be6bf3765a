package engine

import (
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
)

// forecast predicts the use of connections for their pool, which calls it with the connections locked.
type forecast[L Link[L]] struct {
	connections *Connections[L]
}

// Returning returns how many links with key are expected back within the mean time of a dial from now.
//
// A link without a permit does not count, since its transaction waits for the caller;
// neither does one that is overdue by the time of a dial, or that is closed on release.
func (f forecast[L]) Returning(now time.Time, key string) int {
	c := f.connections
	n := 0
	for link, u := range c.inUse {
		mean := c.customerHoldTime[u.customer]
		if link.Key() != key || u.permitSince.IsZero() || u.generation != c.generation || mean == 0 {
			continue
		}
		if left := u.since.Add(mean).Sub(now); left.Abs() <= c.dialTime {
			n++
		}
	}
	return n
}

// UseTime returns the mean time that a request holds a link, or 0 until measured.
func (f forecast[L]) UseTime() time.Duration { return f.connections.holdTime }

// minWakeDelay bounds the rate of calls to wakeDeferred where dials take almost no time.
const minWakeDelay = time.Millisecond

// scheduleWake calls wakeDeferred within the time of a dial if waiters wait for a link of their key.
func (c *Connections[L]) scheduleWake() {
	if c.wakeScheduled || c.pool.Deferred() == 0 {
		return
	}
	c.wakeScheduled = true
	time.AfterFunc(max(minWakeDelay, c.dialTime), c.wakeDeferred)
}

// wakeDeferred serves the waiters whose link did not come back as expected.
func (c *Connections[L]) wakeDeferred() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeScheduled = false
	c.deliver(c.pool.Wake(clock.Now()))
}
