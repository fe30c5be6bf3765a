package event

import (
	"strings"
	"sync"
	"time"
)

// Config lists the parts of an event; a zero AtUnixNano means now.
type Config struct {
	AtUnixNano int64
	Instance   string
	Subject    string
	Decision   string
	Evidence   string
}

// Event is one decision and why it was taken.
type Event struct {
	cfg Config
}

// New returns the event described by cfg.
func New(cfg Config) Event {
	if cfg.AtUnixNano == 0 {
		cfg.AtUnixNano = time.Now().UnixNano()
	}
	return Event{cfg: cfg}
}

// At returns when the decision was taken, on the clock of its instance.
func (e Event) At() time.Time { return time.Unix(0, e.cfg.AtUnixNano) }

// Instance returns who decided.
func (e Event) Instance() string { return e.cfg.Instance }

// Subject returns what the decision is about, such as "group/orders-1".
func (e Event) Subject() string { return e.cfg.Subject }

// Decision returns the decision's name in snake case.
func (e Event) Decision() string { return e.cfg.Decision }

// Evidence returns what the decision rests on.
func (e Event) Evidence() string { return e.cfg.Evidence }

// LogConfig describes a log of events.
type LogConfig struct {
	Instance string
	Capacity int
	// OnAdd is told of each event, if set.
	OnAdd func(Event)
}

// defaultCapacity is the number of events that a log keeps.
const defaultCapacity = 2000

// Log keeps the newest events in a bounded ring; it is safe for concurrent use.
type Log struct {
	cfg  LogConfig
	mu   sync.Mutex
	ring []Event
	next int
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Log{cfg: cfg}
}

// Add appends an event in the name of the log's instance.
func (l *Log) Add(cfg Config) {
	cfg.Instance = l.cfg.Instance
	e := New(cfg)
	l.mu.Lock()
	if len(l.ring) < l.cfg.Capacity {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.next] = e
		l.next = (l.next + 1) % l.cfg.Capacity
	}
	l.mu.Unlock()
	if l.cfg.OnAdd != nil {
		l.cfg.OnAdd(e)
	}
}

// Recent returns the newest events whose subject starts with prefix, oldest first, at most limit of them unless it is 0.
func (l *Log) Recent(prefix string, limit int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if strings.HasPrefix(e.cfg.Subject, prefix) {
			out = append(out, e)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}
