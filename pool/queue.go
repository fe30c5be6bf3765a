package pool

import "time"

// waiter is one queued request.
type waiter[T any] struct {
	item     T
	deadline time.Time
}

// lane is the queue of one customer.
type lane[T any] struct {
	customer string
	waiters  []waiter[T]
}

// Queue holds waiting requests per customer and serves customers in turn; it is not safe for concurrent use.
type Queue[T comparable] struct {
	lanes  map[string]*lane[T]
	active []*lane[T]
	length int
}

// NewQueue returns an empty queue.
func NewQueue[T comparable]() *Queue[T] {
	return &Queue[T]{lanes: map[string]*lane[T]{}}
}

// Len returns the number of waiting requests, the late ones included.
func (q *Queue[T]) Len() int { return q.length }

// Push appends the waiter to its customer's queue unless that is full, and reports whether it did.
func (q *Queue[T]) Push(ask Ask[T]) bool {
	customer, limit := ask.Customer, ask.QueueLimit
	l := q.lanes[customer]
	if l == nil {
		l = &lane[T]{customer: customer}
		q.lanes[customer] = l
	}
	if len(l.waiters) >= limit {
		return false
	}
	if len(l.waiters) == 0 {
		q.active = append(q.active, l)
	}
	l.waiters = append(l.waiters, waiter[T]{item: ask.Waiter, deadline: ask.Deadline})
	q.length++
	return true
}

// Pop takes the next request whose deadline has not passed at now, one customer after the other.
func (q *Queue[T]) Pop(now time.Time) (item T, ok bool) {
	for len(q.active) > 0 {
		l := q.active[0]
		q.active = q.active[1:]
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		q.length--
		q.requeue(l)
		if now.Before(w.deadline) {
			return w.item, true
		}
	}
	return item, false
}

// requeue puts a customer behind the others, or forgets it when nothing waits.
func (q *Queue[T]) requeue(l *lane[T]) {
	if len(l.waiters) > 0 {
		q.active = append(q.active, l)
		return
	}
	delete(q.lanes, l.customer)
}

// Remove takes item out of its customer's queue and reports whether it was there.
func (q *Queue[T]) Remove(customer string, item T) bool {
	l := q.lanes[customer]
	if l == nil {
		return false
	}
	for i, w := range l.waiters {
		if w.item != item {
			continue
		}
		l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
		q.length--
		if len(l.waiters) == 0 {
			q.forget(l)
		}
		return true
	}
	return false
}

// Ahead returns the number of waiters, since all customers are served in turn.
func (q *Queue[T]) Ahead(time.Time, Ask[T]) int { return q.length }

func (q *Queue[T]) forget(l *lane[T]) {
	delete(q.lanes, l.customer)
	for i, other := range q.active {
		if other == l {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}
