package report

import (
	"sort"
	"sync"
	"time"
)

// Window is the duration for which counts are kept.
const Window = 6 * time.Hour

// MinuteCounts counts the requests of one customer in one minute.
type MinuteCounts struct {
	// UnixMinute is the minute's start in minutes since the Unix epoch.
	UnixMinute int64
	Requests   uint64
	// Failed counts the requests that were not answered, Slow those that exceeded the latency objective.
	Failed uint64
	Slow   uint64
	// Reads counts the reads that were answered, ReplicaReads those that a replica answered.
	Reads        uint64
	ReplicaReads uint64
	// Gap is the time for which a group had no usable primary, counted in the minute in which it ended.
	Gap time.Duration
}

// add returns the sum of two minutes, with the later start.
func (m MinuteCounts) add(other MinuteCounts) MinuteCounts {
	return MinuteCounts{
		UnixMinute:   max(m.UnixMinute, other.UnixMinute),
		Requests:     m.Requests + other.Requests,
		Failed:       m.Failed + other.Failed,
		Slow:         m.Slow + other.Slow,
		Reads:        m.Reads + other.Reads,
		ReplicaReads: m.ReplicaReads + other.ReplicaReads,
		Gap:          m.Gap + other.Gap,
	}
}

// CountsConfig configures Counts; a nil Clock means time.Now.
type CountsConfig struct {
	Clock func() time.Time
}

// Counts holds the minutes of all customers on one instance; it is safe for concurrent use.
type Counts struct {
	clock     func() time.Time
	mu        sync.Mutex
	customers map[string]*history
}

// history holds the minutes of one customer, newest last.
type history struct {
	minutes []MinuteCounts
	// worstGap is the longest gap since the instance started, including gaps older than Window.
	worstGap time.Duration
}

// NewCounts returns empty counts.
func NewCounts(cfg CountsConfig) *Counts {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Counts{clock: cfg.Clock, customers: map[string]*history{}}
}

// Add adds the counts in m to the customer's current minute and ignores its UnixMinute.
func (c *Counts) Add(customer string, m MinuteCounts) {
	minute := c.clock().Unix() / 60
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.customers[customer]
	if h == nil {
		h = &history{}
		c.customers[customer] = h
	}
	h.add(minute, m)
}

// add adds m to the newest minute, or starts a new one and drops the minutes older than Window.
func (h *history) add(minute int64, m MinuteCounts) {
	h.worstGap = max(h.worstGap, m.Gap)
	m.UnixMinute = minute
	last := len(h.minutes) - 1
	if last >= 0 && h.minutes[last].UnixMinute >= minute {
		h.minutes[last] = h.minutes[last].add(m)
		return
	}
	h.minutes = append(h.minutes, m)
	cutoff := minute - int64(Window/time.Minute)
	for h.minutes[0].UnixMinute <= cutoff {
		h.minutes = h.minutes[1:]
	}
}

// Customers returns the names of the customers that have counts, sorted.
func (c *Counts) Customers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.customers))
	for name := range c.customers {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Minutes returns a copy of a customer's minutes, oldest first, and its longest gap since the instance started.
func (c *Counts) Minutes(customer string) (minutes []MinuteCounts, worstGap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.customers[customer]
	if h == nil {
		return nil, 0
	}
	return append([]MinuteCounts(nil), h.minutes...), h.worstGap
}
