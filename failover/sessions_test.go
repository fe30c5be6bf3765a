package failover_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/session"
)

// TestMain fixes the seed of property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("400")
	}
	os.Exit(m.Run())
}

// clientSession is one session of the model with the oracle's record of it.
type clientSession struct {
	name     string
	instance *instance
	state    *session.Session
	writes   int
	// busy marks a request in flight: a session sends one at a time.
	busy bool
	// lastWrite is the key of the newest acknowledged write, or "" after its loss was reported.
	lastWrite string
	// anonymous marks a session that has reconnected without a token since lastWrite.
	anonymous bool
}

// counterWrite is an acknowledged value of the shared counter.
type counterWrite struct {
	value int
	key   string
	at    time.Time
}

// sessionModel is a simulation with sessions and a test oracle.
type sessionModel struct {
	*simulation
	t             *rapid.T
	sessions      []*clientSession
	refusedWrites []string
	counter       int
	counterWrites []counterWrite
	answeredReads int
	ackedWrites   int
}

const (
	readTimeout   = 2 * time.Second
	retryInterval = 20 * time.Millisecond
	maxStaleness  = 3 * time.Second
	counterKey    = "counter"
)

func newSessionModel(t *rapid.T) *sessionModel {
	lag := time.Duration(rapid.IntRange(1, 300).Draw(t, "lag")) * time.Millisecond
	model := &sessionModel{simulation: newSimulation(t, simulationConfig{instances: 3, lag: lag}), t: t}
	for i := range 4 {
		inst := model.instances[i%len(model.instances)]
		model.sessions = append(model.sessions, &clientSession{
			name:     fmt.Sprintf("s%d", i),
			instance: inst,
			state:    session.New(session.Config{ConnectedAt: model.now}),
		})
	}
	model.advance(time.Second)
	return model
}

func (model *sessionModel) anySession(t *rapid.T) *clientSession {
	return model.sessions[rapid.IntRange(0, len(model.sessions)-1).Draw(t, "session")]
}

func (model *sessionModel) anyMember(t *rapid.T) *endpointtest.Member {
	return model.group.Members()[rapid.IntRange(0, 2).Draw(t, "member")]
}

// writeOnce sends one write that is not idempotent; without a lease it is refused unsent.
func (model *sessionModel) writeOnce(c *clientSession) {
	inst := c.instance
	if inst.paused || c.busy {
		return
	}
	c.writes++
	key := fmt.Sprintf("%s-%d", c.name, c.writes)
	if !model.holdsLease(inst) {
		model.refusedWrites = append(model.refusedWrites, key)
		return
	}
	ran := false
	c.busy = true
	model.counter++
	count := model.counter
	state := c.state
	model.callMember(inst, inst.tracker.Primary(), func(m *endpointtest.Member) {
		ran = m.Commit(key, "v") && m.Commit(counterKey, strconv.Itoa(count))
	}, func(sentAt time.Time, s group.Status) {
		model.finishRequest(c, state)
		inst.tracker.Observe(sentAt, model.now, s)
		if !ran {
			model.refusedWrites = append(model.refusedWrites, key)
			return
		}
		if !model.fromPrimary(inst, s) || !model.holdsLease(inst) {
			return
		}
		model.ackedWrites++
		model.acknowledge(key, s.Point().Term())
		model.counterWrites = append(model.counterWrites, counterWrite{value: count, key: key, at: model.now})
		if c.state == state {
			c.lastWrite = key
			c.anonymous = false
			c.state.Raise(s.Point(), model.now)
		}
	}, func(bool) { model.finishRequest(c, state) })
}

// finishRequest ends the request in flight, unless the session has reconnected since.
func (model *sessionModel) finishRequest(c *clientSession, state *session.Session) {
	if c.state == state {
		c.busy = false
	}
}

// fromPrimary reports whether s is the status of the primary that the instance knows, in the same term.
func (model *sessionModel) fromPrimary(inst *instance, s group.Status) bool {
	return s.Role() == group.RolePrimary && s.Endpoint() == inst.tracker.Primary() && s.Point().Term() == inst.tracker.Term()
}

// read executes one read of the session's last write and retries it until it is answered or the deadline passes.
func (model *sessionModel) read(c *clientSession, state *session.Session, limit time.Duration, deadline time.Time) {
	inst := c.instance
	retry := func() {
		if model.now.Before(deadline) {
			model.after(retryInterval, func() { model.runOn(inst, func() { model.read(c, state, limit, deadline) }) })
			return
		}
		model.finishRequest(c, state)
	}
	if c.state != state {
		return
	}
	if inst.paused {
		model.runOn(inst, func() { model.read(c, state, limit, deadline) })
		return
	}
	if !c.state.HasFloor() {
		point, at := inst.tracker.PrimarySample()
		if point.IsZero() || !model.holdsLease(inst) || !c.state.InitFloor(point, at) {
			retry()
			return
		}
	}
	floor, err := c.state.Resolve(inst.tracker.History(), model.now)
	if fault.KindOf(err) == fault.KindLostWrite {
		c.lastWrite = ""
		model.finishRequest(c, state)
		return
	}
	if err != nil {
		retry()
		return
	}
	_, floorAt := c.state.Floor()
	r := route.Request{Class: route.ClassRead, Floor: floor, FloorAt: floorAt, MaxStaleness: limit, WaitBudget: 25 * time.Millisecond}
	d := route.EarliestReplica{}.Decide(model.now, inst.tracker, r)
	switch d.Target() {
	case route.TargetReplica:
		model.after(d.Wait(), func() { model.runOn(inst, func() { model.readFrom(c, state, d, r, retry) }) })
	case route.TargetPrimary:
		if !model.holdsLease(inst) {
			retry()
			return
		}
		model.readFrom(c, state, d, r, retry)
	default:
		retry()
	}
}

// readFrom reads from one endpoint and checks the answer against the oracle.
func (model *sessionModel) readFrom(c *clientSession, state *session.Session, d route.Decision, r route.Request, retry func()) {
	inst := c.instance
	var own, counter string
	want := c.lastWrite
	model.callMember(inst, d.Endpoint(), func(m *endpointtest.Member) {
		own, _ = m.Value(want)
		counter, _ = m.Value(counterKey)
	}, func(sentAt time.Time, s group.Status) {
		if c.state != state {
			return
		}
		usable := false
		if d.Target() == route.TargetReplica {
			usable = inst.tracker.Verify(sentAt, model.now, s, r) == route.VerdictServe
		} else {
			inst.tracker.Observe(sentAt, model.now, s)
			usable = model.fromPrimary(inst, s) && model.holdsLease(inst)
		}
		if !usable {
			retry()
			return
		}
		model.finishRequest(c, state)
		model.answeredReads++
		model.checkReadYourWrites(c, want, own, d)
		model.checkStaleness(counter, r.MaxStaleness, sentAt, d)
	}, func(bool) { retry() })
}

// checkReadYourWrites requires the session's last write.
//
// It accepts the loss of that write if the session reconnected without a token:
// such a session has no floor from which the loss could be detected.
func (model *sessionModel) checkReadYourWrites(c *clientSession, want, got string, d route.Decision) {
	if want == "" || got != "" {
		return
	}
	if c.anonymous {
		newest := model.newestPrimary()
		if _, survived := newest.Value(want); !survived {
			return
		}
	}
	model.t.Fatalf("%v: session %s did not read its write %s from %s", model.now, c.name, want, d.Endpoint())
}

// checkStaleness requires a counter value no older than limit.
//
// The counter must be at least as high as every surviving value that was
// acknowledged limit or longer before the read was sent.
func (model *sessionModel) checkStaleness(got string, limit time.Duration, sentAt time.Time, d route.Decision) {
	if limit == 0 {
		return
	}
	newest := model.newestPrimary()
	value, _ := strconv.Atoi(got)
	for _, write := range model.counterWrites {
		if write.at.After(sentAt.Add(-limit)) || write.value <= value {
			continue
		}
		if _, survived := newest.Value(write.key); survived {
			model.t.Fatalf("a read with a staleness limit of %v from %s returned counter %d; %d was acknowledged %v before", limit, d.Endpoint(), value, write.value, sentAt.Sub(write.at))
		}
	}
}

// newestPrimary returns the primary of the newest term, reachable or not.
func (model *sessionModel) newestPrimary() *endpointtest.Member {
	var newest *endpointtest.Member
	for _, m := range model.group.Members() {
		s := m.Status()
		if s.Role() == group.RolePrimary && (newest == nil || s.Point().Term() > newest.Status().Point().Term()) {
			newest = m
		}
	}
	return newest
}

// reconnect moves a session to another instance, with its token or without.
func (model *sessionModel) reconnect(t *rapid.T) {
	c := model.anySession(t)
	c.instance = model.instances[rapid.IntRange(0, len(model.instances)-1).Draw(t, "node")]
	cfg := session.Config{ConnectedAt: model.now}
	if rapid.Bool().Draw(t, "token") && c.state.HasFloor() {
		cfg.Floor, _ = c.state.Floor()
	} else {
		c.anonymous = true
	}
	c.state = session.New(cfg)
	c.busy = false
}

// injectRandomFault injects a partition, replication lag, a paused instance or a fault of the table.
func (model *sessionModel) injectRandomFault(t *rapid.T) {
	inst := model.instances[rapid.IntRange(0, len(model.instances)-1).Draw(t, "node")]
	m := model.anyMember(t)
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0:
		m.SetIsolated(true)
	case 1:
		model.partitioned[networkPath{inst.name, m.Name()}] = true
	case 2:
		m.SetLag(time.Duration(5*rapid.IntRange(0, 2).Draw(t, "lag")) * time.Second)
	case 3:
		model.pause(inst)
	case 4:
		model.table = tableMode(rapid.IntRange(0, 2).Draw(t, "table"))
	case 5:
		other := model.instances[rapid.IntRange(0, len(model.instances)-1).Draw(t, "other")]
		model.partitioned[networkPath{inst.name, other.name}] = true
	case 6:
		for _, other := range model.instances {
			model.partitioned[networkPath{other.name, m.Name()}] = true
		}
		m.SetIsolated(true)
	}
}

// heal ends all faults.
func (model *sessionModel) heal(*rapid.T) {
	clear(model.partitioned)
	model.table = tableUp
	for _, m := range model.group.Members() {
		m.SetIsolated(false)
		m.SetLag(10 * time.Millisecond)
	}
	for _, inst := range model.instances {
		model.resume(inst)
	}
}

// checkRefused fails the test if a write that was refused as not run has run.
func (model *sessionModel) checkRefused(t *rapid.T) {
	for _, key := range model.refusedWrites {
		for _, m := range model.group.Members() {
			if _, ok := m.Value(key); ok {
				t.Fatalf("write %s was refused as not run, but %s holds it", key, m.Name())
			}
		}
	}
	model.refusedWrites = model.refusedWrites[:0]
}

// TestSessionsThroughFaults runs random sequences of session requests and faults and checks every answer.
//
// A longer campaign: go test ./failover -run TestSessionsThroughFaults -rapid.checks=5000 -rapid.seed=N
func TestSessionsThroughFaults(t *testing.T) {
	answeredReads, ackedWrites := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		model := newSessionModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				model.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"write": func(t *rapid.T) { model.writeOnce(model.anySession(t)) },
			"read": func(t *rapid.T) {
				c := model.anySession(t)
				if c.busy {
					return
				}
				c.busy = true
				limit := time.Duration(0)
				if rapid.Bool().Draw(t, "stale") {
					limit = maxStaleness
				}
				model.read(c, c.state, limit, model.now.Add(readTimeout))
			},
			"reconnect": model.reconnect,
			"disturb":   model.injectRandomFault,
			"heal":      model.heal,
			"":          model.checkRefused,
		})
		answeredReads += model.answeredReads
		ackedWrites += model.ackedWrites
	})
	t.Logf("%d reads answered, %d writes acknowledged", answeredReads, ackedWrites)
	if answeredReads == 0 || ackedWrites == 0 {
		t.Error("no read was answered or no write was acknowledged")
	}
}
