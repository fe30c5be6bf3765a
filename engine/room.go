package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
)

// ErrEndpointFull is in the chain of a dial's error when the endpoint takes no more connections.
var ErrEndpointFull = errors.New("the endpoint takes no more connections")

const (
	// capDuration is how long no further link is opened to an endpoint that takes no more.
	capDuration = 300 * time.Millisecond
	// minDialInterval is the least time between two dials of an endpoint that takes no more, however many requests wait.
	minDialInterval = 50 * time.Millisecond
	// maxDialInterval is the longest such time, which grows with each refusal: what holds the places may do so for
	// seconds, and every dial costs the endpoint a slot.
	maxDialInterval = 400 * time.Millisecond
)

// dialBackoff paces the dials of an endpoint that takes no more connections.
type dialBackoff struct {
	// interval is the time between two dials, or 0 while the endpoint takes them.
	interval time.Duration
	// nextDial is when the next may be made.
	nextDial time.Time
}

// recordRefusal notes that the endpoint takes no more; the jitter keeps instances from dialing at the same time.
func (r *dialBackoff) recordRefusal(now time.Time) {
	r.interval = min(max(2*r.interval, minDialInterval), maxDialInterval)
	r.nextDial = now.Add(r.interval + rand.N(r.interval/2))
}

// delay returns how long to wait for the delay dial; 0 takes it.
func (r *dialBackoff) delay(now time.Time) time.Duration {
	if r.interval == 0 {
		return 0
	}
	if wait := r.nextDial.Sub(now); wait > 0 {
		return wait
	}
	r.nextDial = now.Add(r.interval)
	return 0
}

// limitToOpen makes requests wait for the links that there are, and reports whether r has time to.
func (c *Connections[L]) limitToOpen(ctx context.Context, r Request) bool {
	c.mu.Lock()
	c.backoff.recordRefusal(clock.Now())
	if !c.capped {
		c.capped = true
		time.AfterFunc(capDuration, c.restoreLimit)
	}
	// The limit never falls to 0, so that a first link is tried again.
	wakes, closes := c.pool.SetLimit(clock.Now(), max(1, c.pool.Open()))
	deliver(wakes)
	c.mu.Unlock()
	c.retireLater(closes)
	return ctx.Err() == nil && clock.Now().Before(r.Deadline)
}

// restoreLimit lets the pool grow to its limit again.
func (c *Connections[L]) restoreLimit() {
	c.mu.Lock()
	c.capped = false
	limit := c.limit
	c.mu.Unlock()
	c.SetLimit(limit)
}

// dialFailed gives back the place of a link that could not be opened, and the turn if it is still held.
func (c *Connections[L]) dialFailed(turn bool) {
	c.mu.Lock()
	now := clock.Now()
	wakes := c.pool.Discard(now)
	if turn {
		wakes = append(wakes, c.pool.Rest(now)...)
	}
	deliver(wakes)
	c.mu.Unlock()
}

// open dials a link within a bounded time: a dial without an answer must not keep its place in the pool.
//
// turn reports whether the caller's turn is still held, as it is after a success.
func (c *Connections[L]) open(ctx context.Context, r Request) (link L, turn bool, err error) {
	for {
		c.mu.Lock()
		pause := c.backoff.delay(clock.Now())
		c.mu.Unlock()
		if pause == 0 {
			break
		}
		if clock.Now().Add(pause).After(r.Deadline) {
			return link, true, c.timeoutError()
		}
		if turn, err := c.awaitDial(ctx, pause, r.Deadline); err != nil {
			return link, turn, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	link, err = c.dial(ctx, r.Key)
	if err == nil {
		c.mu.Lock()
		c.backoff = dialBackoff{}
		c.mu.Unlock()
	}
	return link, true, err
}

// awaitDial waits until the next dial, and lets others have the turn meanwhile: those who hold a link can use it.
func (c *Connections[L]) awaitDial(ctx context.Context, pause time.Duration, deadline time.Time) (turn bool, err error) {
	c.mu.Lock()
	wakes := c.pool.Rest(clock.Now())
	deliver(wakes)
	c.mu.Unlock()
	if err := Sleep(ctx, pause); err != nil {
		return false, err
	}
	if !c.acquirePermit(ctx, deadline) {
		return false, c.timeoutError()
	}
	return true, nil
}

// dialTimeout bounds the dial of a link, its handshake and the detour through another instance included.
const dialTimeout = time.Second
