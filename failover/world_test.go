package failover_test

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// The timing of the tests' group, in virtual time.
const (
	hop           = time.Millisecond
	tableDelay    = 5 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	writeInterval = 20 * time.Millisecond
	lease         = 500 * time.Millisecond
	replicaPoll   = 25 * time.Millisecond
)

// scheduled is something that happens at a virtual time.
type scheduled struct {
	at    time.Time
	order int
	run   func()
}

type agenda []scheduled

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(scheduled)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// tableMode says how the platform's table behaves.
type tableMode int

const (
	tableUp tableMode = iota
	tableDown
	tableLosesAnswers
)

// link is a pair of an instance and an endpoint, or of two instances.
type link struct{ from, to string }

// node is one instance: its machine, and a proxy that writes all the time.
type node struct {
	name    string
	machine *failover.Machine
	tracker *route.Tracker
	rank    int
	paused  bool
	held    []func()
	writes  int
}

// acknowledged is a write that a proxy told its caller of.
type acknowledged struct {
	key  string
	at   time.Time
	term group.Term
}

// reporter is what the tests and the property tests have in common.
type reporter interface {
	Errorf(format string, args ...any)
	Helper()
}

// world is a fake around real machines: one group, some instances, one table.
type world struct {
	t        reporter
	now      time.Time
	agenda   agenda
	order    int
	group    *endpointtest.Group
	nodes    []*node
	cut      map[link]bool
	down     map[string]bool
	table    tableMode
	term     group.Term
	attempt  string
	acks     []acknowledged
	unsafe   bool
	explains []string
	faultAt  time.Time
	gapEnd   time.Time
	settings func(*failover.Config)
	// replicaWait is how long an acknowledgement waits for a replica; required makes it wait without end.
	replicaWait time.Duration
	required    bool
	waited      time.Duration
}

type worldConfig struct {
	instances int
	lag       time.Duration
	settings  func(*failover.Config)
}

func newWorld(t reporter, cfg worldConfig) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), cut: map[link]bool{}, down: map[string]bool{}, term: 1, settings: cfg.settings}
	w.group = endpointtest.NewGroup(endpointtest.GroupConfig{Name: "g", Lag: cfg.lag, Clock: func() time.Time { return w.now }})
	var names []string
	for _, m := range w.group.Members() {
		names = append(names, m.Name())
	}
	for i := range cfg.instances {
		w.addNode(i, names)
	}
	w.every(hop, w.group.Replicate)
	return w
}

func (w *world) addNode(i int, members []string) {
	name := fmt.Sprintf("i%d", i)
	c := failover.Config{
		Group: "g", Instance: name, Members: members,
		Lease: lease, SuspectAfter: 400 * time.Millisecond, RefusedAfter: 150 * time.Millisecond,
		Stagger: 300 * time.Millisecond, StepTimeout: 300 * time.Millisecond,
		TakeOverAfter: 2 * time.Second, CatchUp: time.Second,
	}
	if w.settings != nil {
		w.settings(&c)
	}
	n := &node{
		name:    name,
		rank:    i,
		machine: failover.New(c),
		tracker: route.NewTracker(route.TrackerConfig{Group: "g", Endpoints: members}),
	}
	w.nodes = append(w.nodes, n)
	w.every(probeInterval, func() { w.probeAll(n) })
	w.every(writeInterval, func() { w.write(n) })
}

func (w *world) at(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.agenda, scheduled{at: w.now.Add(d), order: w.order, run: run})
}

func (w *world) every(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.at(d, again)
	}
	w.at(d, again)
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(scheduled)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// on runs something on a node, or holds it while the node is paused.
func (w *world) on(n *node, run func()) {
	if n.paused {
		n.held = append(n.held, run)
		return
	}
	run()
}

func (w *world) pause(n *node) { n.paused = true }

func (w *world) resume(n *node) {
	n.paused = false
	held := n.held
	n.held = nil
	for _, run := range held {
		run()
	}
}

func (w *world) member(name string) *endpointtest.Member {
	for _, m := range w.group.Members() {
		if m.Name() == name {
			return m
		}
	}
	return nil
}

// crash ends a member's process for good.
func (w *world) crash(name string) {
	w.down[name] = true
	w.member(name).Stop()
}

// isolate cuts a member off from the other members and from the given nodes.
func (w *world) isolate(name string, from ...*node) {
	w.member(name).SetIsolated(true)
	for _, n := range from {
		w.cut[link{n.name, name}] = true
	}
}

// call reaches a member and calls back on the node, with a failure when there is no way.
func (w *world) call(n *node, endpoint string, do func(m *endpointtest.Member), back func(sentAt time.Time, s group.Status), fail func(refused bool)) {
	sentAt := w.now
	if w.cut[link{n.name, endpoint}] {
		w.at(probeTimeout, func() { w.on(n, func() { fail(false) }) })
		return
	}
	w.at(hop, func() {
		if w.down[endpoint] {
			w.at(hop, func() { w.on(n, func() { fail(true) }) })
			return
		}
		m := w.member(endpoint)
		do(m)
		s := m.Status()
		w.at(hop, func() {
			if w.cut[link{n.name, endpoint}] {
				return
			}
			w.on(n, func() { back(sentAt, s) })
		})
	})
}

func (w *world) probeAll(n *node) {
	if n.paused {
		return
	}
	w.step(n, failover.Fleet{Others: len(w.nodes) - 1, Rank: n.rank})
	for _, m := range w.group.Members() {
		w.ask(n, m.Name(), func(*endpointtest.Member) {})
	}
	w.step(n, failover.Tick{})
}

func (w *world) ask(n *node, endpoint string, do func(m *endpointtest.Member)) {
	w.call(n, endpoint, do, func(sentAt time.Time, s group.Status) {
		n.tracker.Observe(sentAt, w.now, s)
		w.step(n, failover.Probed{Status: s})
	}, func(refused bool) {
		w.step(n, failover.ProbeFailed{Endpoint: endpoint, Refused: refused})
	})
}

func (w *world) step(n *node, e failover.Event) {
	for _, a := range n.machine.Step(w.now, e) {
		w.act(n, a)
	}
}

func (w *world) act(n *node, a failover.Action) {
	switch a := a.(type) {
	case failover.AskViews:
		w.askViews(n, a)
	case failover.Claim:
		w.claim(n, a)
	case failover.Fence:
		w.ask(n, a.Endpoint, func(m *endpointtest.Member) { m.Fence(a.Term, a.Attempt) })
	case failover.Promote:
		w.ask(n, a.Endpoint, func(m *endpointtest.Member) { m.Promote(a.Term, a.Attempt) })
	case failover.Explain:
		w.explains = append(w.explains, n.name+" "+string(a.Decision)+": "+a.Evidence)
	}
}

func (w *world) askViews(n *node, a failover.AskViews) {
	for _, other := range w.nodes {
		if other == n || w.cut[link{n.name, other.name}] || w.cut[link{other.name, n.name}] {
			continue
		}
		w.at(hop, func() {
			w.on(other, func() {
				v := failover.View{Instance: other.name, Term: a.Term, Lost: other.machine.Lost(w.now, a.Term)}
				w.at(hop, func() { w.on(n, func() { w.step(n, v) }) })
			})
		})
	}
}

func (w *world) claim(n *node, a failover.Claim) {
	if w.table == tableDown {
		return
	}
	w.at(tableDelay, func() {
		r := failover.ClaimResult{Attempt: a.Attempt, Outcome: failover.ClaimWon, Term: a.Term}
		if w.term >= a.Term && w.attempt != a.Attempt {
			r.Outcome = failover.ClaimTaken
			r.Term = w.term
		} else {
			w.term = a.Term
			w.attempt = a.Attempt
		}
		if w.table == tableLosesAnswers {
			return
		}
		w.at(tableDelay, func() { w.on(n, func() { w.step(n, r) }) })
	})
}

// write sends one write through the node's proxy, under the rules for acknowledging it.
func (w *world) write(n *node) {
	if n.paused || !w.leased(n) {
		return
	}
	primary := n.tracker.Primary()
	n.writes++
	key := fmt.Sprintf("%s-%d", n.name, n.writes)
	ran := false
	w.call(n, primary, func(m *endpointtest.Member) { ran = m.Commit(key, "v") }, func(sentAt time.Time, s group.Status) {
		n.tracker.Observe(sentAt, w.now, s)
		if ran {
			w.awaitReplica(n, key, s, w.now)
		}
	}, func(bool) {})
}

// awaitReplica asks the replicas until one has the write, as the world is set, and acknowledges it.
func (w *world) awaitReplica(n *node, key string, s group.Status, since time.Time) {
	leads := s.Role() == group.RolePrimary && s.Endpoint() == n.tracker.Primary() && s.Point().Term() == n.tracker.Term()
	if !leads || !w.leased(n) {
		return
	}
	waited := w.now.Sub(since)
	if n.tracker.Replicated(s.Point()) || !w.required && waited >= w.replicaWait {
		w.waited += waited
		w.acknowledge(key, s.Point().Term())
		return
	}
	for _, r := range n.tracker.Replicas() {
		w.ask(n, r.Endpoint(), func(*endpointtest.Member) {})
	}
	w.at(replicaPoll, func() { w.on(n, func() { w.awaitReplica(n, key, s, since) }) })
}

func (w *world) leased(n *node) bool {
	if w.unsafe {
		return n.tracker.Primary() != ""
	}
	confirmed := n.tracker.ConfirmedAt()
	return !confirmed.IsZero() && w.now.Sub(confirmed) < lease
}

// acknowledge checks the promise: the primary that acknowledges has not been replaced.
func (w *world) acknowledge(key string, term group.Term) {
	for _, m := range w.group.Members() {
		s := m.Status()
		if s.Role() == group.RolePrimary && s.Point().Term() > term {
			w.t.Errorf("%v: write %s acknowledged in term %d while %s leads term %d", w.now.Sub(w.faultAt), key, term, m.Name(), s.Point().Term())
		}
	}
	w.acks = append(w.acks, acknowledged{key: key, at: w.now, term: term})
	if !w.faultAt.IsZero() && w.gapEnd.IsZero() && term > 1 {
		w.gapEnd = w.now
	}
}

// lost counts acknowledged writes that the newest primary does not hold.
func (w *world) lost() int {
	p := w.group.Primary()
	n := 0
	for _, a := range w.acks {
		if _, ok := p.Value(a.key); !ok {
			n++
		}
	}
	return n
}
