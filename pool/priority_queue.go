package pool

import (
	"sort"
	"time"
)

// WaitQueue is a queue of waiting requests.
type WaitQueue[W comparable] interface {
	// Len returns the number of waiters, expired ones included.
	Len() int
	// Push adds req unless the queue is full, and reports whether it did.
	Push(req WaitRequest[W]) bool
	// Pop removes and returns the next waiter whose deadline has not passed at now.
	Pop(now time.Time) (w W, ok bool)
	// Remove removes a waiter and reports whether it was queued.
	Remove(customer string, w W) bool
	// Ahead returns how many waiters would be served before req, as seen at now.
	Ahead(now time.Time, req WaitRequest[W]) int
}

// PriorityQueue serves the lowest priority value first, and within it the earliest target that can still be met.
//
// A waiter whose target has passed is served after all waiters whose target can be
// met: a late answer is worth less, however long the request has waited. It is not
// safe for concurrent use.
type PriorityQueue[W comparable] struct {
	// waiters is sorted by priority, then by target.
	waiters []WaitRequest[W]
	limit   int
	// evictedAt is when a waiter of each customer was last evicted late in favour of other requests.
	evictedAt map[string]time.Time
}

// PriorityQueueConfig configures a PriorityQueue.
type PriorityQueueConfig struct {
	// Limit is the maximum number of waiters; 0 means that only the QueueLimit of each request applies.
	Limit int
}

// NewPriorityQueue returns an empty queue.
func NewPriorityQueue[W comparable](cfg PriorityQueueConfig) *PriorityQueue[W] {
	return &PriorityQueue[W]{limit: cfg.Limit, evictedAt: map[string]time.Time{}}
}

// Len returns the number of waiters.
func (q *PriorityQueue[W]) Len() int { return len(q.waiters) }

// before reports whether a is served before b when the targets of both can be met.
func before[W comparable](a, b WaitRequest[W]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Target.Before(b.Target)
}

// Push adds req unless the queue is full, and reports whether it did.
func (q *PriorityQueue[W]) Push(req WaitRequest[W]) bool {
	limit := req.QueueLimit
	if q.limit > 0 && (limit == 0 || q.limit < limit) {
		limit = q.limit
	}
	if limit > 0 && len(q.waiters) >= limit {
		return false
	}
	at := sort.Search(len(q.waiters), func(i int) bool { return before(req, q.waiters[i]) })
	q.waiters = append(q.waiters, req)
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = req
	return true
}

// Pop removes and returns the first waiter whose target can be met at now, else the waiter with the earliest deadline.
func (q *PriorityQueue[W]) Pop(now time.Time) (w W, ok bool) {
	q.dropExpired(now)
	if len(q.waiters) == 0 {
		return w, false
	}
	best := -1
	for i, req := range q.waiters {
		if now.Before(req.Target) {
			best = i
			break
		}
		if best < 0 || req.Deadline.Before(q.waiters[best].Deadline) {
			best = i
		}
	}
	w = q.waiters[best].Waiter
	q.waiters = append(q.waiters[:best], q.waiters[best+1:]...)
	return w, true
}

// dropExpired removes the waiters whose deadline has passed; their own timers end their wait.
func (q *PriorityQueue[W]) dropExpired(now time.Time) {
	kept := q.waiters[:0]
	for _, req := range q.waiters {
		if now.Before(req.Deadline) {
			kept = append(kept, req)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters = kept
}

// Remove removes a waiter and reports whether it was queued.
func (q *PriorityQueue[W]) Remove(_ string, w W) bool {
	for i, req := range q.waiters {
		if req.Waiter == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Ahead returns how many waiters would be served before req, as seen at now.
func (q *PriorityQueue[W]) Ahead(now time.Time, req WaitRequest[W]) int {
	n := 0
	for _, other := range q.waiters {
		if now.Before(other.Deadline) && now.Before(other.Target) && !before(req, other) {
			n++
		}
	}
	return n
}
