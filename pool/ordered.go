package pool

import (
	"sort"
	"time"
)

// Line is an order of waiters.
type Line[W comparable] interface {
	// Len returns the number of waiters, the late ones included.
	Len() int
	// Push adds the waiter of an ask and reports whether there was room.
	Push(ask Ask[W]) bool
	// Pop takes the next waiter whose deadline has not passed at now.
	Pop(now time.Time) (w W, ok bool)
	// Remove takes a waiter out and reports whether it was there.
	Remove(customer string, w W) bool
	// Ahead returns how many waiters go before one that asks at now.
	Ahead(now time.Time, ask Ask[W]) int
}

// Ordered is a line that serves the more urgent priority first, and within it the earliest target that can still be met.
//
// A waiter whose target has passed goes behind all whose target can be met: what
// is late is worth less, however long it waits. It is not safe for concurrent use.
type Ordered[W comparable] struct {
	// waiters ascend by priority, then by target.
	waiters []Ask[W]
	limit   int
	// gaveUpAt is when a waiter of a customer was last given up for others.
	gaveUpAt map[string]time.Time
}

// OrderedConfig describes an ordered line.
type OrderedConfig struct {
	// Limit is the most waiters; 0 means no limit but that of each ask.
	Limit int
}

// NewOrdered returns an empty line.
func NewOrdered[W comparable](cfg OrderedConfig) *Ordered[W] {
	return &Ordered[W]{limit: cfg.Limit, gaveUpAt: map[string]time.Time{}}
}

// Len returns the number of waiters.
func (o *Ordered[W]) Len() int { return len(o.waiters) }

// before reports whether a goes before b among those whose target can be met.
func before[W comparable](a, b Ask[W]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Target.Before(b.Target)
}

// Push adds the waiter of an ask unless the line is full.
func (o *Ordered[W]) Push(ask Ask[W]) bool {
	limit := ask.QueueLimit
	if o.limit > 0 && (limit == 0 || o.limit < limit) {
		limit = o.limit
	}
	if limit > 0 && len(o.waiters) >= limit {
		return false
	}
	at := sort.Search(len(o.waiters), func(i int) bool { return before(ask, o.waiters[i]) })
	o.waiters = append(o.waiters, ask)
	copy(o.waiters[at+1:], o.waiters[at:])
	o.waiters[at] = ask
	return true
}

// Pop takes the first waiter whose target can be met at now, else the one whose deadline is next.
func (o *Ordered[W]) Pop(now time.Time) (w W, ok bool) {
	o.dropLate(now)
	if len(o.waiters) == 0 {
		return w, false
	}
	best := -1
	for i, ask := range o.waiters {
		if now.Before(ask.Target) {
			best = i
			break
		}
		if best < 0 || ask.Deadline.Before(o.waiters[best].Deadline) {
			best = i
		}
	}
	w = o.waiters[best].Waiter
	o.waiters = append(o.waiters[:best], o.waiters[best+1:]...)
	return w, true
}

// dropLate forgets the waiters whose deadline has passed; they notice by their own timers.
func (o *Ordered[W]) dropLate(now time.Time) {
	kept := o.waiters[:0]
	for _, ask := range o.waiters {
		if now.Before(ask.Deadline) {
			kept = append(kept, ask)
		}
	}
	clear(o.waiters[len(kept):])
	o.waiters = kept
}

// Remove takes a waiter out.
func (o *Ordered[W]) Remove(_ string, w W) bool {
	for i, ask := range o.waiters {
		if ask.Waiter == w {
			o.waiters = append(o.waiters[:i], o.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Ahead returns how many waiters go before one that asks at now.
func (o *Ordered[W]) Ahead(now time.Time, ask Ask[W]) int {
	n := 0
	for _, other := range o.waiters {
		if now.Before(other.Deadline) && now.Before(other.Target) && !before(ask, other) {
			n++
		}
	}
	return n
}
