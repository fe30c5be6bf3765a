package pool_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

func TestTheLongestIsGivenUpWhereNotAllCanBeServed(t *testing.T) {
	o := pool.NewOrdered[string](pool.OrderedConfig{})
	long := ask("lookup", 2, 60, 60)
	long.Service = 55 * time.Millisecond
	o.Push(long)
	short := ask("update", 2, 80, 80)
	short.Service = 33 * time.Millisecond
	s := pool.Schedule{Now: at(0), First: 10 * time.Millisecond, Turns: 1}
	if gone, refused := o.Hopeless(s, short); refused || len(gone) != 0 {
		t.Errorf("gave up %v, asked %v, though both can be served", gone, refused)
	}
	short.Target, short.Deadline = at(50), at(50)
	if gone, refused := o.Hopeless(s, short); refused || !slices.Equal(gone, []string{}) && len(gone) != 0 {
		t.Errorf("gave up %v, asked %v: the short one goes first and both are in time", gone, refused)
	}
	short.Target, short.Deadline = at(62), at(62)
	if gone, refused := o.Hopeless(s, short); refused || !slices.Equal(gone, []string{"lookup"}) {
		t.Errorf("gave up %v, asked %v; want the longer one", gone, refused)
	}
	urgent := ask("booking", 1, 20, 20)
	urgent.Service = 100 * time.Millisecond
	if gone, refused := o.Hopeless(s, urgent); refused || !slices.Equal(gone, []string{"lookup"}) {
		t.Errorf("gave up %v, asked %v; want the less urgent one", gone, refused)
	}
	late := ask("hopeless", 1, 5, 5)
	if gone, refused := o.Hopeless(s, late); !refused || len(gone) != 0 {
		t.Errorf("gave up %v, asked %v; want only the one that comes too late", gone, refused)
	}
}

// What is left after the rule starts in time, and no urgent waiter is given up where a less urgent one before it stays.
func TestHopelessProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := pool.NewOrdered[int](pool.OrderedConfig{})
		asks := map[int]pool.Ask[int]{}
		draw := func(i int) pool.Ask[int] {
			target := rapid.IntRange(1, 200).Draw(t, "target")
			return pool.Ask[int]{
				Waiter: i, Priority: rapid.IntRange(1, 2).Draw(t, "priority"), Target: at(target), Deadline: at(target),
				Service: time.Duration(rapid.IntRange(1, 60).Draw(t, "service")) * time.Millisecond,
			}
		}
		n := rapid.IntRange(0, 20).Draw(t, "waiters")
		for i := range n {
			asks[i] = draw(i)
			o.Push(asks[i])
		}
		last := draw(n)
		asks[n] = last
		gone, refused := o.Hopeless(pool.Schedule{Now: at(0), Turns: 1}, last)
		for _, w := range gone {
			delete(asks, w)
		}
		if refused {
			delete(asks, n)
		}
		left := make([]pool.Ask[int], 0, len(asks))
		for i := range n + 1 {
			if a, ok := asks[i]; ok {
				left = append(left, a)
			}
		}
		slices.SortStableFunc(left, func(a, b pool.Ask[int]) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Target.Compare(b.Target))
		})
		start := at(0)
		for _, a := range left {
			if start.After(a.Target) {
				t.Fatalf("waiter %d starts %v after its target", a.Waiter, start.Sub(a.Target))
			}
			start = start.Add(a.Service)
		}
	})
}

// The pattern: both replicas of a group are far behind, so that the primary's six slots get 1.5 times the work that
// they can do, of three kinds: bookings that are urgent and short, updates, and lookups that are long but patient.
// In the order of targets alone the lookups wait until they are the next, and updates are refused for them.
func TestUnderOverloadAsManyAreServedAsTheSlotsCanCarry(t *testing.T) {
	const (
		slots    = 6
		factor   = 1.5
		requests = 30_000
		// bound is the stated target under overload: the share of what the slots can carry.
		bound = 0.95
		// lateBound is the most that may be refused after a quarter of its time: the hopeless is to be refused at once.
		lateBound = 0.10
	)
	kinds := []kind{
		{share: 0.15, service: 11 * time.Millisecond, target: 200 * time.Millisecond, priority: 1},
		{share: 0.15, service: 55 * time.Millisecond, target: 800 * time.Millisecond, priority: 2},
		{share: 0.70, service: 33 * time.Millisecond, target: 400 * time.Millisecond, priority: 2},
	}
	carried := carry(kinds, factor)
	with, late := playKinds(kinds, slots, factor, requests, true)
	if with < bound*carried {
		t.Errorf("served %.3f of the requests in time, the slots can carry %.3f", with, carried)
	}
	if late > lateBound {
		t.Errorf("refused %.3f of the requests after a quarter of their time, want at most %.2f", late, lateBound)
	}
	if without, _ := playKinds(kinds, slots, factor, requests, false); without >= bound*carried {
		t.Errorf("the pattern is no overload for the order of targets alone: it serves %.3f of %.3f", without, carried)
	}
}

// kind is one kind of request of the model.
type kind struct {
	share    float64
	service  time.Duration
	target   time.Duration
	priority int
}

// carry returns the share of requests that the slots can serve at factor times their capacity, the shortest first.
func carry(kinds []kind, factor float64) float64 {
	work := 0.0
	for _, k := range kinds {
		work += k.share * float64(k.service)
	}
	capacity := work / factor
	sorted := slices.Clone(kinds)
	slices.SortFunc(sorted, func(a, b kind) int { return cmp.Compare(a.service, b.service) })
	served := 0.0
	for _, k := range sorted {
		part := min(k.share, capacity/float64(k.service))
		served += part
		capacity -= part * float64(k.service)
	}
	return served
}

// playKinds plays the kinds and returns the share that was served within its target, and that which was refused after
// a quarter of its time.
func playKinds(kinds []kind, slots int, factor float64, requests int, weigh bool) (served, refusedLate float64) {
	r := rand.New(rand.NewPCG(3, 5))
	line := pool.NewOrdered[int](pool.OrderedConfig{})
	p := pool.New[int](pool.Config[int]{Limit: 100, Turns: slots, Line: line})
	c := clerk{now: origin}
	kindOf := make([]kind, 0, requests)
	late := 0
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * float64(k.service)
	}
	next := origin
	for i := range requests {
		next = next.Add(time.Duration(r.ExpFloat64() * mean / float64(slots) / factor))
		c.release(p, next)
		now := c.now
		k := pick(kinds, r.Float64())
		c.arrivals = append(c.arrivals, arrival{at: now, service: k.service})
		kindOf = append(kindOf, k)
		a := pool.Ask[int]{
			Customer: k.service.String(), Since: now, Waiter: i, QueueLimit: 10_000, Priority: k.priority, Service: k.service,
			Target: now.Add(k.target - k.service), Deadline: now.Add(k.target - k.service),
		}
		_, taken := p.Turns()
		full := p.Waiting() > 0 || taken >= slots
		mean := time.Duration(mean)
		if !weigh && full && now.Add(time.Duration(p.Ahead(now, a)+1)*mean/time.Duration(slots)).After(a.Deadline) {
			continue
		}
		if weigh && full {
			gone, refused := line.Hopeless(pool.Schedule{Now: now, First: mean / time.Duration(slots), Turns: slots, Service: mean}, a)
			for _, w := range gone {
				p.Cancel("", w)
				if now.Sub(c.arrivals[w].at) > kindOf[w].target/4 {
					late++
				}
			}
			if refused {
				continue
			}
		}
		if g := p.Acquire(a); g.Action != pool.ActionWait {
			c.start(i, g)
		}
	}
	inTime := 0
	for i, one := range c.arrivals {
		if !one.served.IsZero() && one.served.Sub(one.at) <= kindOf[i].target {
			inTime++
		}
	}
	return float64(inTime) / float64(requests), float64(late) / float64(requests)
}

// pick returns the kind at a place among all requests.
func pick(kinds []kind, at float64) kind {
	for _, k := range kinds {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}
