package pool

import (
	"container/heap"
	"slices"
	"sort"
	"time"
)

// Schedule describes the capacity that serves a queue.
type Schedule struct {
	// Now is the current time, and NextPermit the expected time from then until a permit is free.
	Now        time.Time
	NextPermit time.Duration
	// Permits is the number of permits, at least 1.
	Permits int
	// MeanServiceTime is the mean service time, assumed of requests whose service time is not known.
	MeanServiceTime time.Duration
}

// Unschedulable returns the waiters that must be refused if req joins the queue, and whether req itself must be.
//
// It simulates the queue in the order of service. When a request would start too
// late, it evicts a request from those up to and including that request: the least
// urgent, and among equally urgent requests the longest (the Moore-Hodgson
// algorithm), so that as many requests as possible are served in time. Waiters whose
// target has passed take no part in this; they get the capacity that is left.
//
// A customer with a late eviction is refused at once for evictionBackoff, while other
// requests wait: its requests would be queued only to be evicted later.
func (q *PriorityQueue[W]) Unschedulable(s Schedule, req WaitRequest[W]) (evicted []W, refused bool) {
	if len(q.waiters) > 0 && s.Now.Sub(q.evictedAt[req.Customer]) < evictionBackoff {
		return nil, true
	}
	p := plan[W]{next: s.Now.Add(s.NextPermit)}
	for _, r := range q.serviceOrder(s.Now, req) {
		service := r.ServiceTime
		if service == 0 {
			service = s.MeanServiceTime
		}
		for _, w := range p.add(plannedRequest[W]{req: r, service: service / time.Duration(max(1, s.Permits))}) {
			if w == req.Waiter {
				refused = true
				continue
			}
			evicted = append(evicted, w)
			q.recordEviction(s.Now, w)
		}
	}
	return evicted, refused
}

const (
	// evictionBackoff is how long a customer is refused at once after one of its waiters was evicted late: about the
	// time in which a full queue is served.
	evictionBackoff = 100 * time.Millisecond
	// lateEvictionShare is the part of the time from request to target after which an eviction is late: the caller
	// has lost time in which it could have retried.
	lateEvictionShare = 0.25
	// maxEvictedCustomers bounds the size of evictedAt.
	maxEvictedCustomers = 4096
)

// recordEviction records that w is evicted at now, if the eviction is late.
func (q *PriorityQueue[W]) recordEviction(now time.Time, w W) {
	if len(q.evictedAt) >= maxEvictedCustomers {
		clear(q.evictedAt)
	}
	for _, r := range q.waiters {
		if r.Waiter == w && now.Sub(r.Since) > time.Duration(lateEvictionShare*float64(r.Target.Sub(r.Since))) {
			q.evictedAt[r.Customer] = now
		}
	}
}

// plan is the part of a queue that is served in time.
type plan[W comparable] struct {
	// next is when the next request would start.
	next     time.Time
	accepted evictionHeap[W]
}

// add adds a request to the plan, and returns the waiters that are evicted so that the others start in time.
func (p *plan[W]) add(r plannedRequest[W]) (evicted []W) {
	for p.next.After(r.req.Target) || p.next.After(r.req.Deadline) {
		if len(p.accepted) == 0 || !p.accepted[0].evictedBefore(r) {
			return append(evicted, r.req.Waiter)
		}
		dropped := heap.Pop(&p.accepted).(plannedRequest[W])
		p.next = p.next.Add(-dropped.service)
		evicted = append(evicted, dropped.req.Waiter)
	}
	heap.Push(&p.accepted, r)
	p.next = p.next.Add(r.service)
	return evicted
}

// serviceOrder returns the requests whose target can be met, req included, in the order of service.
func (q *PriorityQueue[W]) serviceOrder(now time.Time, req WaitRequest[W]) []WaitRequest[W] {
	out := make([]WaitRequest[W], 0, len(q.waiters)+1)
	for _, r := range q.waiters {
		if now.Before(r.Target) {
			out = append(out, r)
		}
	}
	if !now.Before(req.Target) {
		return out
	}
	at := sort.Search(len(out), func(i int) bool { return before(req, out[i]) })
	return slices.Insert(out, at, req)
}

// plannedRequest is a request in a plan, and its service time divided by the number of permits.
type plannedRequest[W comparable] struct {
	req     WaitRequest[W]
	service time.Duration
}

// evictedBefore reports whether r is evicted before other.
func (r plannedRequest[W]) evictedBefore(other plannedRequest[W]) bool {
	if r.req.Priority != other.req.Priority {
		return r.req.Priority > other.req.Priority
	}
	return r.service > other.service
}

// evictionHeap is a heap whose first element is the request to evict first.
type evictionHeap[W comparable] []plannedRequest[W]

func (h evictionHeap[W]) Len() int { return len(h) }

func (h evictionHeap[W]) Less(i, j int) bool { return h[i].evictedBefore(h[j]) }

func (h evictionHeap[W]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a request; heap.Push calls it.
func (h *evictionHeap[W]) Push(x any) { *h = append(*h, x.(plannedRequest[W])) }

// Pop removes and returns the last request; heap.Pop calls it.
func (h *evictionHeap[W]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
