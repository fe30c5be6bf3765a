package pool

import "time"

// Config sets the first limit of a pool.
type Config[W comparable] struct {
	Limit int
	// Turns is how many of the connections may be at work at once; 0 means all.
	Turns int
	// Line is the order of the waiters; nil serves customers in turn.
	Line Line[W]
}

// Pool keeps connections of type C, within a limit, and waiters of type W; it is not safe for concurrent use.
type Pool[C, W comparable] struct {
	limit int
	open  int
	idle  []idleConn[C]
	queue Line[W]
	turns turns[W]
}

// idleConn is a connection that nobody uses.
type idleConn[C comparable] struct {
	conn  C
	key   string
	since time.Time
}

// New returns an empty pool.
func New[C, W comparable](cfg Config[W]) *Pool[C, W] {
	if cfg.Line == nil {
		cfg.Line = NewQueue[W]()
	}
	return &Pool[C, W]{limit: cfg.Limit, queue: cfg.Line, turns: turns[W]{limit: cfg.Turns}}
}

// Action says what an Acquire resulted in.
type Action uint8

// The results of Acquire.
const (
	// ActionUse hands over an idle connection.
	ActionUse Action = iota
	// ActionOpen lets the caller open a connection, already counted.
	ActionOpen
	// ActionWait has queued the caller.
	ActionWait
	// ActionRefuse means that the customer's queue is full.
	ActionRefuse
	// ActionResume lets the caller go on with the connection that it has.
	ActionResume
)

// Ask describes a request for a connection.
type Ask[W comparable] struct {
	Customer   string
	Key        string
	Waiter     W
	QueueLimit int
	Deadline   time.Time
	// Priority is the customer's place where requests compete, and Target the last useful start for its full
	// worth; only an ordered line asks for them.
	Priority int
	Target   time.Time
	// Service is how long the request is expected to be at work, or 0 when that is not known.
	Service time.Duration
	// Since is when the request asked, or zero when that is not known.
	Since time.Time
}

// Grant is the answer to an Ask; Close lists connections that the caller must close.
type Grant[C comparable] struct {
	Action    Action
	Conn      C
	IdleSince time.Time
	Close     []C
}

// Acquire answers ask at once or queues it; a grant takes a turn, which ends with Rest.
func (p *Pool[C, W]) Acquire(ask Ask[W]) Grant[C] {
	if p.queue.Len() == 0 && p.turns.free() {
		if g, ok := p.grant(ask.Key); ok {
			p.turns.taken++
			return g
		}
	}
	if !p.queue.Push(ask) {
		return Grant[C]{Action: ActionRefuse}
	}
	return Grant[C]{Action: ActionWait}
}

// grant finds an idle connection for key, room for a new one, or room made by closing one with another key.
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
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		return Grant[C]{Action: ActionOpen, Close: []C{oldest.conn}}, true
	}
	return Grant[C]{}, false
}

// Wake hands a grant to a waiter.
type Wake[C, W comparable] struct {
	Waiter W
	Grant  Grant[C]
}

// Release returns a connection whose turn Rest ends; one that exceeds the limit comes back in Close of the last grant.
func (p *Pool[C, W]) Release(now time.Time, conn C, key string) (wakes []Wake[C, W], closes []C) {
	if p.open > p.limit {
		p.open--
		return nil, []C{conn}
	}
	p.idle = append(p.idle, idleConn[C]{conn: conn, key: key, since: now})
	return p.wake(now), nil
}

// Discard counts out a connection that was closed or could not be opened.
func (p *Pool[C, W]) Discard(now time.Time) []Wake[C, W] {
	p.open--
	return p.wake(now)
}

// wake serves waiters while connections or room last; the key of a waiter is asked of keyOf.
func (p *Pool[C, W]) wake(now time.Time) []Wake[C, W] {
	wakes := p.resume()
	for p.turns.free() && p.queue.Len() > 0 && (len(p.idle) > 0 || p.open < p.limit) {
		w, ok := p.queue.Pop(now)
		if !ok {
			break
		}
		g, ok := p.grant(keyOf(w))
		if !ok {
			break
		}
		p.turns.taken++
		wakes = append(wakes, Wake[C, W]{Waiter: w, Grant: g})
	}
	return wakes
}

// Keyed is a waiter that knows which key its connection must have.
type Keyed interface {
	// Key returns the connection key.
	Key() string
}

func keyOf[W comparable](w W) string {
	if k, ok := any(w).(Keyed); ok {
		return k.Key()
	}
	return ""
}

// Cancel removes a waiter and reports whether it was still queued.
func (p *Pool[C, W]) Cancel(customer string, w W) bool {
	return p.turns.remove(w) || p.queue.Remove(customer, w)
}

// SetLimit changes the limit; it returns the waiters that may go on and the idle connections to close.
func (p *Pool[C, W]) SetLimit(now time.Time, limit int) (wakes []Wake[C, W], closes []C) {
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		closes = append(closes, p.idle[0].conn)
		p.idle = p.idle[1:]
		p.open--
	}
	return p.wake(now), closes
}

// TakeIdle hands over every idle connection, still counted; the caller closes each and calls Discard.
func (p *Pool[C, W]) TakeIdle() []C {
	conns := make([]C, 0, len(p.idle))
	for _, c := range p.idle {
		conns = append(conns, c.conn)
	}
	p.idle = nil
	return conns
}

// TakeIdleBefore hands over the connections that nobody has used since before, still counted, but for the keep newest.
func (p *Pool[C, W]) TakeIdleBefore(before time.Time, keep int) []C {
	var conns []C
	for len(p.idle) > keep && p.idle[0].since.Before(before) {
		conns = append(conns, p.idle[0].conn)
		p.idle = p.idle[1:]
	}
	return conns
}

// Ahead returns how many waiters would go before ask at now.
func (p *Pool[C, W]) Ahead(now time.Time, ask Ask[W]) int { return p.queue.Ahead(now, ask) }

// Open returns the number of connections that are open or being opened.
func (p *Pool[C, W]) Open() int { return p.open }

// Idle returns the number of idle connections.
func (p *Pool[C, W]) Idle() int { return len(p.idle) }

// Limit returns the limit in force.
func (p *Pool[C, W]) Limit() int { return p.limit }

// Waiting returns the number of queued requests.
func (p *Pool[C, W]) Waiting() int { return p.queue.Len() + len(p.turns.resuming) }
