package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/pool"
)

// ConnectionsConfig[L] describes the connections of one endpoint.
type ConnectionsConfig[L Link[L]] struct {
	Endpoint string
	Limit    int
	Dial     func(ctx context.Context, key string) (L, error)
	// Terminator ends connections that do not close by themselves, if set.
	Terminator Terminator[L]
	// Ordered serves waiters by priority and target, and refuses at once those that would wait for too long;
	// otherwise customers are served in turn.
	Ordered bool
	// Quarantine is how long a link that the endpoint does not close still counts.
	Quarantine time.Duration
}

// Connections shares the connections of one endpoint between sessions; it is safe for concurrent use.
type Connections[L Link[L]] struct {
	endpoint   string
	dial       func(ctx context.Context, key string) (L, error)
	terminator Terminator[L]
	quarantine time.Duration
	mu         sync.Mutex
	pool       *pool.Pool[L, *waiter[L]]
	ordered    bool
	generation uint64
	inUse      map[L]use
	// hold is the usual time for which a request holds a link, or 0 before the first.
	hold time.Duration
}

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

// NewConnections returns an empty set of connections.
func NewConnections[L Link[L]](cfg ConnectionsConfig[L]) *Connections[L] {
	line := pool.Config[*waiter[L]]{Limit: cfg.Limit}
	if cfg.Ordered {
		line.Line = pool.NewOrdered[*waiter[L]](pool.OrderedConfig{})
	}
	return &Connections[L]{
		endpoint:   cfg.Endpoint,
		dial:       cfg.Dial,
		terminator: cfg.Terminator,
		quarantine: cfg.Quarantine,
		ordered:    cfg.Ordered,
		pool:       pool.New[L](line),
		inUse:      map[L]use{},
	}
}

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

// latest returns the latest useful start as seen at now: one that meets the target, while that is possible.
func (r Request) latest(now time.Time) time.Time {
	if start := r.Target.Add(-r.Service); now.Before(start) && start.Before(r.Deadline) {
		return start
	}
	return r.Deadline
}

// Acquire returns a connection for the request.
//
// It fails with KindOverloaded when the customer's queue is full, with
// KindTimeout when the deadline passes, and with the dial's error.
func (c *Connections[L]) Acquire(ctx context.Context, r Request) (link L, err error) {
	var none L
	for {
		conn, err := c.acquire(ctx, r)
		if err != nil {
			return none, err
		}
		if c.usable(ctx, conn, r) {
			return conn, nil
		}
		c.Discard(conn)
		c.suspectIdle()
	}
}

func (c *Connections[L]) acquire(ctx context.Context, r Request) (link L, err error) {
	w := &waiter[L]{key: r.Key, grant: make(chan pool.Grant[L], 1)}
	now := clock.Now()
	if c.ordered {
		r.Deadline = r.latest(now)
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

// take turns a grant into a connection, dialing when the grant says so.
func (c *Connections[L]) take(ctx context.Context, key string, g pool.Grant[L]) (L, error) {
	c.retireAll(g.Close)
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	conn := g.Conn
	if g.Action == pool.ActionOpen {
		opened, err := c.open(ctx, key)
		if err != nil {
			c.discardCount()
			return conn, err
		}
		opened.SetAnsweredAt(clock.Now())
		conn = opened
	}
	c.mu.Lock()
	c.inUse[conn] = use{generation: generation, since: clock.Now()}
	c.mu.Unlock()
	return conn, nil
}

// open dials a link within a bounded time: a dial without an answer must not keep its place in the pool.
func (c *Connections[L]) open(ctx context.Context, key string) (L, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.dial(ctx, key)
}

// dialTimeout bounds the dial of a link, its handshake and the detour through another instance included.
const dialTimeout = time.Second

// usable checks a connection that has been idle for longer than r allows.
func (c *Connections[L]) usable(ctx context.Context, conn L, r Request) bool {
	if clock.Since(conn.AnsweredAt()) <= r.MaxIdle {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, validationTimeout)
	defer cancel()
	if _, err := conn.Status(ctx); err != nil {
		return false
	}
	conn.SetAnsweredAt(clock.Now())
	return true
}

// validationTimeout bounds the check of an idle connection.
const validationTimeout = 300 * time.Millisecond

// Release returns a connection that is in its initial state.
func (c *Connections[L]) Release(conn L) {
	c.mu.Lock()
	was := c.notHeld(conn)
	stale := was.generation != c.generation
	c.mu.Unlock()
	if stale || conn.Canceled() {
		c.Discard(conn)
		return
	}
	c.put(conn)
}

func (c *Connections[L]) put(conn L) {
	c.mu.Lock()
	wakes, closes := c.pool.Release(clock.Now(), conn, conn.Key())
	c.mu.Unlock()
	wake(wakes)
	c.retireLater(closes)
}

// Discard ends a connection whose state is not known; it counts until the endpoint has closed it.
func (c *Connections[L]) Discard(conn L) {
	c.mu.Lock()
	c.notHeld(conn)
	c.mu.Unlock()
	go func() {
		c.retire(conn)
		c.discardCount()
	}()
}

func (c *Connections[L]) discardCount() {
	c.mu.Lock()
	wakes := c.pool.Discard(clock.Now())
	c.mu.Unlock()
	wake(wakes)
}

// suspectIdle ends the idle connections after one of them was found silent.
func (c *Connections[L]) suspectIdle() {
	for _, conn := range c.takeIdle() {
		c.Discard(conn)
	}
}

// takeIdle removes the idle connections from the pool, still counted.
func (c *Connections[L]) takeIdle() []L {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.TakeIdle()
}

// CloseAll ends the idle connections and marks those in use to be ended on release.
func (c *Connections[L]) CloseAll() {
	c.mu.Lock()
	c.generation++
	c.mu.Unlock()
	c.suspectIdle()
}

// Close ends the idle connections and returns once the endpoint has closed them.
func (c *Connections[L]) Close() {
	conns := c.takeIdle()
	ends := make(chan struct{}, len(conns))
	for _, conn := range conns {
		go func() {
			c.retire(conn)
			c.discardCount()
			ends <- struct{}{}
		}()
	}
	for range conns {
		<-ends
	}
}

// SetLimit changes how many connections this instance may hold.
func (c *Connections[L]) SetLimit(limit int) {
	c.mu.Lock()
	wakes, closes := c.pool.SetLimit(clock.Now(), limit)
	c.mu.Unlock()
	wake(wakes)
	c.retireLater(closes)
}

// Shrink lowers the limit to as little as limit, by what is unused, and returns the limit reached.
//
// What it gives up is closed for certain when it returns; a connection that does
// not close in time stays counted.
func (c *Connections[L]) Shrink(limit int) (reached int) {
	c.mu.Lock()
	reached = max(limit, c.pool.Open()-c.pool.Idle())
	if reached >= c.pool.Limit() {
		reached = c.pool.Limit()
		c.mu.Unlock()
		return reached
	}
	wakes, closes := c.pool.SetLimit(clock.Now(), reached)
	c.mu.Unlock()
	wake(wakes)
	return reached + c.leftOpen(closes)
}

// leftOpen retires connections and returns how many of them the endpoint may still count.
func (c *Connections[L]) leftOpen(conns []L) int {
	left := 0
	for _, conn := range conns {
		if !c.retire(conn) {
			left++
		}
	}
	return left
}

// retireLater retires connections that the pool no longer counts because its limit fell.
func (c *Connections[L]) retireLater(conns []L) {
	if len(conns) > 0 {
		go c.retireAll(conns)
	}
}

// Usage describes how an endpoint's connections are used.
type Usage struct {
	limit   int
	open    int
	idle    int
	waiting int
}

// Limit returns how many connections this instance may hold.
func (u Usage) Limit() int { return u.limit }

// Open returns how many connections are open.
func (u Usage) Open() int { return u.open }

// Idle returns how many connections are open and unused.
func (u Usage) Idle() int { return u.idle }

// Waiting returns how many requests wait for a connection.
func (u Usage) Waiting() int { return u.waiting }

// Usage returns how the connections are used now.
func (c *Connections[L]) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{limit: c.pool.Limit(), open: c.pool.Open(), idle: c.pool.Idle(), waiting: c.pool.Waiting()}
}

func wake[L Link[L]](wakes []pool.Wake[L, *waiter[L]]) {
	for _, w := range wakes {
		w.Waiter.grant <- w.Grant
	}
}

func (c *Connections[L]) retireAll(conns []L) {
	for _, conn := range conns {
		c.retire(conn)
	}
}
