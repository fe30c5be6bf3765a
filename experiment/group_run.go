package experiment

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/pool"
	"github.com/monsoontiller/monsoontiller/route"
)

// Settings of the simulated instance and of its callers.
const (
	// groupLease is how long a primary may be used after it was confirmed.
	groupLease = 1200 * time.Millisecond
	// groupWindow is the length of the windows in which requests are counted.
	groupWindow = 2 * time.Second
	// maxRetries is how often a caller tries again after a refusal, and retryPause its wait before that.
	maxRetries = 2
	retryPause = 50 * time.Millisecond
	// permitsPerSlot is the number of requests sent to a member at the same time for each of its slots.
	permitsPerSlot = 2
	// staleMargin is subtracted from the accepted age of a read to allow for the network delay.
	staleMargin = 20 * time.Millisecond
	// replicaWait is the longest time that a read waits for a replica to catch up.
	replicaWait = 25 * time.Millisecond
)

// WindowCounts counts the requests that first arrived in one window.
type WindowCounts struct {
	Asked   int
	InTime  int
	Late    int
	Refused int
	// Stale counts answers from a log that lacked a commit which the read had to see.
	Stale int
}

// Share returns the share of the requests that were answered in time.
func (w WindowCounts) Share() float64 { return float64(w.InTime) / float64(max(1, w.Asked)) }

// Add adds the counts of another window.
func (w *WindowCounts) Add(other WindowCounts) {
	w.Asked += other.Asked
	w.InTime += other.InTime
	w.Late += other.Late
	w.Refused += other.Refused
	w.Stale += other.Stale
}

// GroupResult holds the counts of one variant on one scenario, in windows of two seconds.
type GroupResult struct {
	Scenario string
	Variant  string
	Windows  []WindowCounts
}

// Total returns the sum over the windows.
func (r GroupResult) Total() WindowCounts {
	var sum WindowCounts
	for _, w := range r.Windows {
		sum.Add(w)
	}
	return sum
}

// Worst returns the lowest share of any window.
func (r GroupResult) Worst() float64 {
	worst := 1.0
	for _, w := range r.Windows {
		worst = min(worst, w.Share())
	}
	return worst
}

// event is a step of the simulation; events at the same time run in the order of their creation.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event; heap.Push calls it.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; heap.Pop calls it.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// groupSimulation runs one scenario under one variant in virtual time.
//
// It drives the router, the pools and the wait queues of one instance, which holds all
// connections to a simulated group.
type groupSimulation struct {
	scenario Scenario
	variant  GroupVariant
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   eventHeap
	seq      int
	members  []*simMember
	// leader is the index of the member that leads the newest term, or the last one that did.
	leader  int
	tracker *route.Tracker
	links   map[string]*simLinks
	// floors holds the newest commit of each session.
	floors []group.Point
	// acknowledged holds the time and position of each acknowledged commit, in order.
	acknowledged []sampleAt
	result       GroupResult
}

// sampleAt is a position and the time at which it was acknowledged.
type sampleAt struct {
	at       time.Time
	position group.Position
}

// simLinks holds the connections to one member.
type simLinks struct {
	pool  *pool.Pool[int, *simRequest]
	queue *pool.PriorityQueue[*simRequest]
	next  int
	mean  time.Duration
}

// simRequest is one request of a caller with its attempts.
type simRequest struct {
	kind       RequestKind
	session    int
	writes     bool
	firstAt    time.Time
	receivedAt time.Time
	attempts   int
	service    time.Duration
	window     int
	routed     route.Request
	onReplica  bool
	// retried reports that the present attempt has moved to another member once.
	retried bool
	conn    int
}

// RunGroup simulates a scenario under one variant; the result depends only on the arguments.
func RunGroup(scenario Scenario, variant GroupVariant, seed uint64) GroupResult {
	s := &groupSimulation{
		scenario: scenario, variant: variant, random: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1_000_000, 0),
		links: map[string]*simLinks{}, floors: make([]group.Point, scenario.Sessions),
		result: GroupResult{Scenario: scenario.Name, Variant: variant.Name, Windows: make([]WindowCounts, int(scenario.Duration/groupWindow))},
	}
	s.now = s.start
	names := []string{primaryName, replicaNames[0], replicaNames[1]}
	s.tracker = route.NewTracker(route.TrackerConfig{Group: scenario.Name, Endpoints: names, Lease: groupLease, RequireAllReplicas: true})
	for i, name := range names {
		s.members = append(s.members, &simMember{name: name, term: 1, primary: i == 0})
		queue := pool.NewPriorityQueue[*simRequest](pool.PriorityQueueConfig{})
		s.links[name] = &simLinks{queue: queue, mean: 15 * time.Millisecond, pool: pool.New[int](pool.Config[*simRequest]{
			Limit: scenario.Connections, Permits: permitsPerSlot * scenario.Slots, Queue: queue,
		})}
	}
	s.schedule()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

// after schedules run in d from now.
func (s *groupSimulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// schedule adds the arrivals, the probes and the faults of the scenario.
func (s *groupSimulation) schedule() {
	for _, kind := range s.scenario.Kinds {
		at := time.Duration(0)
		for {
			at += time.Duration(s.random.ExpFloat64() / kind.PerSecond * float64(time.Second))
			if at >= s.scenario.Duration {
				break
			}
			q := &simRequest{
				kind: kind, session: s.random.IntN(s.scenario.Sessions), writes: s.random.Float64() < kind.WriteShare,
				service: time.Duration((0.3 + 0.7*s.random.ExpFloat64()) * float64(kind.Service)), window: int(at / groupWindow),
			}
			s.after(at, func() {
				q.firstAt = s.now
				s.result.Windows[q.window].Asked++
				s.attempt(q)
			})
		}
	}
	for at := time.Duration(0); at < s.scenario.Duration; at += probeInterval {
		s.after(at, s.probeMembers)
	}
	if s.scenario.LagUntil > 0 {
		s.after(s.scenario.LagUntil, s.catchUp)
	}
	if s.scenario.DemotedAt > 0 {
		s.after(s.scenario.DemotedAt, func() { s.members[0].primary = false })
		s.after(s.scenario.PromotedAt, s.promote)
	}
}

// split reports whether only the primary can be reached.
func (s *groupSimulation) split() bool {
	elapsed := s.now.Sub(s.start)
	return elapsed >= s.scenario.SplitFrom && elapsed < s.scenario.SplitUntil
}

// probeMembers reports the status of each member that can be reached to the router.
func (s *groupSimulation) probeMembers() {
	for _, m := range s.members {
		reachable := !s.split() || m.name == s.primaryMember().name
		s.tracker.SetDown(m.name, !reachable)
		if !reachable {
			continue
		}
		role := group.RoleReplica
		if m.primary {
			role = group.RolePrimary
		}
		position := m.positionAt(s.now)
		received := group.NewPoint(m.term, position)
		if int(position) <= m.inherited && m.term > 1 && !s.variant.NameNewTerm {
			received = group.NewPoint(m.term-1, position)
		}
		s.tracker.Observe(s.now, s.now, group.NewStatus(group.StatusConfig{
			Endpoint: m.name, Role: role, Point: group.NewPoint(m.term, position), Received: received, Promised: m.term,
		}))
	}
}
