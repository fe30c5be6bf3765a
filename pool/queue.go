package pool

import "time"

// waiter is a queued request.
type waiter[T any] struct {
	item     T
	deadline time.Time
}

// customerQueue is the queue of one customer.
type customerQueue[T any] struct {
	customer string
	waiters  []waiter[T]
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
	c.waiters = append(c.waiters, waiter[T]{item: req.Waiter, deadline: req.Deadline})
	q.length++
	return true
}

// Pop removes and returns the next request whose deadline has not passed at now.
func (q *FairQueue[T]) Pop(now time.Time) (item T, ok bool) {
	for len(q.active) > 0 {
		c := q.active[0]
		q.active = q.active[1:]
		w := c.waiters[0]
		c.waiters = c.waiters[1:]
		q.length--
		q.requeue(c)
		if now.Before(w.deadline) {
			return w.item, true
		}
	}
	return item, false
}

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
		if w.item != item {
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
