package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/pool"
)

// ConnectionsConfig[L] describes the connections of one endpoint.
type ConnectionsConfig[L Link[L]] struct {
	Endpoint string
	Limit    int
	// Permits is how many links may be at work at once; 0 means all.
	Permits int
	Dial    func(ctx context.Context, key string) (L, error)
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
	// limit is what SetLimit asked for, and capped says that the endpoint takes no more for the moment.
	limit      int
	capped     bool
	backoff    dialBackoff
	generation uint64
	inUse      map[L]linkUse
	// holdTime is the usual time for which a request holds a link, and turn for which a link is at work; 0 before the first.
	holdTime   time.Duration
	permitTime time.Duration
	// customerPermitTime is the usual turn of each customer's requests.
	customerPermitTime map[string]time.Duration
	// queue is the order of the waiters if they are served by target, or nil.
	queue *pool.Ordered[*waiter[L]]
}

// NewConnections returns an empty set of connections.
func NewConnections[L Link[L]](cfg ConnectionsConfig[L]) *Connections[L] {
	line := pool.Config[*waiter[L]]{Limit: cfg.Limit, Turns: cfg.Permits}
	var ordered *pool.Ordered[*waiter[L]]
	if cfg.Ordered {
		ordered = pool.NewOrdered[*waiter[L]](pool.OrderedConfig{})
		line.Line = ordered
	}
	return &Connections[L]{
		queue:              ordered,
		customerPermitTime: map[string]time.Duration{},
		endpoint:           cfg.Endpoint,
		dial:               cfg.Dial,
		terminator:         cfg.Terminator,
		quarantine:         cfg.Quarantine,
		limit:              cfg.Limit,
		pool:               pool.New[L](line),
		inUse:              map[L]linkUse{},
	}
}

// Acquire returns a connection for the request.
//
// It fails with KindOverloaded when the customer's queue is full, or the endpoint
// takes no more connections, with KindTimeout when the deadline passes, and with the
// dial's error.
func (c *Connections[L]) Acquire(ctx context.Context, r Request) (link L, err error) {
	var none L
	for {
		conn, err := c.acquire(ctx, r)
		if errors.Is(err, ErrEndpointFull) && c.limitToOpen(ctx, r) {
			continue
		}
		if err != nil {
			return none, err
		}
		if c.validate(ctx, conn, r) {
			return conn, nil
		}
		c.Discard(conn)
		c.discardIdle()
	}
}

// connect turns a grant into a connection, dialing when the grant says so.
func (c *Connections[L]) connect(ctx context.Context, r Request, g pool.Grant[L]) (L, error) {
	c.retireAll(g.Close)
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	conn := g.Conn
	if g.Action == pool.ActionOpen {
		opened, turn, err := c.open(ctx, r)
		if err != nil {
			c.dialFailed(turn)
			return conn, err
		}
		opened.SetAnsweredAt(clock.Now())
		conn = opened
	}
	c.mu.Lock()
	now := clock.Now()
	c.inUse[conn] = linkUse{generation: generation, since: now, permitSince: now, customer: r.Customer}
	c.mu.Unlock()
	return conn, nil
}

// validate checks a connection that has been idle for longer than r allows.
func (c *Connections[L]) validate(ctx context.Context, conn L, r Request) bool {
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
	was := c.inUse[conn]
	if was.generation != c.generation || conn.Canceled() {
		c.mu.Unlock()
		c.Discard(conn)
		return
	}
	now := clock.Now()
	wakes, closes := c.pool.Release(now, conn, conn.Key())
	wakes = append(wakes, c.endUse(now, conn)...)
	deliver(wakes)
	c.mu.Unlock()
	c.retireLater(closes)
}

// Discard ends a connection whose state is not known; it counts until the endpoint has closed it.
func (c *Connections[L]) Discard(conn L) {
	c.mu.Lock()
	wakes := c.endUse(clock.Now(), conn)
	deliver(wakes)
	c.mu.Unlock()
	go func() {
		c.retire(conn)
		c.uncount()
	}()
}

func (c *Connections[L]) uncount() {
	c.mu.Lock()
	wakes := c.pool.Discard(clock.Now())
	deliver(wakes)
	c.mu.Unlock()
}

// discardIdle ends the idle connections after one of them was found silent.
func (c *Connections[L]) discardIdle() {
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

// minIdle is how many links stay open however long nobody uses them, so that the next request need not dial.
const minIdle = 1

// CloseIdle ends the links that nobody has used for age, but for one.
func (c *Connections[L]) CloseIdle(age time.Duration) {
	c.mu.Lock()
	conns := c.pool.TakeIdleBefore(clock.Now().Add(-age), minIdle)
	c.mu.Unlock()
	for _, conn := range conns {
		c.Discard(conn)
	}
}

// CloseAll ends the idle connections and marks those in use to be ended on release.
func (c *Connections[L]) CloseAll() {
	c.mu.Lock()
	c.generation++
	c.mu.Unlock()
	c.discardIdle()
}

// Close ends the idle connections and returns once the endpoint has closed them.
func (c *Connections[L]) Close() {
	conns := c.takeIdle()
	ends := make(chan struct{}, len(conns))
	for _, conn := range conns {
		go func() {
			c.retire(conn)
			c.uncount()
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
	c.limit = limit
	if c.capped && limit > c.pool.Limit() {
		limit = c.pool.Limit()
	}
	wakes, closes := c.pool.SetLimit(clock.Now(), limit)
	deliver(wakes)
	c.mu.Unlock()
	c.retireLater(closes)
}

// SetPermits changes how many links may be at work at once, 0 for all.
func (c *Connections[L]) SetPermits(limit int) {
	c.mu.Lock()
	wakes := c.pool.SetTurns(clock.Now(), limit)
	deliver(wakes)
	c.mu.Unlock()
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
	deliver(wakes)
	c.mu.Unlock()
	return reached + c.retireAndCount(closes)
}

// retireAndCount retires connections and returns how many of them the endpoint may still count.
func (c *Connections[L]) retireAndCount(conns []L) int {
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
	running int
}

// Limit returns how many connections this instance may hold.
func (u Usage) Limit() int { return u.limit }

// Open returns how many connections are open.
func (u Usage) Open() int { return u.open }

// Idle returns how many connections are open and unused.
func (u Usage) Idle() int { return u.idle }

// Waiting returns how many requests wait for a connection.
func (u Usage) Waiting() int { return u.waiting }

// Running returns how many links have a turn.
func (u Usage) Running() int { return u.running }

// Usage returns how the connections are used now.
func (c *Connections[L]) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, atWork := c.pool.Turns()
	return Usage{limit: c.pool.Limit(), open: c.pool.Open(), idle: c.pool.Idle(), waiting: c.pool.Waiting(), running: atWork}
}

// deliver hands grants to their waiters, with the connections locked: whoever finds its waiter no longer queued finds the
// grant, unless the waiter was dropped as late. It never blocks, since a waiter gets one grant.
func deliver[L Link[L]](wakes []pool.Wake[L, *waiter[L]]) {
	for _, w := range wakes {
		w.Waiter.grant <- w.Grant
	}
}

func (c *Connections[L]) retireAll(conns []L) {
	for _, conn := range conns {
		c.retire(conn)
	}
}
