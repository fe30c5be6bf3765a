package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/pool"
)

// linkUse says since when, and since which generation of links, a link is in linkUse.
type linkUse struct {
	generation uint64
	since      time.Time
	// permitSince is when the link's turn began, or zero while it rests.
	permitSince time.Time
	customer    string
}

// meanDecay is the weight of the past in the estimate of how long a request holds a link.
const meanDecay = 0.9

// waiter is one session that waits for a connection.
type waiter[L Link[L]] struct {
	key   string
	grant chan pool.Grant[L]
}

// Key returns the pool key that the waiter needs.
func (w *waiter[L]) Key() string { return w.key }

// Request says who asks for a connection and how long it may wait.
type Request struct {
	Customer   string
	Key        string
	QueueLimit int
	Deadline   time.Time
	MaxIdle    time.Duration
	// Priority is the customer's place where requests compete; 0 goes first.
	Priority int
	// Target is the time by which the request is to be answered for its full worth.
	Target time.Time
	// Service is how long the endpoint is expected to take once the request is sent.
	Service time.Duration
}

func (c *Connections[L]) acquire(ctx context.Context, r Request) (link L, err error) {
	w := &waiter[L]{key: r.Key, grant: make(chan pool.Grant[L], 1)}
	now := clock.Now()
	c.mu.Lock()
	if usual := c.customerPermitTime[r.Customer]; usual > 0 {
		r.Service = usual
	}
	if c.queue != nil {
		r.Deadline = pool.LatestStart(now, r.Target, r.Deadline, r.Service)
	}
	ask := pool.Ask[*waiter[L]]{
		Customer:   r.Customer,
		Key:        r.Key,
		Waiter:     w,
		QueueLimit: r.QueueLimit,
		Deadline:   r.Deadline,
		Priority:   r.Priority,
		Target:     r.Target.Add(-r.Service),
		Service:    r.Service,
		Since:      now,
	}
	if wait, refused := c.overloaded(now, ask); refused {
		c.mu.Unlock()
		return link, c.overloadedError(wait)
	}
	g := c.pool.Acquire(ask)
	c.mu.Unlock()
	switch g.Action {
	case pool.ActionRefuse:
		return link, c.queueFullError(r)
	case pool.ActionWait:
		return c.awaitGrant(ctx, r, w)
	}
	return c.connect(ctx, r, g)
}

// overloaded reports whether ask is to be refused because too much waits before it, and how long that takes.
//
// Where the turns are what is short, it may be others that are refused instead.
func (c *Connections[L]) overloaded(now time.Time, ask pool.Ask[*waiter[L]]) (wait time.Duration, refused bool) {
	turns, _ := c.pool.Turns()
	hasLink := c.pool.Idle() > 0 || c.pool.Open() < c.pool.Limit()
	if c.queue == nil || c.pool.Waiting() == 0 && hasLink && c.pool.HasTurn() {
		return 0, false
	}
	if !hasLink || turns == 0 {
		before := time.Duration(c.pool.Ahead(now, ask) + 1)
		wait = before * c.holdTime / time.Duration(max(1, c.pool.Limit()))
		if now.Add(wait).After(ask.Deadline) {
			return wait, true
		}
	}
	if turns == 0 {
		return 0, false
	}
	next := c.permitTime / time.Duration(turns)
	gone, refused := c.queue.Hopeless(pool.Schedule{Now: now, First: next, Turns: turns, Service: c.permitTime}, ask)
	for _, w := range gone {
		if c.pool.Cancel("", w) {
			w.grant <- pool.Grant[L]{Action: pool.ActionRefuse}
		}
	}
	return time.Duration(c.pool.Waiting()+1) * next, refused
}

// overloadedError returns the error of a request that would have to wait for too long.
func (c *Connections[L]) overloadedError(wait time.Duration) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: fmt.Sprintf("%s has work for %v before this request, which did not run", c.endpoint, wait.Round(time.Millisecond)),
		Remedy:  fmt.Sprintf("try again in %v", wait.Round(time.Millisecond)),
	})
}

// endUse ends the use of a link, counts how long it took, and returns the waiters that may go on.
func (c *Connections[L]) endUse(now time.Time, conn L) []pool.Wake[L, *waiter[L]] {
	was, held := c.inUse[conn]
	if !held {
		return nil
	}
	delete(c.inUse, conn)
	c.holdTime = updateMean(c.holdTime, now.Sub(was.since))
	if was.permitSince.IsZero() {
		return nil
	}
	return c.endPermit(now, was)
}

// updateMean brings an estimate of a usual time up to date.
func updateMean(usual, seen time.Duration) time.Duration {
	if usual == 0 {
		return seen
	}
	return time.Duration(meanDecay*float64(usual) + (1-meanDecay)*float64(seen))
}

// ReleasePermit ends the turn of a link that stays in use while its transaction waits for the caller.
func (c *Connections[L]) ReleasePermit(conn L) {
	c.mu.Lock()
	was, held := c.inUse[conn]
	if !held || was.permitSince.IsZero() {
		c.mu.Unlock()
		return
	}
	wakes := c.endPermit(clock.Now(), was)
	was.permitSince = time.Time{}
	c.inUse[conn] = was
	deliver(wakes)
	c.mu.Unlock()
}

// maxCustomerTimes bounds the number of customers whose usual turns are kept; beyond it they are learned anew.
const maxCustomerTimes = 4096

// endPermit ends a turn and learns how long it took.
func (c *Connections[L]) endPermit(now time.Time, was linkUse) []pool.Wake[L, *waiter[L]] {
	took := now.Sub(was.permitSince)
	c.permitTime = updateMean(c.permitTime, took)
	if len(c.customerPermitTime) >= maxCustomerTimes {
		clear(c.customerPermitTime)
	}
	c.customerPermitTime[was.customer] = updateMean(c.customerPermitTime[was.customer], took)
	return c.pool.Rest(now)
}

// ReacquirePermit waits for the next turn of a link that rests; it fails with KindTimeout at the deadline.
func (c *Connections[L]) ReacquirePermit(ctx context.Context, conn L, deadline time.Time) error {
	if !c.acquirePermit(ctx, deadline) {
		return c.timeoutError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.inUse[conn]
	was.permitSince = clock.Now()
	c.inUse[conn] = was
	return nil
}

// acquirePermit waits for a turn, before all who have no link, and reports whether it came.
func (c *Connections[L]) acquirePermit(ctx context.Context, deadline time.Time) bool {
	c.mu.Lock()
	var w *waiter[L]
	if !c.pool.HasTurn() {
		w = &waiter[L]{grant: make(chan pool.Grant[L], 1)}
	}
	g := c.pool.Resume(w)
	c.mu.Unlock()
	return g.Action != pool.ActionWait || c.awaitPermit(ctx, w, deadline)
}

// awaitPermit waits for a turn and reports whether it came.
func (c *Connections[L]) awaitPermit(ctx context.Context, w *waiter[L], deadline time.Time) bool {
	timer := time.NewTimer(clock.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.grant:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	queued := c.pool.Cancel("", w)
	c.mu.Unlock()
	if !queued {
		c.returnGrant(w)
	}
	return false
}

func (c *Connections[L]) awaitGrant(ctx context.Context, r Request, w *waiter[L]) (link L, err error) {
	timer := time.NewTimer(clock.Until(r.Deadline))
	defer timer.Stop()
	select {
	case g := <-w.grant:
		if g.Action == pool.ActionRefuse {
			return link, c.evictedError()
		}
		return c.connect(ctx, r, g)
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	queued := c.pool.Cancel(r.Customer, w)
	c.mu.Unlock()
	if !queued {
		c.returnGrant(w)
	}
	return link, c.timeoutError()
}

// evictedError returns the error of a waiter that was given up for others.
func (c *Connections[L]) evictedError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	turns, _ := c.pool.Turns()
	return c.overloadedError(time.Duration(c.pool.Waiting()) * c.permitTime / time.Duration(max(1, turns)))
}

// timeoutError returns the error of a request that has waited for as long as it may.
func (c *Connections[L]) timeoutError() error {
	return fault.New(fault.Config{
		Kind:    fault.KindTimeout,
		Message: "no connection to " + c.endpoint + " came free in time; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_timeout",
	})
}

// returnGrant returns a grant that arrived as its waiter gave up.
func (c *Connections[L]) returnGrant(w *waiter[L]) {
	select {
	case g := <-w.grant:
		if g.Action == pool.ActionRefuse {
			return
		}
		c.retireAll(g.Close)
		c.mu.Lock()
		now := clock.Now()
		var wakes []pool.Wake[L, *waiter[L]]
		var closes []L
		switch g.Action {
		case pool.ActionUse:
			wakes, closes = c.pool.Release(now, g.Conn, g.Conn.Key())
		case pool.ActionOpen:
			wakes = c.pool.Discard(now)
		}
		wakes = append(wakes, c.pool.Rest(now)...)
		deliver(wakes)
		c.mu.Unlock()
		c.retireLater(closes)
	default:
	}
}

func (c *Connections[L]) queueFullError(r Request) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: "the queue of customer " + r.Customer + " for " + c.endpoint + " is full; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_length",
	})
}
