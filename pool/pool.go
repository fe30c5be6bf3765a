package pool

import "time"

// Config configures a Pool.
type Config[W comparable] struct {
	// Limit is the initial maximum number of connections.
	Limit int
	// Permits is the initial number of permits: how many connections may run a request at once; 0 means all.
	Permits int
	// Queue is the wait queue; nil means a FairQueue.
	Queue WaitQueue[W]
	// Forecast, if set, lets waiters wait for a connection of their key that is expected back soon.
	Forecast Forecast
}

// Pool holds connections of type C, within a limit, and waiters of type W; it is not safe for concurrent use.
type Pool[C, W comparable] struct {
	limit   int
	open    int
	idle    []idleConn[C]
	queue   WaitQueue[W]
	permits permits[W]
	rates   keyRates
	// forecast may be nil.
	forecast Forecast
	// deferred is the number of waiters of each key that wait for a connection in use, as of the last wake.
	deferred map[string]int
}

// idleConn is an idle connection, and when it became idle.
type idleConn[C comparable] struct {
	conn  C
	key   string
	since time.Time
}

// New returns an empty pool.
func New[C, W comparable](cfg Config[W]) *Pool[C, W] {
	if cfg.Queue == nil {
		cfg.Queue = NewFairQueue[W]()
	}
	return &Pool[C, W]{
		limit:    cfg.Limit,
		queue:    cfg.Queue,
		permits:  permits[W]{limit: cfg.Permits},
		rates:    keyRates{counts: map[string]decayedCount{}},
		forecast: cfg.Forecast,
		deferred: map[string]int{},
	}
}

// Action is the kind of result of Acquire and ReacquirePermit.
type Action uint8

// The results of Acquire and ReacquirePermit.
const (
	// ActionUse grants an idle connection.
	ActionUse Action = iota
	// ActionOpen grants the caller a new connection to open; it already counts as open.
	ActionOpen
	// ActionWait means that the request is queued.
	ActionWait
	// ActionRefuse means that the queue is full, or the customer's part of it.
	ActionRefuse
	// ActionReacquire grants a permit for the connection that the caller holds.
	ActionReacquire
)

// WaitRequest describes a request for a connection.
type WaitRequest[W comparable] struct {
	Customer string
	Key      string
	// Account is the client account, or empty where there are no accounts; only PriorityQueue uses it.
	Account string
	Waiter  W
	// QueueLimit is the maximum number of waiters: those of the customer in a FairQueue, all in a PriorityQueue.
	// With 0, a FairQueue accepts no waiter, and a PriorityQueue is bounded only by its own Limit.
	QueueLimit int
	Deadline   time.Time
	// Priority is the customer's priority, the lowest value first, and Target the latest start with which the request
	// still meets its latency target; only PriorityQueue uses them.
	Priority int
	Target   time.Time
	// ServiceTime is the expected service time of the request, or 0 when it is not known.
	ServiceTime time.Duration
	// Since is when the request was made, or zero when that is not known.
	Since time.Time
}

// Grant is the result of Acquire and ReacquirePermit; Close lists connections that the caller must close.
type Grant[C comparable] struct {
	Action    Action
	Conn      C
	IdleSince time.Time
	Close     []C
}

// Acquire grants a connection with a permit, queues req, or refuses it when the queue is full.
//
// ReleasePermit releases the permit.
func (p *Pool[C, W]) Acquire(req WaitRequest[W]) Grant[C] {
	p.rates.observe(req.Since, req.Key)
	// Deferred waiters leave permits and connections that other requests can use.
	unused := p.queue.Len() == 0 || len(p.deferred) > 0
	if unused && p.permits.free() && p.servable(p.rates.now, req.Key) {
		if g, ok := p.grant(req.Key); ok {
			p.permits.inUse++
			p.queue.Granted(req)
			return g
		}
	}
	if !p.queue.Push(req) {
		return Grant[C]{Action: ActionRefuse}
	}
	return Grant[C]{Action: ActionWait}
}

// grant returns an idle connection with key, or a new one, which may replace an idle connection with another key.
func (p *Pool[C, W]) grant(key string) (Grant[C], bool) {
	if p.open > p.limit {
		return Grant[C]{}, false
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].key == key {
			found := p.idle[i]
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return Grant[C]{Action: ActionUse, Conn: found.conn, IdleSince: found.since}, true
		}
	}
	if p.open < p.limit {
		p.open++
		return Grant[C]{Action: ActionOpen}, true
	}
	if len(p.idle) > 0 {
		at := p.replaced()
		replaced := p.idle[at]
		p.idle = append(p.idle[:at], p.idle[at+1:]...)
		return Grant[C]{Action: ActionOpen, Close: []C{replaced.conn}}, true
	}
	return Grant[C]{}, false
}

// Wakeup is a grant for a waiter, which the caller must deliver.
type Wakeup[C, W comparable] struct {
	Waiter W
	Grant  Grant[C]
}

// Release returns a connection to the pool; ReleasePermit releases its permit.
//
// A connection in excess of the limit is no longer counted, and the caller must
// close it: it is returned in toClose.
func (p *Pool[C, W]) Release(now time.Time, conn C, key string) (wakeups []Wakeup[C, W], toClose []C) {
	if p.open > p.limit {
		p.open--
		return nil, []C{conn}
	}
	p.idle = append(p.idle, idleConn[C]{conn: conn, key: key, since: now})
	return p.wake(now), nil
}

// Discard stops counting a connection that was closed or could not be opened.
func (p *Pool[C, W]) Discard(now time.Time) []Wakeup[C, W] {
	p.open--
	return p.wake(now)
}

// wake serves waiters while permits and connections are available.
//
// It takes only waiters from the queue that grant can serve: a connection is idle or
// may be opened, and no other call changes that in between.
func (p *Pool[C, W]) wake(now time.Time) []Wakeup[C, W] {
	clear(p.deferred)
	wakeups := p.wakeReacquiring()
	for p.permits.free() && p.queue.Len() > 0 && (len(p.idle) > 0 || p.open < p.limit) {
		clear(p.deferred)
		req, ok := p.queue.PopIf(now, func(req WaitRequest[W]) bool { return p.servable(now, req.Key) })
		if !ok {
			break
		}
		g, ok := p.grant(req.Key)
		if !ok {
			break
		}
		p.permits.inUse++
		wakeups = append(wakeups, Wakeup[C, W]{Waiter: req.Waiter, Grant: g})
	}
	return wakeups
}

// Cancel removes a waiter and reports whether it was still queued.
func (p *Pool[C, W]) Cancel(customer string, w W) bool {
	return p.permits.remove(w) || p.queue.Remove(customer, w)
}

// SetLimit changes the connection limit; it returns the waiters that are served and the idle connections to close.
func (p *Pool[C, W]) SetLimit(now time.Time, limit int) (wakeups []Wakeup[C, W], toClose []C) {
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		toClose = append(toClose, p.idle[0].conn)
		p.idle = p.idle[1:]
		p.open--
	}
	return p.wake(now), toClose
}

// TakeIdle removes and returns all idle connections, still counted; the caller closes each and calls Discard.
func (p *Pool[C, W]) TakeIdle() []C {
	conns := make([]C, 0, len(p.idle))
	for _, c := range p.idle {
		conns = append(conns, c.conn)
	}
	p.idle = nil
	return conns
}

// TakeIdleBefore removes and returns the connections that became idle earlier than before, except the keep newest.
//
// They are still counted; the caller closes each and calls Discard.
func (p *Pool[C, W]) TakeIdleBefore(before time.Time, keep int) []C {
	var conns []C
	for len(p.idle) > keep && p.idle[0].since.Before(before) {
		conns = append(conns, p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	return conns
}

// Ahead returns how many waiters would be served before req, as seen at now.
func (p *Pool[C, W]) Ahead(now time.Time, req WaitRequest[W]) int { return p.queue.Ahead(now, req) }

// Open returns the number of connections that are open or being opened.
func (p *Pool[C, W]) Open() int { return p.open }

// Idle returns the number of idle connections.
func (p *Pool[C, W]) Idle() int { return len(p.idle) }

// Limit returns the current connection limit.
func (p *Pool[C, W]) Limit() int { return p.limit }

// IdleWith returns the number of idle connections with key.
func (p *Pool[C, W]) IdleWith(key string) int {
	n := 0
	for _, c := range p.idle {
		if c.key == key {
			n++
		}
	}
	return n
}

// Waiting returns the number of queued requests, including those that hold a connection and wait for a permit.
func (p *Pool[C, W]) Waiting() int { return p.queue.Len() + len(p.permits.reacquiring) }
