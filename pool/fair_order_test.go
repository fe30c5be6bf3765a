package pool_test

import (
	"container/heap"
	"slices"
	"sort"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/pool"
)

// targetQueue is the reference for a single account: priority, then target, with evictions by Moore-Hodgson.
type targetQueue []pool.WaitRequest[int]

func (q *targetQueue) insert(req pool.WaitRequest[int]) {
	at := sort.Search(len(*q), func(i int) bool {
		r := (*q)[i]
		return req.Priority < r.Priority || req.Priority == r.Priority && req.Target.Before(r.Target)
	})
	*q = slices.Insert(*q, at, req)
}

func (q *targetQueue) pop(now time.Time) (int, bool) {
	*q = slices.DeleteFunc(*q, func(r pool.WaitRequest[int]) bool { return !now.Before(r.Deadline) })
	best := slices.IndexFunc(*q, func(r pool.WaitRequest[int]) bool { return now.Before(r.Target) })
	for i := 0; best < 0 && i < len(*q); i++ {
		if !slices.ContainsFunc(*q, func(r pool.WaitRequest[int]) bool { return r.Deadline.Before((*q)[i].Deadline) }) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	w := (*q)[best].Waiter
	*q = slices.Delete(*q, best, best+1)
	return w, true
}

// longest is a heap of requests, the least urgent and longest first.
type longest []pool.WaitRequest[int]

func (h longest) Len() int { return len(h) }
func (h longest) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].ServiceTime > h[j].ServiceTime
}
func (h longest) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *longest) Push(x any)   { *h = append(*h, x.(pool.WaitRequest[int])) }
func (h *longest) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// evictions returns the waiters of a queue that includes the joining request, which are evicted with one permit.
func (q *targetQueue) evictions(now time.Time) (evicted []int) {
	var accepted longest
	next := now
	for _, r := range *q {
		if !now.Before(r.Target) {
			continue
		}
		kept := true
		for kept && (next.After(r.Target) || next.After(r.Deadline)) {
			if kept = len(accepted) > 0 && (longest{accepted[0], r}).Less(0, 1); kept {
				dropped := heap.Pop(&accepted).(pool.WaitRequest[int])
				next = next.Add(-dropped.ServiceTime)
				evicted = append(evicted, dropped.Waiter)
			}
		}
		if !kept {
			evicted = append(evicted, r.Waiter)
			continue
		}
		heap.Push(&accepted, r)
		next = next.Add(r.ServiceTime)
	}
	return evicted
}

// Guards against a change of order or of evictions where there are no accounts, or only one: any load of up to 30
// requests, with measured times that differ from the expected ones.
func TestSingleAccountKeepsOrderOfTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := rapid.SampledFrom([]string{"", "retail"}).Draw(t, "account")
		q := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})
		var reference targetQueue
		now := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			now += rapid.IntRange(0, 8).Draw(t, "gap")
			target := now + rapid.IntRange(-5, 100).Draw(t, "target")
			req := pool.WaitRequest[int]{
				Account: account, Customer: strconv.Itoa(i), Waiter: i, Priority: rapid.IntRange(1, 2).Draw(t, "priority"), Target: at(target),
				Deadline: at(target + rapid.IntRange(0, 20).Draw(t, "late")), Since: at(now),
				ServiceTime: time.Duration(rapid.IntRange(1, 40).Draw(t, "service")) * time.Millisecond,
			}
			ahead := 0
			for _, r := range reference {
				earlier := r.Priority < req.Priority || r.Priority == req.Priority && !req.Target.Before(r.Target)
				if earlier && at(now).Before(r.Deadline) && at(now).Before(r.Target) {
					ahead++
				}
			}
			if got := q.Ahead(at(now), req); got != ahead {
				t.Fatalf("Ahead = %d, want %d", got, ahead)
			}
			joined := slices.Clone(reference)
			joined.insert(req)
			want := joined.evictions(at(now))
			got, refused := q.Unschedulable(pool.Schedule{Now: at(now), Permits: 1}, req)
			if refused {
				got = append(got, i)
			}
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Fatalf("evicted %v, want %v", got, want)
			}
			drop := func(w int) {
				q.Remove("", w)
				reference = slices.DeleteFunc(reference, func(r pool.WaitRequest[int]) bool { return r.Waiter == w })
			}
			if rapid.Bool().Draw(t, "overload") || !slices.Contains(want, i) {
				q.Push(req)
				reference.insert(req)
			}
			if rapid.Bool().Draw(t, "evict") {
				for _, w := range want {
					drop(w)
				}
			}
			if rapid.Bool().Draw(t, "serve") {
				w, ok := q.Pop(at(now))
				if want, wantOK := reference.pop(at(now)); w != want || ok != wantOK {
					t.Fatalf("Pop = %d, %v; want %d, %v", w, ok, want, wantOK)
				}
				q.Shares().Finish(account, time.Duration(i)*time.Millisecond, time.Duration(rapid.IntRange(0, 90).Draw(t, "measured"))*time.Millisecond)
			}
		}
	})
}

// Guards against credit saved up while idle, against an order that ignores measured times, and against a table that
// grows with the number of accounts.
func TestFairSharesOrderByMeasuredService(t *testing.T) {
	const ms = time.Millisecond
	f := pool.NewFairShares()
	f.Start("large", 0)
	f.Finish("large", 0, 500*ms)
	f.Start("small", 10*ms)
	if large, small := f.StartTag("large"), f.StartTag("small"); small >= large {
		t.Errorf("tags %v and %v, want the account with the measured 500 ms last", large, small)
	}
	f.Finish("small", 10*ms, 0)
	if got := f.Excess("small"); got != 0 {
		t.Errorf("excess %v after a service that did not take place, want 0", got)
	}
	f.Advance(f.StartTag("large"))
	f.Start("large", 20*ms)
	if got := f.Excess("idle"); got != 0 || f.StartTag("large")-f.StartTag("idle") != 20*ms {
		t.Errorf("an account that was idle is %v ahead of the other, want one service of 20 ms", f.StartTag("large")-f.StartTag("idle"))
	}
	for i := range 10_000 {
		f.Start(string(rune('a'+i%26))+time.Duration(i).String(), time.Second)
	}
	if got := f.Accounts(); got > 4096 {
		t.Errorf("%d accounts are kept, want at most 4096", got)
	}
	if got := f.Excess("large"); got > 20*ms {
		t.Errorf("excess %v, want at most the last service", got)
	}
}

// Guards against a burst of one account that fills the queue and so keeps out the others: 100 requests of one account
// in a queue of 100, and one of another.
func TestFullQueueMakesRoomForOtherAccounts(t *testing.T) {
	const limit = 100
	q := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{Limit: limit})
	request := func(account string, i int) pool.WaitRequest[int] {
		return pool.WaitRequest[int]{Account: account, Customer: "orders", Waiter: i, Target: at(10_000), Deadline: at(10_000), ServiceTime: time.Millisecond}
	}
	for i := range limit {
		q.Push(request("burst", i))
	}
	s := pool.Schedule{Now: at(0), Permits: 1}
	if evicted, refused := q.Unschedulable(s, request("burst", limit)); len(evicted) > 0 || refused || q.Push(request("burst", limit)) {
		t.Errorf("evicted %v for another request of the burst, which only Push must refuse", evicted)
	}
	evicted, refused := q.Unschedulable(s, request("quiet", limit))
	if len(evicted) != 1 || refused {
		t.Fatalf("evicted %v, refused %v; want one request of the burst evicted", evicted, refused)
	}
	q.Remove("", evicted[0])
	if !q.Push(request("quiet", limit)) {
		t.Fatal("the queue rejected the request of the other account")
	}
	first, _ := q.Pop(at(0))
	second, _ := q.Pop(at(0))
	if first != limit && second != limit {
		t.Errorf("served %d and %d first, want one of them to be the other account's", first, second)
	}
}
