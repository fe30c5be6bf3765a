package pool

import (
	"slices"
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
	// PopIf removes and returns the next request whose deadline has not passed at now and that servable accepts.
	PopIf(now time.Time, servable func(req WaitRequest[W]) bool) (req WaitRequest[W], ok bool)
	// Granted records that req was granted without waiting.
	Granted(req WaitRequest[W])
	// Remove removes a waiter and reports whether it was queued.
	Remove(customer string, w W) bool
	// Ahead returns how many waiters would be served before req, as seen at now.
	Ahead(now time.Time, req WaitRequest[W]) int
}

// PriorityQueue serves the lowest priority value first, within it the account that has recently received the least
// service, and within the account the earliest target that can still be met.
//
// A waiter whose target has passed is served after all waiters whose target can be
// met: a late answer is worth less, however long the request has waited. It is not
// safe for concurrent use.
type PriorityQueue[W comparable] struct {
	// waiters is sorted by priority, then by target.
	waiters []WaitRequest[W]
	limit   int
	// evictedAt is when a waiter of each source was last evicted late in favour of other requests.
	evictedAt map[source]time.Time
	shares    *FairShares
}

// source is a customer's requests of one account.
type source struct {
	customer string
	account  string
}

func sourceOf[W comparable](req WaitRequest[W]) source {
	return source{customer: req.Customer, account: req.Account}
}

// PriorityQueueConfig configures a PriorityQueue.
type PriorityQueueConfig struct {
	// Limit is the maximum number of waiters; 0 means that only the QueueLimit of each request applies.
	Limit int
}

// NewPriorityQueue returns an empty queue.
func NewPriorityQueue[W comparable](cfg PriorityQueueConfig) *PriorityQueue[W] {
	return &PriorityQueue[W]{limit: cfg.Limit, evictedAt: map[source]time.Time{}, shares: NewFairShares()}
}

// Shares returns the service that the accounts have received, to which the caller reports measured times with Finish.
func (q *PriorityQueue[W]) Shares() *FairShares { return q.shares }

// Len returns the number of waiters.
func (q *PriorityQueue[W]) Len() int { return len(q.waiters) }

// before reports whether a is served before b when they have the same account and the targets of both can be met.
func before[W comparable](a, b WaitRequest[W]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Target.Before(b.Target)
}

// Push adds req unless the queue is full, and reports whether it did.
func (q *PriorityQueue[W]) Push(req WaitRequest[W]) bool {
	limit := q.limitFor(req)
	if limit > 0 && len(q.waiters) >= limit {
		return false
	}
	at := sort.Search(len(q.waiters), func(i int) bool { return before(req, q.waiters[i]) })
	q.waiters = append(q.waiters, req)
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = req
	return true
}

// limitFor returns the maximum number of waiters when req joins the queue, or 0 for no limit.
func (q *PriorityQueue[W]) limitFor(req WaitRequest[W]) int {
	limit := req.QueueLimit
	if q.limit > 0 && (limit == 0 || q.limit < limit) {
		limit = q.limit
	}
	return limit
}

// Granted charges the account of a request that was granted without waiting.
func (q *PriorityQueue[W]) Granted(req WaitRequest[W]) { q.start(req) }

// start charges the account of req, which begins its service, and advances virtual time.
//
// Virtual time advances to the least start tag of all waiters and req: an urgent
// request with a later tag would otherwise make less urgent waiters equal.
func (q *PriorityQueue[W]) start(req WaitRequest[W]) {
	tag := q.shares.StartTag(req.Account)
	for _, other := range q.waiters {
		tag = min(tag, q.shares.StartTag(other.Account))
	}
	q.shares.Advance(tag)
	q.shares.Start(req.Account, req.ServiceTime)
}

// Pop removes and returns the next waiter whose target can be met at now, else the waiter with the earliest deadline.
func (q *PriorityQueue[W]) Pop(now time.Time) (w W, ok bool) {
	req, ok := q.PopIf(now, func(WaitRequest[W]) bool { return true })
	return req.Waiter, ok
}

// PopIf is like Pop for the requests that servable accepts, and charges the account of the result.
func (q *PriorityQueue[W]) PopIf(now time.Time, servable func(req WaitRequest[W]) bool) (req WaitRequest[W], ok bool) {
	q.dropExpired(now)
	best := q.next(now, servable)
	if best < 0 {
		return req, false
	}
	req = q.waiters[best]
	q.start(req)
	q.waiters = append(q.waiters[:best], q.waiters[best+1:]...)
	return req, true
}

// next returns the index of the next waiter that servable accepts, or -1.
func (q *PriorityQueue[W]) next(now time.Time, servable func(req WaitRequest[W]) bool) int {
	inTime, late := -1, -1
	var least time.Duration
	for i, req := range q.waiters {
		if inTime >= 0 && req.Priority != q.waiters[inTime].Priority {
			break
		}
		if !servable(req) {
			continue
		}
		if !now.Before(req.Target) {
			if late < 0 || req.Deadline.Before(q.waiters[late].Deadline) {
				late = i
			}
			continue
		}
		if tag := q.shares.StartTag(req.Account); inTime < 0 || tag < least {
			inTime, least = i, tag
		}
	}
	if inTime >= 0 {
		return inTime
	}
	return late
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
	waiting := make([]WaitRequest[W], 0, len(q.waiters)+1)
	for _, other := range q.waiters {
		if now.Before(other.Deadline) && now.Before(other.Target) {
			waiting = append(waiting, other)
		}
	}
	order := q.serviceOrder(insert(waiting, req), 0)
	return slices.IndexFunc(order, func(r plannedRequest[W]) bool { return r.req.Waiter == req.Waiter })
}
