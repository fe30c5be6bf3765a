package pool

import (
	"container/heap"
	"slices"
	"sort"
	"time"
)

// Schedule describes what serves a line.
type Schedule struct {
	// Now is the time, and First how long from then on the next turn is expected to be free.
	Now   time.Time
	First time.Duration
	// Turns is how many requests are at work at once, at least 1.
	Turns int
	// Service is the usual time of a turn, for requests of which it is not known.
	Service time.Duration
}

// Hopeless returns the waiters that are to be refused if ask joins the line, and whether ask itself is.
//
// It plays the line in its order. Where one would start too late, it gives up the
// least urgent of those up to there, and of these the longest (the rule of Moore
// and Hodgson): so as many as possible are served in time. A waiter whose target
// has passed already is not weighed; it takes what is left.
//
// A customer of whom a waiter was just given up late is refused at once for a
// while: its requests would be queued only to be given up later.
func (o *Ordered[W]) Hopeless(s Schedule, ask Ask[W]) (waiters []W, asked bool) {
	if len(o.waiters) > 0 && s.Now.Sub(o.gaveUpAt[ask.Customer]) < giveUpMemory {
		return nil, true
	}
	p := plan[W]{next: s.Now.Add(s.First)}
	for _, one := range o.inOrder(s.Now, ask) {
		service := one.Service
		if service == 0 {
			service = s.Service
		}
		for _, w := range p.add(cost[W]{ask: one, service: service / time.Duration(max(1, s.Turns))}) {
			if w == ask.Waiter {
				asked = true
				continue
			}
			waiters = append(waiters, w)
			o.noteGivenUp(s.Now, w)
		}
	}
	return waiters, asked
}

const (
	// giveUpMemory is how long a customer is refused at once after one of its waiters was given up late: about as
	// long as a full line takes to be worked off.
	giveUpMemory = 100 * time.Millisecond
	// lateShare is the part of the time up to its target after which a waiter is given up late: its caller has lost
	// time in which it could have tried again.
	lateShare = 0.25
	// maxGivenUp bounds the number of customers that are remembered.
	maxGivenUp = 4096
)

func (o *Ordered[W]) noteGivenUp(now time.Time, w W) {
	if len(o.gaveUpAt) >= maxGivenUp {
		clear(o.gaveUpAt)
	}
	for _, one := range o.waiters {
		if one.Waiter == w && now.Sub(one.Since) > time.Duration(lateShare*float64(one.Target.Sub(one.Since))) {
			o.gaveUpAt[one.Customer] = now
		}
	}
}

// plan is the part of a line that is served in time.
type plan[W comparable] struct {
	// next is when the next request would start.
	next  time.Time
	taken costliest[W]
}

// add takes a request into the plan, and returns those that are given up so that the rest is in time.
func (p *plan[W]) add(c cost[W]) (gone []W) {
	for p.next.After(c.ask.Target) || p.next.After(c.ask.Deadline) {
		if len(p.taken) == 0 || !p.taken[0].before(c) {
			return append(gone, c.ask.Waiter)
		}
		drop := heap.Pop(&p.taken).(cost[W])
		p.next = p.next.Add(-drop.service)
		gone = append(gone, drop.ask.Waiter)
	}
	heap.Push(&p.taken, c)
	p.next = p.next.Add(c.service)
	return gone
}

// inOrder returns the waiters whose target can be met, ask among them, in the order in which they are served.
func (o *Ordered[W]) inOrder(now time.Time, ask Ask[W]) []Ask[W] {
	out := make([]Ask[W], 0, len(o.waiters)+1)
	for _, one := range o.waiters {
		if now.Before(one.Target) {
			out = append(out, one)
		}
	}
	if !now.Before(ask.Target) {
		return out
	}
	at := sort.Search(len(out), func(i int) bool { return before(ask, out[i]) })
	return slices.Insert(out, at, ask)
}

// cost is a request in a schedule and the time that it takes of all turns together.
type cost[W comparable] struct {
	ask     Ask[W]
	service time.Duration
}

// before reports whether c is given up before d.
func (c cost[W]) before(d cost[W]) bool {
	if c.ask.Priority != d.ask.Priority {
		return c.ask.Priority > d.ask.Priority
	}
	return c.service > d.service
}

// costliest is a heap with the request on top that is given up first.
type costliest[W comparable] []cost[W]

func (c costliest[W]) Len() int { return len(c) }

func (c costliest[W]) Less(i, j int) bool { return c[i].before(c[j]) }

func (c costliest[W]) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

// Push adds a request; heap.Push calls it.
func (c *costliest[W]) Push(x any) { *c = append(*c, x.(cost[W])) }

// Pop takes the last request; heap.Pop calls it.
func (c *costliest[W]) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}
