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
	if c.ordered {
		r.Deadline = pool.LatestStart(now, r.Target, r.Deadline, r.Service)
	}
	c.mu.Lock()
	ask := pool.Ask[*waiter[L]]{
		Customer:   r.Customer,
		Key:        r.Key,
		Waiter:     w,
		QueueLimit: r.QueueLimit,
		Deadline:   r.Deadline,
		Priority:   r.Priority,
		Target:     r.Target.Add(-r.Service),
	}
	if wait := c.expectedWait(now, ask); c.ordered && now.Add(wait).After(r.Deadline) {
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
	return c.take(ctx, r.Key, g)
}

// expectedWait returns how long ask would wait for a link, as things stand.
func (c *Connections[L]) expectedWait(now time.Time, ask pool.Ask[*waiter[L]]) time.Duration {
	if c.pool.Waiting() == 0 && (c.pool.Idle() > 0 || c.pool.Open() < c.pool.Limit()) {
		return 0
	}
	turns := time.Duration(c.pool.Ahead(now, ask) + 1)
	return turns * c.hold / time.Duration(max(1, c.pool.Limit()))
}

// hopeless returns the error of a request that would have to wait for too long.
func (c *Connections[L]) hopeless(wait time.Duration) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: fmt.Sprintf("%s has work for %v before this request, which did not run", c.endpoint, wait.Round(time.Millisecond)),
		Remedy:  fmt.Sprintf("try again in %v", wait.Round(time.Millisecond)),
	})
}

// notHeld ends the use of a link and counts how long it took.
func (c *Connections[L]) notHeld(conn L) (was use) {
	was = c.inUse[conn]
	delete(c.inUse, conn)
	if was.since.IsZero() {
		return was
	}
	held := clock.Since(was.since)
	if c.hold == 0 {
		c.hold = held
		return was
	}
	c.hold = time.Duration(holdDecay*float64(c.hold) + (1-holdDecay)*float64(held))
	return was
}

func (c *Connections[L]) wait(ctx context.Context, r Request, w *waiter[L]) (link L, err error) {
	timer := time.NewTimer(clock.Until(r.Deadline))
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return c.take(ctx, r.Key, g)
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	queued := c.pool.Cancel(r.Customer, w)
	c.mu.Unlock()
	if !queued {
		c.giveBack(w)
	}
	return link, fault.New(fault.Config{
		Kind:    fault.KindTimeout,
		Message: "no connection to " + c.endpoint + " came free in time; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_timeout",
	})
}

// giveBack returns a grant that arrived as its waiter gave up.
func (c *Connections[L]) giveBack(w *waiter[L]) {
	select {
	case g := <-w.grant:
		if g.Action == pool.ActionUse {
			c.put(g.Conn)
			return
		}
		c.retireAll(g.Close)
		c.discardCount()
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
