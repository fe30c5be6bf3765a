package pool

import (
	"slices"
	"time"
)

// customerQueue is the queue of one customer.
type customerQueue[T comparable] struct {
	customer string
	waiters  []WaitRequest[T]
}

// FairQueue has a queue per customer and serves customers round robin; it is not safe for concurrent use.
type FairQueue[T comparable] struct {
	byCustomer map[string]*customerQueue[T]
	// active lists the customers that have waiters, in the order of service.
	active []*customerQueue[T]
	length int
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T comparable]() *FairQueue[T] {
	return &FairQueue[T]{byCustomer: map[string]*customerQueue[T]{}}
}

// Len returns the number of waiting requests, expired ones included.
func (q *FairQueue[T]) Len() int { return q.length }

// Push appends the waiter to its customer's queue unless that queue is full, and reports whether it did.
func (q *FairQueue[T]) Push(req WaitRequest[T]) bool {
	customer, limit := req.Customer, req.QueueLimit
	c := q.byCustomer[customer]
	if c == nil {
		c = &customerQueue[T]{customer: customer}
		q.byCustomer[customer] = c
	}
	if len(c.waiters) >= limit {
		return false
	}
	if len(c.waiters) == 0 {
		q.active = append(q.active, c)
	}
	c.waiters = append(c.waiters, req)
	q.length++
	return true
}

// Pop removes and returns the next request whose deadline has not passed at now.
func (q *FairQueue[T]) Pop(now time.Time) (item T, ok bool) {
	req, ok := q.PopIf(now, func(WaitRequest[T]) bool { return true })
	return req.Waiter, ok
}

// PopIf is like Pop for the requests that servable accepts; customers whose requests are not accepted keep their place.
func (q *FairQueue[T]) PopIf(now time.Time, servable func(req WaitRequest[T]) bool) (req WaitRequest[T], ok bool) {
	for at := 0; at < len(q.active); {
		c := q.active[at]
		i := slices.IndexFunc(c.waiters, func(r WaitRequest[T]) bool { return !now.Before(r.Deadline) || servable(r) })
		if i < 0 {
			at++
			continue
		}
		req = c.waiters[i]
		c.waiters = slices.Delete(c.waiters, i, i+1)
		q.length--
		q.active = slices.Delete(q.active, at, at+1)
		q.requeue(c)
		if now.Before(req.Deadline) {
			return req, true
		}
	}
	return WaitRequest[T]{}, false
}

// Granted does nothing: round robin counts only the requests that waited.
func (q *FairQueue[T]) Granted(WaitRequest[T]) {}

// requeue moves a customer behind the others, or removes it when its queue is empty.
func (q *FairQueue[T]) requeue(c *customerQueue[T]) {
	if len(c.waiters) > 0 {
		q.active = append(q.active, c)
		return
	}
	delete(q.byCustomer, c.customer)
}

// Remove removes item from its customer's queue and reports whether it was queued.
func (q *FairQueue[T]) Remove(customer string, item T) bool {
	c := q.byCustomer[customer]
	if c == nil {
		return false
	}
	for i, w := range c.waiters {
		if w.Waiter != item {
			continue
		}
		c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
		q.length--
		if len(c.waiters) == 0 {
			q.removeCustomer(c)
		}
		return true
	}
	return false
}

// Ahead returns the number of all waiters, an upper bound since customers are served round robin.
func (q *FairQueue[T]) Ahead(time.Time, WaitRequest[T]) int { return q.length }

func (q *FairQueue[T]) removeCustomer(c *customerQueue[T]) {
	delete(q.byCustomer, c.customer)
	for i, other := range q.active {
		if other == c {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}
