package event

import (
	"strings"
	"sync"
	"time"
)

// Config holds the fields of an Event; a zero AtUnixNano means the current time.
type Config struct {
	AtUnixNano int64
	Instance   string
	Subject    string
	Decision   string
	Evidence   string
}

// Event is one decision of an instance with its evidence.
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

// At returns the time of the decision on the clock of the deciding instance.
func (e Event) At() time.Time { return time.Unix(0, e.cfg.AtUnixNano) }

// Instance returns the name of the instance that made the decision.
func (e Event) Instance() string { return e.cfg.Instance }

// Subject returns the object of the decision, such as "group/orders-1".
func (e Event) Subject() string { return e.cfg.Subject }

// Decision returns the decision's name in snake case.
func (e Event) Decision() string { return e.cfg.Decision }

// Evidence returns the observations that led to the decision.
func (e Event) Evidence() string { return e.cfg.Evidence }

// LogConfig configures a Log; a zero Capacity selects the default of 2000 events.
type LogConfig struct {
	Instance string
	Capacity int
	// OnAdd, if set, is called with each event after it is stored.
	OnAdd func(Event)
}

// defaultCapacity is the number of events that a log keeps if its configuration sets none.
const defaultCapacity = 2000

// Log keeps the newest events in a ring buffer; it is safe for concurrent use.
type Log struct {
	cfg  LogConfig
	mu   sync.Mutex
	ring []Event
	// oldest is the index of the oldest event once the ring is full, and 0 before.
	oldest int
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Log{cfg: cfg}
}

// Add appends an event and sets its instance to that of the log.
func (l *Log) Add(cfg Config) {
	cfg.Instance = l.cfg.Instance
	e := New(cfg)
	l.mu.Lock()
	if len(l.ring) < l.cfg.Capacity {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.oldest] = e
		l.oldest = (l.oldest + 1) % l.cfg.Capacity
	}
	l.mu.Unlock()
	if l.cfg.OnAdd != nil {
		l.cfg.OnAdd(e)
	}
}

// Recent returns the newest events whose subject starts with prefix, oldest first.
//
// It returns at most limit events; a limit of 0 means all.
func (l *Log) Recent(prefix string, limit int) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for i := range l.ring {
		e := l.ring[(l.oldest+i)%len(l.ring)]
		if strings.HasPrefix(e.cfg.Subject, prefix) {
			out = append(out, e)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}
