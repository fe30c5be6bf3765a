package pool_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/pool"
)

const (
	// fairDial is how long opening a connection occupies a slot.
	fairDial = 12 * time.Millisecond
	// fairSlots is the number of slots of the member, and fairObjective the callers' latency objective.
	fairSlots     = 4
	fairObjective = 200 * time.Millisecond
	// fairBound is the callers' target: at most 0.1% of the operations are lost.
	fairBound = 0.999
)

// demand is the Poisson load of one account.
type demand struct {
	account  string
	perS     float64
	service  time.Duration
	priority int
}

// fairRequest is a request of a fairModel, and when it was answered, if it was.
type fairRequest struct {
	demand
	at       time.Time
	service  time.Duration
	answered time.Time
}

// fairModel runs demands on the connections of a pool in virtual time, as Connections of package engine does.
type fairModel struct {
	now      time.Time
	demands  []demand
	accounts bool
	queue    *pool.PriorityQueue[int]
	pool     *pool.Pool[int, int]
	requests []fairRequest
	ends     finishes
	running  map[int]int
	opened   int
}

// newFairModel returns a model of a pool with limit connections; without accounts, the queue and the pool know none.
func newFairModel(demands []demand, accounts bool, limit int) *fairModel {
	m := &fairModel{now: origin, demands: demands, accounts: accounts, running: map[int]int{}}
	m.queue = pool.NewPriorityQueue[int](pool.PriorityQueueConfig{Limit: 1000})
	m.pool = pool.New[int](pool.Config[int]{Limit: limit, Permits: fairSlots, Queue: m.queue, Forecast: m})
	return m
}

// Returning returns the number of connections of key that are expected back within the time of a dial.
func (m *fairModel) Returning(now time.Time, key string) (n int) {
	for _, i := range m.running {
		r := m.requests[i]
		if m.key(r) == key && r.answered.Add(r.demand.service-r.service).Sub(now).Abs() <= fairDial {
			n++
		}
	}
	return n
}

// UseTime returns the mean service time of the first demand.
func (m *fairModel) UseTime() time.Duration { return m.demands[0].service }

func (m *fairModel) key(r fairRequest) string {
	if m.accounts {
		return r.account
	}
	return ""
}

// run runs the demands for a time and returns the requests.
func (m *fairModel) run(r *rand.Rand, length time.Duration) []fairRequest {
	total := 0.0
	for _, d := range m.demands {
		total += d.perS
	}
	for next := m.now; next.Sub(origin) < length; {
		next = next.Add(time.Duration(r.ExpFloat64() / total * float64(time.Second)))
		m.finish(next)
		at := r.Float64() * total
		for _, d := range m.demands {
			if at -= d.perS; at < 0 {
				m.request(fairRequest{demand: d, at: next, service: time.Duration(r.ExpFloat64() * float64(d.service))})
				break
			}
		}
	}
	m.finish(m.now.Add(time.Minute))
	return m.requests
}

// request queues a request, or refuses it or waiters that cannot start in time.
func (m *fairModel) request(r fairRequest) {
	i := len(m.requests)
	m.requests = append(m.requests, r)
	target := r.at.Add(fairObjective)
	req := pool.WaitRequest[int]{
		Customer: "orders", Account: m.key(r), Key: m.key(r), Waiter: i, Priority: r.priority, Since: m.now,
		ServiceTime: r.demand.service, Target: target.Add(-r.demand.service), Deadline: pool.LatestStart(m.now, target, target, r.demand.service),
	}
	if m.pool.Waiting() > 0 || !m.pool.HasFreePermit() {
		mean := m.demands[0].service
		evicted, refused := m.queue.Unschedulable(pool.Schedule{
			Now: m.now, NextPermit: mean / fairSlots, Permits: fairSlots, MeanServiceTime: mean,
		}, req)
		for _, w := range evicted {
			m.pool.Cancel("", w)
		}
		if refused {
			return
		}
	}
	if g := m.pool.Acquire(req); g.Action == pool.ActionUse || g.Action == pool.ActionOpen {
		m.start(i, g)
	}
}

// start runs a request on the connection of its grant.
func (m *fairModel) start(i int, g pool.Grant[int]) {
	conn, took := g.Conn, m.requests[i].service
	if g.Action == pool.ActionOpen {
		m.opened++
		conn, took = m.opened, took+fairDial
	}
	m.requests[i].answered = m.now.Add(took)
	m.running[conn] = i
	heap.Push(&m.ends, finish{at: m.requests[i].answered, conn: conn})
}

// finish ends the requests that are answered by a time, and wakes deferred waiters within the time of a dial.
func (m *fairModel) finish(until time.Time) {
	for {
		at, ended := until, len(m.ends) > 0 && !m.ends[0].at.After(until)
		if ended {
			at = m.ends[0].at
		}
		if wake := m.now.Add(fairDial); m.pool.Deferred() > 0 && wake.Before(at) {
			m.now = wake
			m.startAll(m.pool.Wake(m.now))
			continue
		}
		m.now = at
		if !ended {
			return
		}
		conn := heap.Pop(&m.ends).(finish).conn
		r := m.requests[m.running[conn]]
		delete(m.running, conn)
		m.queue.Shares().Finish(m.key(r), r.demand.service, r.service)
		wakeups, _ := m.pool.Release(m.now, conn, m.key(r))
		m.startAll(append(wakeups, m.pool.ReleasePermit(m.now)...))
	}
}

func (m *fairModel) startAll(wakeups []pool.Wakeup[int, int]) {
	for _, w := range wakeups {
		m.start(w.Waiter, w.Grant)
	}
}

// inTime returns the share of the requests that were answered within the objective, of all accounts but one.
func inTime(requests []fairRequest, except string) float64 {
	all, answered := 0, 0
	for _, r := range requests {
		if r.account == except {
			continue
		}
		all++
		if !r.answered.IsZero() && r.answered.Sub(r.at) <= fairObjective {
			answered++
		}
	}
	return float64(answered) / float64(all)
}

const (
	fairRunTime = 2 * time.Minute
	// cheapRunTime holds 1,000 urgent requests, and 30,000 cheap ones.
	cheapRunTime = 10 * time.Second
)

// Guards against a burst of one account that takes the slots of the others. Load: a member with 4 slots and a usual load
// of 0.6, a fifth of it from one account, which then sends 8 times as much, beside 20 others.
func TestBurstLeavesOtherAccountsTheirSlots(t *testing.T) {
	run := func(burst float64, accounts bool) float64 {
		demands := []demand{{account: "burst", perS: 32 * burst, service: 15 * time.Millisecond, priority: 1}}
		for i := range 20 {
			demands = append(demands, demand{account: fmt.Sprint(i), perS: 6.4, service: 15 * time.Millisecond, priority: 1})
		}
		m := newFairModel(demands, accounts, 66)
		return inTime(m.run(rand.New(rand.NewPCG(1, 2)), fairRunTime), "burst")
	}
	usual, burst, former := run(1, true), run(8, true), run(8, false)
	t.Logf("others answered in time: %.4f usually, %.4f during the burst, %.4f by target alone", usual, burst, former)
	if usual < fairBound || burst < fairBound {
		t.Errorf("others answered in time: %.4f usually and %.4f during the burst, want %.3f", usual, burst, fairBound)
	}
	if former >= fairBound {
		t.Errorf("the load is no overload: by target alone, %.4f of the others are answered in time", former)
	}
}

// Guards against cheap work of low priority that displaces urgent work. Load: a member with 4 slots, urgent work of 20
// accounts at 0.4 of its capacity, and 2 ms requests of low priority from one account at 1.5 times its capacity.
func TestCheapBurstDoesNotDelayUrgentWork(t *testing.T) {
	var demands []demand
	for i := range 20 {
		demands = append(demands, demand{account: fmt.Sprint(i), perS: 5.3, service: 15 * time.Millisecond, priority: 1})
	}
	demands = append(demands, demand{account: "burst", perS: 3000, service: 2 * time.Millisecond, priority: 2})
	m := newFairModel(demands, true, 66)
	share := inTime(m.run(rand.New(rand.NewPCG(3, 4)), cheapRunTime), "burst")
	t.Logf("urgent work answered in time: %.4f", share)
	if share < fairBound {
		t.Errorf("%.4f of the urgent work is answered in time, want %.3f", share, fairBound)
	}
}

// Guards against connections opened for each request because those of the busy accounts are replaced. Load: 80 accounts
// with Zipf (1.2) demand, 46 requests per second over 11 connections.
func TestBusyAccountsKeepTheirConnections(t *testing.T) {
	const limit = 11
	var demands []demand
	for i := range 80 {
		demands = append(demands, demand{account: fmt.Sprint(i), perS: 13 * math.Pow(float64(i+1), -1.2), service: 15 * time.Millisecond, priority: 1})
	}
	m := newFairModel(demands, true, limit)
	requests := m.run(rand.New(rand.NewPCG(5, 6)), 10*fairRunTime)
	opened := float64(m.opened) / float64(len(requests))
	former := float64(openedByRecency(requests, limit)) / float64(len(requests))
	share := inTime(requests, "")
	t.Logf("%.1f requests per second: %.4f connections opened per request, %.4f by recency; answered in time: %.4f",
		float64(len(requests))/(10*fairRunTime).Seconds(), opened, former, share)
	if opened >= former {
		t.Errorf("%.4f connections opened per request, %.4f if the least recently used is replaced", opened, former)
	}
	if share < fairBound {
		t.Errorf("%.4f answered in time, want %.3f", share, fairBound)
	}
}

// openedByRecency returns how many connections are opened for requests if the least recently used one is replaced.
func openedByRecency(requests []fairRequest, limit int) (opened int) {
	type conn struct {
		account string
		free    time.Time
	}
	var conns []conn
	for _, r := range requests {
		own, oldest := -1, 0
		for i, c := range conns {
			if c.account == r.account && !c.free.After(r.at) {
				own = i
			}
			if c.free.Before(conns[oldest].free) {
				oldest = i
			}
		}
		switch {
		case own >= 0:
			conns[own].free = r.at.Add(r.service)
			continue
		case len(conns) < limit:
			conns = append(conns, conn{})
			oldest = len(conns) - 1
		}
		opened++
		start := r.at
		if conns[oldest].free.After(start) {
			start = conns[oldest].free
		}
		conns[oldest] = conn{account: r.account, free: start.Add(fairDial + r.service)}
	}
	return opened
}

// Guards against an account that waits for ever. Load: 20 accounts that always wait, with requests of 1 to 40 ms whose
// expected times are wrong or unknown. Before a waiter's start tag is the least, each other account gets at most the time
// of one request for the waiter's excess, and of one more that passes its tag.
func TestNoAccountWaitsForever(t *testing.T) {
	const accounts, longest = 20, 40 * time.Millisecond
	r := rand.New(rand.NewPCG(7, 8))
	q := pool.NewPriorityQueue[int](pool.PriorityQueueConfig{})
	served := time.Duration(0)
	var waitsSince, expected [accounts]time.Duration
	push := func(account int) {
		waitsSince[account], expected[account] = served, time.Duration(r.Int64N(3))*longest/4
		q.Push(pool.WaitRequest[int]{
			Account: fmt.Sprint(account), Waiter: account, Target: at(1_000_000 - r.IntN(1000)), Deadline: at(2_000_000),
			ServiceTime: expected[account],
		})
	}
	for i := range accounts {
		push(i)
	}
	for range 20_000 {
		w, _ := q.Pop(at(0))
		if waited := served - waitsSince[w]; waited > 2*accounts*longest {
			t.Fatalf("account %d waited while others got %v of service", w, waited)
		}
		took := time.Duration(1 + r.Int64N(int64(longest)))
		q.Shares().Finish(fmt.Sprint(w), expected[w], took)
		served += took
		push(w)
	}
}
