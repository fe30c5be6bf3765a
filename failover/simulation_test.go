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

// The timing of the simulated group, in virtual time.
const (
	networkDelay  = time.Millisecond
	tableDelay    = 5 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	writeInterval = 20 * time.Millisecond
	lease         = 500 * time.Millisecond
	replicaPoll   = 25 * time.Millisecond
)

// scheduledEvent is a function that runs at a virtual time; sequence orders the events of one time.
type scheduledEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of events ordered by time and sequence.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// tableMode is the behaviour of the platform's table.
type tableMode int

const (
	tableUp tableMode = iota
	tableDown
	tableLosesAnswers
)

// networkPath is a pair of an instance and an endpoint, or of two instances.
type networkPath struct{ from, to string }

// instance is one proxy instance, which sends a write every writeInterval.
type instance struct {
	name     string
	machine  *failover.Machine
	tracker  *route.Tracker
	rank     int
	paused   bool
	deferred []func()
	writes   int
}

// acknowledgedWrite is a write that a proxy acknowledged to its caller.
type acknowledgedWrite struct {
	key  string
	at   time.Time
	term group.Term
}

// reporter is the part of testing.T and rapid.T that the simulation uses.
type reporter interface {
	Errorf(format string, args ...any)
	Helper()
}

// simulation runs real machines of several instances against one simulated group and one simulated table.
type simulation struct {
	t           reporter
	now         time.Time
	events      eventQueue
	sequence    int
	group       *endpointtest.Group
	instances   []*instance
	partitioned map[networkPath]bool
	// down holds the members that have crashed.
	down           map[string]bool
	table          tableMode
	claimedTerm    group.Term
	claimedAttempt string
	acknowledged   []acknowledgedWrite
	// unsafe disables the lease, so that a write needs only a known primary.
	unsafe    bool
	decisions []string
	faultAt   time.Time
	gapEnd    time.Time
	settings  func(*failover.Config)
	// replicaWait is the maximum wait of an acknowledgement for a replica; required removes the limit.
	replicaWait time.Duration
	required    bool
	waited      time.Duration
}

type simulationConfig struct {
	instances int
	lag       time.Duration
	settings  func(*failover.Config)
}

func newSimulation(t reporter, cfg simulationConfig) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_000_000, 0), partitioned: map[networkPath]bool{}, down: map[string]bool{}, claimedTerm: 1, settings: cfg.settings}
	sim.group = endpointtest.NewGroup(endpointtest.GroupConfig{Name: "g", Lag: cfg.lag, Clock: func() time.Time { return sim.now }})
	var names []string
	for _, m := range sim.group.Members() {
		names = append(names, m.Name())
	}
	for i := range cfg.instances {
		sim.addInstance(i, names)
	}
	sim.every(networkDelay, sim.group.Replicate)
	return sim
}

func (sim *simulation) addInstance(i int, members []string) {
	name := fmt.Sprintf("i%d", i)
	c := failover.Config{
		Group: "g", Instance: name, Members: members,
		Lease: lease, SuspectAfter: 400 * time.Millisecond, RefusedAfter: 150 * time.Millisecond,
		Stagger: 300 * time.Millisecond, StepTimeout: 300 * time.Millisecond,
		TakeOverAfter: 2 * time.Second, CatchUpTimeout: time.Second,
	}
	if sim.settings != nil {
		sim.settings(&c)
	}
	inst := &instance{
		name:    name,
		rank:    i,
		machine: failover.New(c),
		tracker: route.NewTracker(route.TrackerConfig{Group: "g", Endpoints: members}),
	}
	sim.instances = append(sim.instances, inst)
	sim.every(probeInterval, func() { sim.probeAll(inst) })
	sim.every(writeInterval, func() { sim.write(inst) })
}

// after schedules run in d from now.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, scheduledEvent{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

func (sim *simulation) every(d time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		sim.after(d, repeat)
	}
	sim.after(d, repeat)
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// runOn runs a function on an instance, or defers it while the instance is paused.
func (sim *simulation) runOn(inst *instance, run func()) {
	if inst.paused {
		inst.deferred = append(inst.deferred, run)
		return
	}
	run()
}

func (sim *simulation) pause(inst *instance) { inst.paused = true }

func (sim *simulation) resume(inst *instance) {
	inst.paused = false
	deferred := inst.deferred
	inst.deferred = nil
	for _, run := range deferred {
		run()
	}
}

func (sim *simulation) member(name string) *endpointtest.Member {
	for _, m := range sim.group.Members() {
		if m.Name() == name {
			return m
		}
	}
	return nil
}

// crashMember stops a member's process permanently.
func (sim *simulation) crashMember(name string) {
	sim.down[name] = true
	sim.member(name).Stop()
}

// isolate partitions a member from the other members and from the given instances.
func (sim *simulation) isolate(name string, from ...*instance) {
	sim.member(name).SetIsolated(true)
	for _, inst := range from {
		sim.partitioned[networkPath{inst.name, name}] = true
	}
}

// callMember runs operation on a member and calls onAnswer on the instance, or onFailure if the member is unreachable.
//
// An answer that a partition drops on its way back calls neither.
func (sim *simulation) callMember(inst *instance, endpoint string, operation func(m *endpointtest.Member), onAnswer func(sentAt time.Time, s group.Status), onFailure func(refused bool)) {
	sentAt := sim.now
	if sim.partitioned[networkPath{inst.name, endpoint}] {
		sim.after(probeTimeout, func() { sim.runOn(inst, func() { onFailure(false) }) })
		return
	}
	sim.after(networkDelay, func() {
		if sim.down[endpoint] {
			sim.after(networkDelay, func() { sim.runOn(inst, func() { onFailure(true) }) })
			return
		}
		m := sim.member(endpoint)
		operation(m)
		s := m.Status()
		sim.after(networkDelay, func() {
			if sim.partitioned[networkPath{inst.name, endpoint}] {
				return
			}
			sim.runOn(inst, func() { onAnswer(sentAt, s) })
		})
	})
}

func (sim *simulation) probeAll(inst *instance) {
	if inst.paused {
		return
	}
	sim.step(inst, failover.Fleet{Others: len(sim.instances) - 1, Rank: inst.rank})
	for _, m := range sim.group.Members() {
		sim.request(inst, m.Name(), func(*endpointtest.Member) {})
	}
	sim.step(inst, failover.Tick{})
}

func (sim *simulation) request(inst *instance, endpoint string, operation func(m *endpointtest.Member)) {
	sim.callMember(inst, endpoint, operation, func(sentAt time.Time, s group.Status) {
		inst.tracker.Observe(sentAt, sim.now, s)
		sim.step(inst, failover.Probed{Status: s})
	}, func(refused bool) {
		sim.step(inst, failover.ProbeFailed{Endpoint: endpoint, Refused: refused})
	})
}

func (sim *simulation) step(inst *instance, e failover.Event) {
	for _, a := range inst.machine.Step(sim.now, e) {
		sim.perform(inst, a)
	}
}

func (sim *simulation) perform(inst *instance, a failover.Action) {
	switch a := a.(type) {
	case failover.QueryViews:
		sim.queryViews(inst, a)
	case failover.Claim:
		sim.claim(inst, a)
	case failover.Fence:
		sim.request(inst, a.Endpoint, func(m *endpointtest.Member) { m.Fence(a.Term, a.Attempt) })
	case failover.Promote:
		sim.request(inst, a.Endpoint, func(m *endpointtest.Member) { m.Promote(a.Term, a.Attempt) })
	case failover.Explain:
		sim.decisions = append(sim.decisions, inst.name+" "+string(a.Decision)+": "+a.Evidence)
	}
}

func (sim *simulation) queryViews(inst *instance, a failover.QueryViews) {
	for _, other := range sim.instances {
		if other == inst || sim.partitioned[networkPath{inst.name, other.name}] || sim.partitioned[networkPath{other.name, inst.name}] {
			continue
		}
		sim.after(networkDelay, func() {
			sim.runOn(other, func() {
				v := failover.View{Instance: other.name, Term: a.Term, Lost: other.machine.PrimaryLost(sim.now, a.Term)}
				sim.after(networkDelay, func() { sim.runOn(inst, func() { sim.step(inst, v) }) })
			})
		})
	}
}

func (sim *simulation) claim(inst *instance, a failover.Claim) {
	if sim.table == tableDown {
		return
	}
	sim.after(tableDelay, func() {
		r := failover.ClaimResult{Attempt: a.Attempt, Outcome: failover.ClaimWon, Term: a.Term}
		if sim.claimedTerm >= a.Term && sim.claimedAttempt != a.Attempt {
			r.Outcome = failover.ClaimTaken
			r.Term = sim.claimedTerm
		} else {
			sim.claimedTerm = a.Term
			sim.claimedAttempt = a.Attempt
		}
		if sim.table == tableLosesAnswers {
			return
		}
		sim.after(tableDelay, func() { sim.runOn(inst, func() { sim.step(inst, r) }) })
	})
}

// write sends one write through the instance's proxy and acknowledges it under the rules of the simulation.
func (sim *simulation) write(inst *instance) {
	if inst.paused || !sim.holdsLease(inst) {
		return
	}
	primary := inst.tracker.Primary()
	inst.writes++
	key := fmt.Sprintf("%s-%d", inst.name, inst.writes)
	ran := false
	sim.callMember(inst, primary, func(m *endpointtest.Member) { ran = m.Commit(key, "v") }, func(sentAt time.Time, s group.Status) {
		inst.tracker.Observe(sentAt, sim.now, s)
		if ran {
			sim.awaitReplica(inst, key, s, sim.now)
		}
	}, func(bool) {})
}

// awaitReplica polls the replicas until one holds the write or replicaWait has passed, and acknowledges the write.
func (sim *simulation) awaitReplica(inst *instance, key string, s group.Status, since time.Time) {
	fromPrimary := s.Role() == group.RolePrimary && s.Endpoint() == inst.tracker.Primary() && s.Point().Term() == inst.tracker.Term()
	if !fromPrimary || !sim.holdsLease(inst) {
		return
	}
	waited := sim.now.Sub(since)
	if inst.tracker.Replicated(s.Point()) || !sim.required && waited >= sim.replicaWait {
		sim.waited += waited
		sim.acknowledge(key, s.Point().Term())
		return
	}
	for _, r := range inst.tracker.Replicas() {
		sim.request(inst, r.Endpoint(), func(*endpointtest.Member) {})
	}
	sim.after(replicaPoll, func() { sim.runOn(inst, func() { sim.awaitReplica(inst, key, s, since) }) })
}

func (sim *simulation) holdsLease(inst *instance) bool {
	if sim.unsafe {
		return inst.tracker.Primary() != ""
	}
	confirmed := inst.tracker.ConfirmedAt()
	return !confirmed.IsZero() && sim.now.Sub(confirmed) < lease
}

// acknowledge checks the guarantee that no primary of a newer term exists when a write is acknowledged.
func (sim *simulation) acknowledge(key string, term group.Term) {
	for _, m := range sim.group.Members() {
		s := m.Status()
		if s.Role() == group.RolePrimary && s.Point().Term() > term {
			sim.t.Errorf("%v: write %s acknowledged in term %d while %s is primary of term %d", sim.now.Sub(sim.faultAt), key, term, m.Name(), s.Point().Term())
		}
	}
	sim.acknowledged = append(sim.acknowledged, acknowledgedWrite{key: key, at: sim.now, term: term})
	if !sim.faultAt.IsZero() && sim.gapEnd.IsZero() && term > 1 {
		sim.gapEnd = sim.now
	}
}

// lostWrites counts the acknowledged writes that the newest primary does not hold.
func (sim *simulation) lostWrites() int {
	p := sim.group.Primary()
	count := 0
	for _, a := range sim.acknowledged {
		if _, ok := p.Value(a.key); !ok {
			count++
		}
	}
	return count
}
