package engine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// pacedService is the usual time of a request at a member, and pacedSlots the number of requests that a member runs at once.
const (
	pacedService = 20 * time.Millisecond
	pacedSlots   = 4
)

// pacedGroup is a group under a load of writes; its members are used from one goroutine at a time of a synctest bubble.
type pacedGroup struct {
	*engine.Group[*fakeLink]
	cluster *cluster
	// running counts the requests at the primary, unanswered those sent since the last mark and before the first answer.
	running, mostRunning int
	unanswered, answered int
	marked               bool
	factor               float64
}

// newPacedGroup returns a group whose members answer, until the test ends.
func newPacedGroup(t *testing.T, paced bool) *pacedGroup {
	p := &pacedGroup{cluster: newCluster(), factor: 1}
	p.Group = engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name: "orders", Members: pacedMembers(1), ProbeInterval: 50 * time.Millisecond, ProbeTimeout: time.Second,
		Lease: time.Hour, Limit: 20, Sharers: 1, Ordered: true, Dial: p.cluster.dial, Clock: time.Now, Pace: paced,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	if err := p.AwaitLease(ctx, clock.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	return p
}

func pacedMembers(incarnation int64) []engine.Address {
	return []engine.Address{
		{Endpoint: "a", Slots: pacedSlots, Incarnation: incarnation}, {Endpoint: "b", Slots: pacedSlots}, {Endpoint: "c", Slots: pacedSlots},
	}
}

// load keeps callers waiting for the primary for d, and returns the number of answers.
func (p *pacedGroup) load(d time.Duration) int {
	const callers = 24
	until := time.Now().Add(d)
	before := p.answered
	ended := make(chan struct{})
	for range callers {
		go func() {
			for time.Now().Before(until) {
				p.serve(until)
			}
			ended <- struct{}{}
		}()
	}
	for range callers {
		<-ended
	}
	return p.answered - before
}

// mark begins to count the requests that are sent before the next answer.
func (p *pacedGroup) mark() {
	p.unanswered, p.marked, p.mostRunning = 0, true, 0
}

func (p *pacedGroup) serve(until time.Time) {
	// The deadlines are on the clock of the connections, which stands still in a bubble.
	deadline := clock.Now().Add(time.Until(until))
	request := engine.AcquireRequest{Customer: "orders", QueueLimit: 100, Deadline: deadline, Target: deadline, MaxIdle: time.Hour}
	e := engine.NewExecution(engine.ExecutionConfig[*fakeLink]{
		Group: p.Group, Policy: route.EarliestAnswer{}, AcquireRequest: request, Deadline: deadline,
		AllowRetry: func(time.Time) bool { return false },
	})
	h, err := e.Serve(context.Background(), p)
	if err == nil {
		h.Release()
		return
	}
	time.Sleep(5 * time.Millisecond)
}

func (p *pacedGroup) Prepare(context.Context) error { return nil }

func (p *pacedGroup) Route(time.Time, *route.Tracker) (route.Request, error) {
	return route.Request{Class: route.ClassWrite}, nil
}

// Exchange runs a request at the primary, which loses it if it is down before or afterwards.
func (p *pacedGroup) Exchange(engine.HeldLink[*fakeLink]) engine.Outcome {
	lost := engine.Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	if p.down() {
		return lost
	}
	p.cluster.mu.Lock()
	p.running++
	p.mostRunning = max(p.mostRunning, p.running)
	if p.marked {
		p.unanswered++
	}
	took := time.Duration(p.factor * float64(pacedService))
	p.cluster.mu.Unlock()
	time.Sleep(took)
	p.cluster.mu.Lock()
	p.running--
	p.cluster.mu.Unlock()
	if p.down() {
		return lost
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.marked = false
	p.answered++
	return engine.Outcome{Answered: true}
}

func (p *pacedGroup) down() (down bool) {
	p.cluster.with("a", func(m *member) { down = m.down })
	return down
}

func (p *pacedGroup) setDown(down bool) {
	for _, name := range []string{"a", "b", "c"} {
		p.cluster.with(name, func(m *member) { m.down = down })
	}
}

// Guards against a flood at a member that has just started. Load: 24 callers write without a pause while the primary starts
// again under its name with a new start time.
func TestStartedMemberGetsOneRequestAndThenItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacedGroup(t, true)
		p.load(time.Second)
		p.SetMembers(pacedMembers(2))
		p.mark()
		p.load(pacedService / 2)
		if p.unanswered != 1 {
			t.Errorf("%d requests were sent before the first answer, want 1", p.unanswered)
		}
		p.load(time.Second)
		if _, limited := p.Pace("a"); limited || p.mostRunning != 2*pacedSlots {
			t.Errorf("limited %v, at most %d requests at the member 1 s later, want its %d permits in use", limited, p.mostRunning, 2*pacedSlots)
		}
	})
}

// Guards against a flood by instances that have all started at once and know nothing of the members. Load: after a loss of
// power of all instances, 24 callers write at once.
func TestNewInstanceBeginsWithOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacedGroup(t, true)
		p.mark()
		if p.load(200 * time.Millisecond); p.unanswered != 1 || p.mostRunning != 2*pacedSlots {
			t.Errorf("%d requests before the first answer and at most %d within 200 ms, want 1 and then %d", p.unanswered, p.mostRunning, 2*pacedSlots)
		}
	})
}

// Guards against floods at each return of a member. Load: the whole group loses power and returns with a period of 1.4 s,
// while 24 callers write without a pause.
func TestFlappingGroupGetsOneRequestAtEachTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacedGroup(t, true)
		p.load(time.Second)
		for turn := range 5 {
			p.setDown(true)
			p.load(700 * time.Millisecond)
			p.setDown(false)
			p.mark()
			answers := p.load(700 * time.Millisecond)
			if p.unanswered > 1 || answers < pacedSlots {
				t.Errorf("turn %d: %d requests before the first answer and %d answers, want 1 and at least %d", turn, p.unanswered, answers, pacedSlots)
			}
		}
	})
}

// Guards against work piled up at a member in difficulty. Load: the primary has started again and is 7.5 times slower for
// 6 s, which its writes before the start show.
func TestSlowMemberIsSparedAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacedGroup(t, true)
		p.load(time.Second)
		p.SetMembers(pacedMembers(2))
		p.factor, p.mostRunning = 7.5, 0
		p.load(6 * time.Second)
		if p.mostRunning > pacedSlots/2 {
			t.Errorf("up to %d requests at the slow member, want at most half of its %d slots", p.mostRunning, pacedSlots)
		}
		p.factor = 1
		p.load(time.Second)
		if pace, limited := p.Pace("a"); limited {
			t.Errorf("the limit is %d of %d 1 s after the recovery", pace.Limit(), pace.Ceiling())
		}
	})
}

// Guards against changes of steady service. Load: 24 callers write without a pause to a group that is well for 2 s, after one
// second for its start; then the primary becomes 7.5 times slower without a restart.
func TestSteadyServiceIsAsWithoutPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var answers [2]int
		for i, paced := range []bool{false, true} {
			p := newPacedGroup(t, paced)
			p.load(time.Second)
			answers[i] = p.load(2 * time.Second)
			p.factor = 7.5
			answers[i] += p.load(2 * time.Second)
		}
		if answers[0] != answers[1] {
			t.Errorf("%d answers with a pace, want the %d without", answers[1], answers[0])
		}
	})
}
