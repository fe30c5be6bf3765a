package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
)

// ErrEndpointAtLimit is wrapped by the error of a dial when the endpoint has reached its connection limit.
var ErrEndpointAtLimit = errors.New("the endpoint has reached its connection limit")

const (
	// capDuration is how long no further link is opened to an endpoint that has reached its limit.
	capDuration = 300 * time.Millisecond
	// minDialInterval is the minimum time between two dials of an endpoint at its limit, however many requests wait.
	minDialInterval = 50 * time.Millisecond
	// maxDialInterval bounds that time before the jitter; it doubles with each refusal, because the connections that
	// exhaust the limit may stay open for seconds, and every dial costs the endpoint a slot.
	maxDialInterval = 400 * time.Millisecond
)

// dialBackoff limits the rate of dials to an endpoint that has reached its connection limit.
type dialBackoff struct {
	// interval is the time between two dials, or 0 while the endpoint accepts connections.
	interval time.Duration
	// nextDial is the earliest time of the next dial.
	nextDial time.Time
}

// recordRefusal records a refused dial; the jitter keeps instances from dialing at the same time.
func (b *dialBackoff) recordRefusal(now time.Time) {
	b.interval = min(max(2*b.interval, minDialInterval), maxDialInterval)
	b.nextDial = now.Add(b.interval + rand.N(b.interval/2))
}

// record records the result of a dial.
func (b *dialBackoff) record(now time.Time, err error) {
	if errors.Is(err, ErrEndpointAtLimit) {
		b.recordRefusal(now)
		return
	}
	*b = dialBackoff{}
}

// delay returns how long to wait before dialing; after a result of 0, the caller dials and others wait for interval.
func (b *dialBackoff) delay(now time.Time) time.Duration {
	if b.interval == 0 {
		return 0
	}
	if wait := b.nextDial.Sub(now); wait > 0 {
		return wait
	}
	b.nextDial = now.Add(b.interval)
	return 0
}

// limitToOpen caps the pool at its open links after a refused dial, so that requests wait for these, and reports
// whether r has time left to wait.
func (c *Connections[L]) limitToOpen(ctx context.Context, r AcquireRequest) bool {
	c.mu.Lock()
	c.backoff.recordRefusal(clock.Now())
	if !c.capped {
		c.capped = true
		time.AfterFunc(capDuration, c.restoreLimit)
	}
	// The limit stays above 0, so that the first link is dialed again.
	wakeups, toClose := c.pool.SetLimit(clock.Now(), max(1, c.pool.Open()))
	c.deliver(wakeups)
	c.mu.Unlock()
	c.retireLater(toClose)
	return ctx.Err() == nil && clock.Now().Before(r.Deadline)
}

// restoreLimit ends the cap of limitToOpen.
func (c *Connections[L]) restoreLimit() {
	c.mu.Lock()
	c.capped = false
	limit := c.limit
	c.mu.Unlock()
	c.SetLimit(limit)
}

// dialFailed removes a link that could not be opened for r from the pool's count, and releases the permit if it is held.
func (c *Connections[L]) dialFailed(r AcquireRequest, permit bool) {
	c.mu.Lock()
	now := clock.Now()
	c.charge(r.Account, r.Service, 0)
	wakeups := c.pool.Discard(now)
	if permit {
		wakeups = append(wakeups, c.pool.ReleasePermit(now)...)
	}
	c.deliver(wakeups)
	c.mu.Unlock()
}

// open dials a link, bounded by dialTimeout: a dial without an answer would otherwise stay in the pool's count.
//
// permit reports whether the request still holds its permit, as it does after a success.
func (c *Connections[L]) open(ctx context.Context, r AcquireRequest) (link L, permit bool, err error) {
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
		if permit, err := c.awaitDial(ctx, pause, r.Deadline); err != nil {
			return link, permit, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialedAt := clock.Now()
	link, err = c.dial(ctx, r.Key)
	if err == nil {
		c.mu.Lock()
		c.dialTime = updateMean(c.dialTime, clock.Since(dialedAt))
		c.backoff = dialBackoff{}
		c.mu.Unlock()
	}
	return link, true, err
}

// awaitDial waits until the next dial and releases the permit meanwhile, so that a request with a link can run.
//
// permit reports whether the permit was reacquired.
func (c *Connections[L]) awaitDial(ctx context.Context, pause time.Duration, deadline time.Time) (permit bool, err error) {
	c.mu.Lock()
	wakeups := c.pool.ReleasePermit(clock.Now())
	c.deliver(wakeups)
	c.mu.Unlock()
	if err := Sleep(ctx, pause); err != nil {
		return false, err
	}
	if !c.acquirePermit(ctx, deadline) {
		return false, c.timeoutError()
	}
	return true, nil
}

// dialTimeout bounds the dial of a link, including its handshake and a tunnel through another instance.
const dialTimeout = time.Second
