package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/pool"
)

// ConnectionsConfig configures the connections to one endpoint.
type ConnectionsConfig[L Link[L]] struct {
	Endpoint string
	Limit    int
	// Permits is the number of links that may have a request running at the same time; 0 means no limit.
	Permits int
	Dial    func(ctx context.Context, key string) (L, error)
	// Terminator, if set, ends the endpoint's side of links that do not close in time.
	Terminator Terminator[L]
	// Ordered serves waiters by priority and target, and rejects at once those that could not start in time;
	// otherwise customers are served round-robin.
	Ordered bool
	// Quarantine is how long a link that the endpoint does not close still counts towards the limit.
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
	// limit is the configured limit; capped means that limitToOpen has lowered the pool's limit for a while.
	limit   int
	capped  bool
	paced   pacedPermits
	backoff dialBackoff
	// generation is incremented by CloseAll; links of an earlier one are closed on release.
	generation uint64
	inUse      map[L]linkUse
	// holdTime is the mean time that a request holds a link, and permitTime that a link holds a permit; 0 until measured.
	holdTime   time.Duration
	permitTime time.Duration
	// customerPermitTime is the mean permit time of each customer's requests, and customerHoldTime their mean hold time.
	customerPermitTime map[string]time.Duration
	customerHoldTime   map[string]time.Duration
	// dialTime is the mean time to open a link, or 0 until measured.
	dialTime time.Duration
	// wakeScheduled means that wakeDeferred will be called.
	wakeScheduled bool
	// queue is the pool's wait queue if Ordered is set, or nil.
	queue *pool.PriorityQueue[*waiter[L]]
}

// NewConnections returns an empty set of connections.
func NewConnections[L Link[L]](cfg ConnectionsConfig[L]) *Connections[L] {
	poolConfig := pool.Config[*waiter[L]]{Limit: cfg.Limit, Permits: cfg.Permits}
	var queue *pool.PriorityQueue[*waiter[L]]
	if cfg.Ordered {
		queue = pool.NewPriorityQueue[*waiter[L]](pool.PriorityQueueConfig{})
		poolConfig.Queue = queue
	}
	c := &Connections[L]{
		queue:              queue,
		customerPermitTime: map[string]time.Duration{},
		customerHoldTime:   map[string]time.Duration{},
		endpoint:           cfg.Endpoint,
		dial:               cfg.Dial,
		terminator:         cfg.Terminator,
		quarantine:         cfg.Quarantine,
		limit:              cfg.Limit,
		paced:              pacedPermits{share: cfg.Permits},
		inUse:              map[L]linkUse{},
	}
	poolConfig.Forecast = forecast[L]{connections: c}
	c.pool = pool.New[L](poolConfig)
	return c
}

// Acquire returns a connection for the request, together with a permit.
//
// It fails with KindOverloaded when the queue is full or the request could not start
// in time, with KindTimeout when the deadline passes or ctx ends during the wait,
// and with the error of the dial otherwise.
func (c *Connections[L]) Acquire(ctx context.Context, r AcquireRequest) (link L, err error) {
	var unset L
	for {
		conn, err := c.acquire(ctx, r)
		if errors.Is(err, ErrEndpointAtLimit) && c.limitToOpen(ctx, r) {
			continue
		}
		if err != nil {
			return unset, err
		}
		if c.validate(ctx, conn, r) {
			return conn, nil
		}
		c.Discard(conn)
		c.discardIdle()
	}
}

// connect returns the connection of a grant, dialing a new one if the grant requires it.
func (c *Connections[L]) connect(ctx context.Context, r AcquireRequest, g pool.Grant[L]) (L, error) {
	c.retireAll(g.Close)
	c.mu.Lock()
	generation := c.generation
	c.mu.Unlock()
	conn := g.Conn
	if g.Action == pool.ActionOpen {
		opened, permit, err := c.open(ctx, r)
		if err != nil {
			c.dialFailed(r, permit)
			return conn, err
		}
		opened.SetAnsweredAt(clock.Now())
		conn = opened
	}
	c.mu.Lock()
	now := clock.Now()
	c.inUse[conn] = linkUse{
		generation: generation, since: now, permitSince: now, customer: r.Customer, account: r.Account, charged: r.Service,
	}
	c.mu.Unlock()
	return conn, nil
}

// validate reports whether conn is usable, checking it with a status request if it was idle for longer than r allows.
func (c *Connections[L]) validate(ctx context.Context, conn L, r AcquireRequest) bool {
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

// validationTimeout bounds the status request of validate.
const validationTimeout = 300 * time.Millisecond

// Release returns a connection, which must be in its initial state, and releases its permit.
func (c *Connections[L]) Release(conn L) {
	c.mu.Lock()
	use := c.inUse[conn]
	if use.generation != c.generation || conn.Canceled() {
		c.mu.Unlock()
		c.Discard(conn)
		return
	}
	now := clock.Now()
	wakeups, toClose := c.pool.Release(now, conn, conn.Key())
	wakeups = append(wakeups, c.endUse(now, conn)...)
	c.deliver(wakeups)
	c.mu.Unlock()
	c.retireLater(toClose)
}

// Discard closes a connection whose state is unknown, and releases its permit; the connection counts towards the limit
// until the endpoint has closed it.
//
// If it was lost without an acknowledgment, the connections that have been idle since before its last use may be
// just as dead, and are closed too.
func (c *Connections[L]) Discard(conn L) {
	var suspect []L
	c.mu.Lock()
	if use, held := c.inUse[conn]; held && conn.Unresponsive() {
		suspect = c.pool.TakeIdleBefore(use.since, 0)
	}
	wakeups := c.endUse(clock.Now(), conn)
	c.deliver(wakeups)
	c.mu.Unlock()
	for _, idle := range suspect {
		c.Discard(idle)
	}
	go func() {
		c.retire(conn)
		c.uncount()
	}()
}

// uncount removes a closed connection from the pool's count.
func (c *Connections[L]) uncount() {
	c.mu.Lock()
	wakeups := c.pool.Discard(clock.Now())
	c.deliver(wakeups)
	c.mu.Unlock()
}

// discardIdle closes the idle connections, after one of them did not answer or they became obsolete.
func (c *Connections[L]) discardIdle() {
	for _, conn := range c.takeIdle() {
		c.Discard(conn)
	}
}

// takeIdle removes the idle connections from the pool, which still counts them.
func (c *Connections[L]) takeIdle() []L {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool.TakeIdle()
}

// minIdle is the number of idle links that CloseIdle keeps open, so that the next request need not dial.
const minIdle = 1

// CloseIdle closes the links that have been idle for age, except minIdle of them.
func (c *Connections[L]) CloseIdle(age time.Duration) {
	c.mu.Lock()
	conns := c.pool.TakeIdleBefore(clock.Now().Add(-age), minIdle)
	c.mu.Unlock()
	for _, conn := range conns {
		c.Discard(conn)
	}
}

// CloseAll closes the idle connections at once and those in use on release.
func (c *Connections[L]) CloseAll() {
	c.mu.Lock()
	c.generation++
	c.mu.Unlock()
	c.discardIdle()
}

// Close closes the idle connections and returns once retire has returned for each of them.
func (c *Connections[L]) Close() {
	conns := c.takeIdle()
	closed := make(chan struct{}, len(conns))
	for _, conn := range conns {
		go func() {
			c.retire(conn)
			c.uncount()
			closed <- struct{}{}
		}()
	}
	for range conns {
		<-closed
	}
}

// SetLimit changes the number of connections that this instance may hold.
func (c *Connections[L]) SetLimit(limit int) {
	c.mu.Lock()
	c.limit = limit
	if c.capped && limit > c.pool.Limit() {
		limit = c.pool.Limit()
	}
	wakeups, toClose := c.pool.SetLimit(clock.Now(), limit)
	c.deliver(wakeups)
	c.mu.Unlock()
	c.retireLater(toClose)
}

// SetPermits changes the number of links that may have a request running at the same time; 0 means no limit.
func (c *Connections[L]) SetPermits(limit int) { c.setPaced(pacedPermits{share: limit}) }

// setPaced changes the number of links that may have a request running at the same time, and the pace that restricts it.
func (c *Connections[L]) setPaced(p pacedPermits) {
	c.mu.Lock()
	c.paced = p
	c.deliver(c.applyPaced(clock.Now()))
	c.mu.Unlock()
}

// applyPaced sets the pool's permits, and returns the wakeups of the waiters that are served.
//
// Requests that were running at the restart come on top of the limit: they may be lost
// and hold their permits until they time out.
func (c *Connections[L]) applyPaced(now time.Time) []pool.Wakeup[L, *waiter[L]] {
	permits := c.paced.share
	if c.paced.limit > 0 {
		permits = c.paced.limit
		for _, u := range c.inUse {
			if !u.permitSince.IsZero() && u.permitSince.Before(c.paced.since) {
				permits++
			}
		}
		permits = c.paced.atMostShare(permits)
	}
	return c.pool.SetPermits(now, permits)
}

// Shrink lowers the limit towards limit by closing idle connections, and returns the limit reached.
//
// The endpoint has closed the connections that the result no longer counts; a connection that
// does not close in time stays counted.
func (c *Connections[L]) Shrink(limit int) (reached int) {
	c.mu.Lock()
	reached = max(limit, c.pool.Open()-c.pool.Idle())
	if reached >= c.pool.Limit() {
		reached = c.pool.Limit()
		c.mu.Unlock()
		return reached
	}
	wakeups, toClose := c.pool.SetLimit(clock.Now(), reached)
	c.deliver(wakeups)
	c.mu.Unlock()
	return reached + c.retireAndCount(toClose)
}

// retireAndCount retires connections and returns how many of them the endpoint is not known to have closed.
func (c *Connections[L]) retireAndCount(conns []L) int {
	notClosed := 0
	for _, conn := range conns {
		if !c.retire(conn) {
			notClosed++
		}
	}
	return notClosed
}

// retireLater retires, in the background, connections that the pool dropped because its limit fell.
func (c *Connections[L]) retireLater(conns []L) {
	if len(conns) > 0 {
		go c.retireAll(conns)
	}
}

// Usage is a snapshot of the use of an endpoint's connections.
type Usage struct {
	limit   int
	open    int
	idle    int
	waiting int
	running int
}

// Limit returns the number of connections that this instance may hold.
func (u Usage) Limit() int { return u.limit }

// Open returns the number of open connections, including those being opened or discarded.
func (u Usage) Open() int { return u.open }

// Idle returns the number of idle connections.
func (u Usage) Idle() int { return u.idle }

// Waiting returns the number of requests that wait for a connection or a permit.
func (u Usage) Waiting() int { return u.waiting }

// Running returns the number of links that hold a permit.
func (u Usage) Running() int { return u.running }

// Usage returns the current use of the connections.
func (c *Connections[L]) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.pool.Permits()
	return Usage{limit: c.pool.Limit(), open: c.pool.Open(), idle: c.pool.Idle(), waiting: c.pool.Waiting(), running: running}
}

// deliver sends grants to their waiters; it is called with the connections locked.
//
// A waiter that is no longer queued therefore finds its grant in the channel, unless
// the queue dropped it because its deadline had passed. Sending never blocks: each
// waiter gets at most one grant, and its channel is buffered.
func (c *Connections[L]) deliver(wakeups []pool.Wakeup[L, *waiter[L]]) {
	for _, w := range wakeups {
		w.Waiter.grant <- w.Grant
	}
	c.scheduleWake()
}

// retireAll retires connections one after the other.
func (c *Connections[L]) retireAll(conns []L) {
	for _, conn := range conns {
		c.retire(conn)
	}
}
