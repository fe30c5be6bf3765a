package pool

import (
	"cmp"
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
// urgent; among equally urgent requests one of the account with the most service,
// received beyond its share or asked for; and within that account the longest (for a
// single account, this is the Moore-Hodgson algorithm), so that as many requests as
// possible are served in time. Waiters whose target has passed take no part in this;
// they get the capacity that is left. When the queue is full, a waiter of the account
// with the most service makes room for a request of another account.
//
// A customer with a late eviction is refused at once for evictionBackoff, for the same
// account, while other requests wait: its requests would be queued only to be evicted
// later.
func (q *PriorityQueue[W]) Unschedulable(s Schedule, req WaitRequest[W]) (evicted []W, refused bool) {
	if len(q.waiters) > 0 && s.Now.Sub(q.evictedAt[sourceOf(req)]) < evictionBackoff {
		return nil, true
	}
	order := q.serviceOrder(q.inTime(s.Now, req), s.MeanServiceTime)
	p := newPlan(s.Now.Add(s.NextPermit), order, q.shares)
	for i := range order {
		order[i].service = order[i].cost / time.Duration(max(1, s.Permits))
		for _, w := range p.add(&order[i]) {
			if w == req.Waiter {
				refused = true
				continue
			}
			evicted = append(evicted, w)
			q.recordEviction(s.Now, w)
		}
	}
	if w, ok := q.makeRoom(p, req, len(evicted)); ok && !refused {
		evicted = append(evicted, w)
		q.recordEviction(s.Now, w)
	}
	return evicted, refused
}

// makeRoom returns the waiter to evict if the queue is full although evicted waiters leave it, unless req's own account
// has the most service; Push then refuses req.
func (q *PriorityQueue[W]) makeRoom(p *plan[W], req WaitRequest[W], evicted int) (w W, ok bool) {
	limit := q.limitFor(req)
	if limit == 0 || len(q.waiters)-evicted < limit {
		return w, false
	}
	first := p.first()
	if first == nil || first.account == req.Account || first.requests[0].req.Priority < req.Priority {
		return w, false
	}
	return first.requests[0].req.Waiter, true
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
			q.evictedAt[sourceOf(r)] = now
		}
	}
}

// plan is the part of a queue that is served in time.
type plan[W comparable] struct {
	// next is when the next request would start.
	next     time.Time
	accounts map[string]*accountPlan[W]
	// order lists the accounts in the order of their first request.
	order []*accountPlan[W]
}

// accountPlan is the part of a plan for one account.
type accountPlan[W comparable] struct {
	account string
	// use is the service that the account has received beyond its share, plus that of its requests that are not evicted.
	use      time.Duration
	requests evictionHeap[W]
}

// newPlan returns an empty plan, which starts at next, for the accounts of requests.
func newPlan[W comparable](next time.Time, requests []plannedRequest[W], shares *FairShares) *plan[W] {
	p := &plan[W]{next: next, accounts: map[string]*accountPlan[W]{}}
	for _, r := range requests {
		own := p.accounts[r.req.Account]
		if own == nil {
			own = &accountPlan[W]{account: r.req.Account, use: shares.Excess(r.req.Account)}
			p.accounts[r.req.Account] = own
			p.order = append(p.order, own)
		}
		own.use += r.cost
	}
	return p
}

// add adds a request to the plan, and returns the waiters that are evicted so that the others start in time.
func (p *plan[W]) add(r *plannedRequest[W]) (evicted []W) {
	own := p.accounts[r.req.Account]
	for p.next.After(r.req.Target) || p.next.After(r.req.Deadline) {
		first := p.first()
		if first == nil || !first.evictedBefore(own, r) {
			own.use -= r.cost
			return append(evicted, r.req.Waiter)
		}
		dropped := heap.Pop(&first.requests).(*plannedRequest[W])
		first.use -= dropped.cost
		p.next = p.next.Add(-dropped.service)
		evicted = append(evicted, dropped.req.Waiter)
	}
	heap.Push(&own.requests, r)
	p.next = p.next.Add(r.service)
	return evicted
}

// first returns the account whose request is evicted first, or nil if the plan is empty.
func (p *plan[W]) first() *accountPlan[W] {
	var first *accountPlan[W]
	for _, a := range p.order {
		if len(a.requests) > 0 && (first == nil || a.evictedBefore(first, first.requests[0])) {
			first = a
		}
	}
	return first
}

// evictedBefore reports whether the account's first request is evicted before r, a request of other.
func (a *accountPlan[W]) evictedBefore(other *accountPlan[W], r *plannedRequest[W]) bool {
	own := a.requests[0]
	if own.req.Priority == r.req.Priority && a.use != other.use {
		return a.use > other.use
	}
	return own.evictedBefore(r)
}

// inTime returns the requests whose target can be met, req included, sorted by priority and target.
func (q *PriorityQueue[W]) inTime(now time.Time, req WaitRequest[W]) []WaitRequest[W] {
	out := make([]WaitRequest[W], 0, len(q.waiters)+1)
	for _, r := range q.waiters {
		if now.Before(r.Target) {
			out = append(out, r)
		}
	}
	if !now.Before(req.Target) {
		return out
	}
	return insert(out, req)
}

// insert inserts req into requests, which are sorted by priority and target.
func insert[W comparable](requests []WaitRequest[W], req WaitRequest[W]) []WaitRequest[W] {
	at := sort.Search(len(requests), func(i int) bool { return before(req, requests[i]) })
	return slices.Insert(requests, at, req)
}

// serviceOrder returns requests, which are sorted by priority and target, in the order of service.
//
// Requests whose service time is not known are assumed to take mean.
func (q *PriorityQueue[W]) serviceOrder(requests []WaitRequest[W], mean time.Duration) []plannedRequest[W] {
	tags := map[string]time.Duration{}
	order := make([]plannedRequest[W], 0, len(requests))
	for i := range requests {
		r := &requests[i]
		tag, known := tags[r.Account]
		if !known {
			tag = q.shares.StartTag(r.Account)
		}
		cost := cmp.Or(r.ServiceTime, mean)
		order = append(order, plannedRequest[W]{req: r, cost: cost, tag: tag})
		tags[r.Account] = tag + cost
	}
	slices.SortStableFunc(order, func(a, b plannedRequest[W]) int {
		return cmp.Or(cmp.Compare(a.req.Priority, b.req.Priority), cmp.Compare(a.tag, b.tag))
	})
	return order
}

// plannedRequest is a request in a plan.
type plannedRequest[W comparable] struct {
	req *WaitRequest[W]
	// cost is the service time, and service that time divided by the number of permits.
	cost    time.Duration
	service time.Duration
	// tag is the account's start tag when the request is served.
	tag time.Duration
}

// evictedBefore reports whether r is evicted before other, a request of the same account.
func (r *plannedRequest[W]) evictedBefore(other *plannedRequest[W]) bool {
	if r.req.Priority != other.req.Priority {
		return r.req.Priority > other.req.Priority
	}
	return r.service > other.service
}

// evictionHeap is a heap whose first element is the request to evict first.
type evictionHeap[W comparable] []*plannedRequest[W]

func (h evictionHeap[W]) Len() int { return len(h) }

func (h evictionHeap[W]) Less(i, j int) bool { return h[i].evictedBefore(h[j]) }

func (h evictionHeap[W]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a request; heap.Push calls it.
func (h *evictionHeap[W]) Push(x any) { *h = append(*h, x.(*plannedRequest[W])) }

// Pop removes and returns the last request; heap.Pop calls it.
func (h *evictionHeap[W]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
