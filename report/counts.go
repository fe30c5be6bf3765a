package report

import (
	"sort"
	"sync"
	"time"
)

// Window is the span of time for which counts are kept.
const Window = 6 * time.Hour

// Minute holds what happened to one customer's requests in one minute.
type Minute struct {
	UnixMinute   int64
	Requests     uint64
	Failed       uint64
	Slow         uint64
	Reads        uint64
	ReplicaReads uint64
	Gap          time.Duration
}

// add sums two minutes.
func (m Minute) add(o Minute) Minute {
	return Minute{
		UnixMinute:   max(m.UnixMinute, o.UnixMinute),
		Requests:     m.Requests + o.Requests,
		Failed:       m.Failed + o.Failed,
		Slow:         m.Slow + o.Slow,
		Reads:        m.Reads + o.Reads,
		ReplicaReads: m.ReplicaReads + o.ReplicaReads,
		Gap:          m.Gap + o.Gap,
	}
}

// CountsConfig sets the clock of the counts; nil means time.Now.
type CountsConfig struct {
	Clock func() time.Time
}

// Counts keeps the minutes of all customers on one instance; it is safe for concurrent use.
type Counts struct {
	clock     func() time.Time
	mu        sync.Mutex
	customers map[string]*history
}

// history is the minutes of one customer, newest last.
type history struct {
	minutes  []Minute
	worstGap time.Duration
}

// NewCounts returns empty counts.
func NewCounts(cfg CountsConfig) *Counts {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Counts{clock: cfg.Clock, customers: map[string]*history{}}
}

// Add adds one request, or one gap, to the present minute of a customer.
func (c *Counts) Add(customer string, m Minute) {
	now := c.clock().Unix() / 60
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.customers[customer]
	if h == nil {
		h = &history{}
		c.customers[customer] = h
	}
	h.add(now, m)
}

func (h *history) add(now int64, m Minute) {
	h.worstGap = max(h.worstGap, m.Gap)
	m.UnixMinute = now
	last := len(h.minutes) - 1
	if last >= 0 && h.minutes[last].UnixMinute >= now {
		h.minutes[last] = h.minutes[last].add(m)
		return
	}
	h.minutes = append(h.minutes, m)
	first := now - int64(Window/time.Minute)
	for h.minutes[0].UnixMinute <= first {
		h.minutes = h.minutes[1:]
	}
}

// Customers returns the customers that have counts, in order.
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

// Minutes returns a copy of a customer's minutes, oldest first, and the longest gap.
func (c *Counts) Minutes(customer string) (minutes []Minute, worstGap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.customers[customer]
	if h == nil {
		return nil, 0
	}
	return append([]Minute(nil), h.minutes...), h.worstGap
}
