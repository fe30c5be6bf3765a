package pool_test

import (
	"container/heap"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/pool"
)

// TestTargetWithinLimit guards against a target beyond the time limit of the request.
func TestTargetWithinLimit(t *testing.T) {
	received := time.Unix(1000, 0)
	for _, tc := range []struct {
		name             string
		objective, limit time.Duration
		want             time.Duration
	}{
		{"objective below the limit", 200 * time.Millisecond, time.Second, 200 * time.Millisecond},
		{"objective above the limit", 1500 * time.Millisecond, time.Second, 850 * time.Millisecond},
	} {
		if got := pool.Target(received, tc.objective, tc.limit).Sub(received); got != tc.want {
			t.Errorf("%s: target after %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestOverloadWithLongObjectiveBreaksNothingOff guards against a collapse under load: reads of 28 ms with an objective of
// 1,500 ms and a time limit of 1,000 ms come at 1.2 times what two permits serve, because both replicas are far behind.
//
// A request that started after its limit less its own time would be broken off, and its connection lost: the queue then
// serves only requests that are past their limit, and every start costs a new connection.
func TestOverloadWithLongObjectiveBreaksNothingOff(t *testing.T) {
	const (
		objective = 1500 * time.Millisecond
		limit     = time.Second
		service   = 28 * time.Millisecond
		permits   = 2
		interval  = service / permits * 10 / 12
		duration  = 10 * time.Second
	)
	epoch := time.Unix(1000, 0)
	q := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})
	received := map[int]time.Time{}
	free := &instants{epoch, epoch}
	served, broken := 0, 0
	next := epoch
	for n := 0; next.Before(epoch.Add(duration)); n++ {
		for q.Len() > 0 && (*free)[0].Before(next) {
			start := (*free)[0]
			id, ok := q.Pop(start)
			if !ok {
				break
			}
			served++
			if start.Add(service).After(received[id].Add(limit)) {
				broken++
			}
			(*free)[0] = start.Add(service)
			heap.Fix(free, 0)
		}
		if (*free)[0].Before(next) {
			(*free)[0] = next
			heap.Fix(free, 0)
		}
		received[n] = next
		target := pool.Target(next, objective, limit)
		q.Push(pool.WaitRequest[int]{
			Customer: "orders", Waiter: n, Since: next, ServiceTime: service, Target: target.Add(-service),
			Deadline: pool.LatestStart(next, target, target, service),
		})
		next = next.Add(interval)
	}
	if broken > 0 {
		t.Errorf("%d of %d requests started too late to end within their limit", broken, served)
	}
	if least := 9 * int(duration/service) * permits / 10; served < least {
		t.Errorf("served %d requests, want at least %d of those that the permits allow", served, least)
	}
}

// instants is a heap of the times at which permits become free.
type instants []time.Time

func (h instants) Len() int           { return len(h) }
func (h instants) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h instants) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *instants) Push(x any)        { *h = append(*h, x.(time.Time)) }
func (h *instants) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
