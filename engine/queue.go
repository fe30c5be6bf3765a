package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/pool"
)

// use says since when, and since which generation of links, a link is in use.
type use struct {
	generation uint64
	since      time.Time
	// workSince is when the link's turn began, or zero while it rests.
	workSince time.Time
	customer  string
}

// holdDecay is the weight of the past in the estimate of how long a request holds a link.
const holdDecay = 0.9

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
	if usual := c.turnOf[r.Customer]; usual > 0 {
		r.Service = usual
	}
	if c.line != nil {
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
	if wait, refused := c.crowded(now, ask); refused {
		c.mu.Unlock()
		return link, c.hopeless(wait)
	}
	g := c.pool.Acquire(ask)
	c.mu.Unlock()
	switch g.Action {
	case pool.ActionRefuse:
		return link, c.full(r)
	case pool.ActionWait:
		return c.wait(ctx, r, w)
	}
	return c.take(ctx, r, g)
}

// crowded reports whether ask is to be refused because too much waits before it, and how long that takes.
//
// Where the turns are what is short, it may be others that are refused instead.
func (c *Connections[L]) crowded(now time.Time, ask pool.Ask[*waiter[L]]) (wait time.Duration, refused bool) {
	turns, _ := c.pool.Turns()
	hasLink := c.pool.Idle() > 0 || c.pool.Open() < c.pool.Limit()
	if c.line == nil || c.pool.Waiting() == 0 && hasLink && c.pool.HasTurn() {
		return 0, false
	}
	if !hasLink || turns == 0 {
		before := time.Duration(c.pool.Ahead(now, ask) + 1)
		wait = before * c.hold / time.Duration(max(1, c.pool.Limit()))
		if now.Add(wait).After(ask.Deadline) {
			return wait, true
		}
	}
	if turns == 0 {
		return 0, false
	}
	next := c.turn / time.Duration(turns)
	gone, refused := c.line.Hopeless(pool.Schedule{Now: now, First: next, Turns: turns, Service: c.turn}, ask)
	for _, w := range gone {
		if c.pool.Cancel("", w) {
			w.grant <- pool.Grant[L]{Action: pool.ActionRefuse}
		}
	}
	return time.Duration(c.pool.Waiting()+1) * next, refused
}

// hopeless returns the error of a request that would have to wait for too long.
func (c *Connections[L]) hopeless(wait time.Duration) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: fmt.Sprintf("%s has work for %v before this request, which did not run", c.endpoint, wait.Round(time.Millisecond)),
		Remedy:  fmt.Sprintf("try again in %v", wait.Round(time.Millisecond)),
	})
}

// notHeld ends the use of a link, counts how long it took, and returns the waiters that may go on.
func (c *Connections[L]) notHeld(now time.Time, conn L) []pool.Wake[L, *waiter[L]] {
	was, held := c.inUse[conn]
	if !held {
		return nil
	}
	delete(c.inUse, conn)
	c.hold = follow(c.hold, now.Sub(was.since))
	if was.workSince.IsZero() {
		return nil
	}
	return c.rest(now, was)
}

// follow brings an estimate of a usual time up to date.
func follow(usual, seen time.Duration) time.Duration {
	if usual == 0 {
		return seen
	}
	return time.Duration(holdDecay*float64(usual) + (1-holdDecay)*float64(seen))
}

// Rest ends the turn of a link that stays in use while its transaction waits for the caller.
func (c *Connections[L]) Rest(conn L) {
	c.mu.Lock()
	was, held := c.inUse[conn]
	if !held || was.workSince.IsZero() {
		c.mu.Unlock()
		return
	}
	wakes := c.rest(clock.Now(), was)
	was.workSince = time.Time{}
	c.inUse[conn] = was
	wake(wakes)
	c.mu.Unlock()
}

// maxTurnOf bounds the number of customers whose usual turns are kept; beyond it they are learned anew.
const maxTurnOf = 4096

// rest ends a turn and learns how long it took.
func (c *Connections[L]) rest(now time.Time, was use) []pool.Wake[L, *waiter[L]] {
	took := now.Sub(was.workSince)
	c.turn = follow(c.turn, took)
	if len(c.turnOf) >= maxTurnOf {
		clear(c.turnOf)
	}
	c.turnOf[was.customer] = follow(c.turnOf[was.customer], took)
	return c.pool.Rest(now)
}

// Resume waits for the next turn of a link that rests; it fails with KindTimeout at the deadline.
func (c *Connections[L]) Resume(ctx context.Context, conn L, deadline time.Time) error {
	if !c.takeTurn(ctx, deadline) {
		return c.late()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.inUse[conn]
	was.workSince = clock.Now()
	c.inUse[conn] = was
	return nil
}

// takeTurn waits for a turn, before all who have no link, and reports whether it came.
func (c *Connections[L]) takeTurn(ctx context.Context, deadline time.Time) bool {
	c.mu.Lock()
	var w *waiter[L]
	if !c.pool.HasTurn() {
		w = &waiter[L]{grant: make(chan pool.Grant[L], 1)}
	}
	g := c.pool.Resume(w)
	c.mu.Unlock()
	return g.Action != pool.ActionWait || c.granted(ctx, w, deadline)
}

// granted waits for a turn and reports whether it came.
func (c *Connections[L]) granted(ctx context.Context, w *waiter[L], deadline time.Time) bool {
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
		c.giveBack(w)
	}
	return false
}

func (c *Connections[L]) wait(ctx context.Context, r Request, w *waiter[L]) (link L, err error) {
	timer := time.NewTimer(clock.Until(r.Deadline))
	defer timer.Stop()
	select {
	case g := <-w.grant:
		if g.Action == pool.ActionRefuse {
			return link, c.madeWay()
		}
		return c.take(ctx, r, g)
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	queued := c.pool.Cancel(r.Customer, w)
	c.mu.Unlock()
	if !queued {
		c.giveBack(w)
	}
	return link, c.late()
}

// madeWay returns the error of a waiter that was given up for others.
func (c *Connections[L]) madeWay() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	turns, _ := c.pool.Turns()
	return c.hopeless(time.Duration(c.pool.Waiting()) * c.turn / time.Duration(max(1, turns)))
}

// late returns the error of a request that has waited for as long as it may.
func (c *Connections[L]) late() error {
	return fault.New(fault.Config{
		Kind:    fault.KindTimeout,
		Message: "no connection to " + c.endpoint + " came free in time; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_timeout",
	})
}

// giveBack returns a grant that arrived as its waiter gave up.
func (c *Connections[L]) giveBack(w *waiter[L]) {
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
		wake(wakes)
		c.mu.Unlock()
		c.retireLater(closes)
	default:
	}
}

func (c *Connections[L]) full(r Request) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: "the queue of customer " + r.Customer + " for " + c.endpoint + " is full; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_length",
	})
}
