package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/pool"
)

// linkUse describes the current use of a link: its start, its customer and the generation of links it belongs to.
type linkUse struct {
	generation uint64
	since      time.Time
	// permitSince is when the link acquired its permit, or zero while it holds none.
	permitSince time.Time
	customer    string
	account     string
	// charged is the part of the permit time for which the account has already been charged.
	charged time.Duration
}

// meanDecay is the weight of the previous value in the moving averages of hold and permit times.
const meanDecay = 0.9

// waiter is a request that waits for a connection or a permit; grant has room for its only grant.
type waiter[L Link[L]] struct {
	grant chan pool.Grant[L]
}

// AcquireRequest describes a request for a connection and how long it may wait.
type AcquireRequest struct {
	Customer string
	Key      string
	// Account is the client account whose share of the endpoint the request uses, or empty where there are none.
	Account    string
	QueueLimit int
	Deadline   time.Time
	// MaxIdle is how long a link may have been idle to be used without a status request first.
	MaxIdle time.Duration
	// Priority orders competing requests; 0 is served first.
	Priority int
	// Target is the time by which an answer meets the contract's latency objective.
	Target time.Time
	// Service is the estimated time that the endpoint takes to answer the request.
	Service time.Duration
}

// acquire returns a connection at once, waits for one, or refuses the request if it could not start in time.
func (c *Connections[L]) acquire(ctx context.Context, r AcquireRequest) (link L, err error) {
	w := &waiter[L]{grant: make(chan pool.Grant[L], 1)}
	now := clock.Now()
	c.mu.Lock()
	if mean := c.customerPermitTime[r.Customer]; mean > 0 {
		r.Service = mean
	}
	if c.queue != nil {
		r.Deadline = pool.LatestStart(now, r.Target, r.Deadline, r.Service)
	}
	waitRequest := pool.WaitRequest[*waiter[L]]{
		Customer:    r.Customer,
		Key:         r.Key,
		Account:     r.Account,
		Waiter:      w,
		QueueLimit:  r.QueueLimit,
		Deadline:    r.Deadline,
		Priority:    r.Priority,
		Target:      r.Target.Add(-r.Service),
		ServiceTime: r.Service,
		Since:       now,
	}
	if wait, refused := c.overloaded(now, waitRequest); refused {
		c.mu.Unlock()
		return link, c.overloadedError(wait)
	}
	g := c.pool.Acquire(waitRequest)
	c.scheduleWake()
	c.mu.Unlock()
	switch g.Action {
	case pool.ActionRefuse:
		return link, c.queueFullError(r)
	case pool.ActionWait:
		return c.awaitGrant(ctx, r, w)
	}
	return c.connect(ctx, r, g)
}

// overloaded reports whether to refuse a request because it could not start in time, and the estimated wait.
//
// When permits are the bottleneck, it may evict other waiters instead.
func (c *Connections[L]) overloaded(now time.Time, waitRequest pool.WaitRequest[*waiter[L]]) (wait time.Duration, refused bool) {
	permits, _ := c.pool.Permits()
	permits = c.paced.planned(permits)
	hasLink := c.pool.Idle() > 0 || c.pool.Open() < c.pool.Limit()
	if c.queue == nil || c.pool.Waiting() == 0 && hasLink && c.pool.HasFreePermit() {
		return 0, false
	}
	if !hasLink || permits == 0 {
		ahead := time.Duration(c.pool.Ahead(now, waitRequest) + 1)
		wait = ahead * c.holdTime / time.Duration(max(1, c.pool.Limit()))
		if now.Add(wait).After(waitRequest.Deadline) {
			return wait, true
		}
	}
	if permits == 0 {
		return 0, false
	}
	next := c.permitTime / time.Duration(permits)
	evicted, refused := c.queue.Unschedulable(pool.Schedule{Now: now, NextPermit: next, Permits: permits, MeanServiceTime: c.permitTime}, waitRequest)
	for _, w := range evicted {
		if c.pool.Cancel("", w) {
			w.grant <- pool.Grant[L]{Action: pool.ActionRefuse}
		}
	}
	return time.Duration(c.pool.Waiting()+1) * next, refused
}

// overloadedError returns the error of a request that cannot start in time; wait is the estimated wait.
func (c *Connections[L]) overloadedError(wait time.Duration) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: fmt.Sprintf("%s has work for %v before this request, which did not run", c.endpoint, wait.Round(time.Millisecond)),
		Remedy:  fmt.Sprintf("try again in %v", wait.Round(time.Millisecond)),
	})
}

// endUse ends the use of a link and of its permit, updates the mean times, and returns the wakeups for the free permit.
func (c *Connections[L]) endUse(now time.Time, conn L) []pool.Wakeup[L, *waiter[L]] {
	u, ok := c.inUse[conn]
	if !ok {
		return nil
	}
	delete(c.inUse, conn)
	held := now.Sub(u.since)
	c.holdTime = updateMean(c.holdTime, held)
	updateCustomerMean(c.customerHoldTime, u.customer, held)
	if u.permitSince.IsZero() {
		return nil
	}
	return c.endPermit(now, u)
}

// updateMean returns the exponential moving average after a new sample; a mean of 0 means no samples yet.
func updateMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return time.Duration(meanDecay*float64(mean) + (1-meanDecay)*float64(sample))
}

// ReleasePermit releases the permit of a link that stays in use while its transaction waits for the caller.
func (c *Connections[L]) ReleasePermit(conn L) {
	c.mu.Lock()
	u, held := c.inUse[conn]
	if !held || u.permitSince.IsZero() {
		c.mu.Unlock()
		return
	}
	ended := u
	u.permitSince, u.charged = time.Time{}, 0
	c.inUse[conn] = u
	c.deliver(c.endPermit(clock.Now(), ended))
	c.mu.Unlock()
}

// maxCustomerTimes bounds the size of the mean times by customer, which are cleared at this size.
const maxCustomerTimes = 4096

// updateCustomerMean adds a sample to the mean of a customer.
func updateCustomerMean(means map[string]time.Duration, customer string, sample time.Duration) {
	if len(means) >= maxCustomerTimes {
		clear(means)
	}
	means[customer] = updateMean(means[customer], sample)
}

// charge replaces the expected permit time that an account was charged by the measured one, or 0 without a use.
func (c *Connections[L]) charge(account string, expected, measured time.Duration) {
	if c.queue != nil {
		c.queue.Shares().Finish(account, expected, measured)
	}
}

// endPermit releases a permit, updates the mean permit times, and charges the account for the permit time.
func (c *Connections[L]) endPermit(now time.Time, u linkUse) []pool.Wakeup[L, *waiter[L]] {
	elapsed := now.Sub(u.permitSince)
	c.permitTime = updateMean(c.permitTime, elapsed)
	updateCustomerMean(c.customerPermitTime, u.customer, elapsed)
	c.charge(u.account, u.charged, elapsed)
	var wakeups []pool.Wakeup[L, *waiter[L]]
	if c.paced.limit > 0 && u.permitSince.Before(c.paced.since) {
		wakeups = c.applyPaced(now)
	}
	return append(wakeups, c.pool.ReleasePermit(now)...)
}

// ReacquirePermit waits for a permit for a link that is in use without one; it fails with KindTimeout at the deadline.
func (c *Connections[L]) ReacquirePermit(ctx context.Context, conn L, deadline time.Time) error {
	if !c.acquirePermit(ctx, deadline) {
		return c.timeoutError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.inUse[conn]
	u.permitSince = clock.Now()
	c.inUse[conn] = u
	return nil
}

// acquirePermit waits for a permit, ahead of all waiters without a link, and reports whether it was granted.
func (c *Connections[L]) acquirePermit(ctx context.Context, deadline time.Time) bool {
	c.mu.Lock()
	var w *waiter[L]
	if !c.pool.HasFreePermit() {
		w = &waiter[L]{grant: make(chan pool.Grant[L], 1)}
	}
	g := c.pool.ReacquirePermit(w)
	c.mu.Unlock()
	return g.Action != pool.ActionWait || c.awaitPermit(ctx, w, deadline)
}

// awaitPermit waits for the permit of a queued waiter and reports whether it was granted.
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
		c.returnGrant(w, AcquireRequest{})
	}
	return false
}

// awaitGrant waits for the grant of a queued request and returns its connection.
func (c *Connections[L]) awaitGrant(ctx context.Context, r AcquireRequest, w *waiter[L]) (link L, err error) {
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
		c.returnGrant(w, r)
	}
	return link, c.timeoutError()
}

// evictedError returns the error of a waiter that was evicted in favour of others.
func (c *Connections[L]) evictedError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	permits, _ := c.pool.Permits()
	return c.overloadedError(time.Duration(c.pool.Waiting()) * c.permitTime / time.Duration(max(1, permits)))
}

// timeoutError returns the error of a request that reached its deadline in the queue.
func (c *Connections[L]) timeoutError() error {
	return fault.New(fault.Config{
		Kind:    fault.KindTimeout,
		Message: "no connection to " + c.endpoint + " became free in time; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_timeout",
	})
}

// returnGrant returns a grant for r that was delivered just as its waiter timed out or was canceled.
func (c *Connections[L]) returnGrant(w *waiter[L], r AcquireRequest) {
	select {
	case g := <-w.grant:
		if g.Action == pool.ActionRefuse {
			return
		}
		c.retireAll(g.Close)
		c.mu.Lock()
		now := clock.Now()
		var wakeups []pool.Wakeup[L, *waiter[L]]
		var toClose []L
		switch g.Action {
		case pool.ActionUse:
			c.charge(r.Account, r.Service, 0)
			wakeups, toClose = c.pool.Release(now, g.Conn, g.Conn.Key())
		case pool.ActionOpen:
			c.charge(r.Account, r.Service, 0)
			wakeups = c.pool.Discard(now)
		}
		wakeups = append(wakeups, c.pool.ReleasePermit(now)...)
		c.deliver(wakeups)
		c.mu.Unlock()
		c.retireLater(toClose)
	default:
	}
}

// queueFullError returns the error of a request that a full queue rejected.
func (c *Connections[L]) queueFullError(r AcquireRequest) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: "the queue of customer " + r.Customer + " for " + c.endpoint + " is full; the request did not run",
		Remedy:  "try again in a second, or raise the contract's connections or queue_length",
	})
}
