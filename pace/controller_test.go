package pace_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/pace"
)

// service is the usual time of a request at the simulated member.
const service = 20 * time.Millisecond

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// member runs requests one after the other in each of its slots, and loses all that are sent or under way while it is down.
type member struct {
	slots  []time.Duration
	factor func(at time.Duration) float64
	down   func(at time.Duration) bool
	flight []flight
	// beforeAnswer counts the requests sent between the last restart and the first answer after it.
	beforeAnswer, mostBeforeAnswer int
	answered                       bool
	idle                           time.Duration
}

// flight is a request at the member.
type flight struct{ sentAt, endsAt time.Duration }

func newMember(slots int) *member {
	return &member{
		slots:  make([]time.Duration, slots),
		factor: func(time.Duration) float64 { return 1 },
		down:   func(time.Duration) bool { return false },
	}
}

// run keeps as many requests in flight as c allows, which is restarted at each return of the member, from one time to another.
func (m *member) run(c *pace.Controller, from, to time.Duration) {
	for now := from; now < to; now += time.Millisecond {
		if m.down(now-time.Millisecond) && !m.down(now) {
			c.Restart(at(now))
			m.beforeAnswer, m.answered = 0, false
		}
		m.complete(c, now)
		for len(m.flight) < c.Limit() {
			m.send(c, now)
			if m.down(now) {
				break
			}
		}
		for _, busyUntil := range m.slots {
			if busyUntil <= now {
				m.idle += time.Millisecond
			}
		}
	}
}

func (m *member) send(c *pace.Controller, now time.Duration) {
	if !m.answered {
		m.beforeAnswer++
		m.mostBeforeAnswer = max(m.mostBeforeAnswer, m.beforeAnswer)
	}
	if m.down(now) {
		c.Failed(at(now))
		return
	}
	first := 0
	for i := range m.slots {
		if m.slots[i] < m.slots[first] {
			first = i
		}
	}
	start := max(now, m.slots[first])
	m.slots[first] = start + time.Duration(m.factor(start)*float64(service))
	m.flight = append(m.flight, flight{now, m.slots[first]})
}

// complete reports the requests that have ended to c.
func (m *member) complete(c *pace.Controller, now time.Duration) {
	var left []flight
	for _, f := range m.flight {
		switch {
		case m.down(now):
			c.Failed(at(now))
		case f.endsAt <= now:
			m.answered = true
			c.Answered(at(now), now-f.sentAt, service)
		default:
			left = append(left, f)
		}
	}
	m.flight = left
}

// Guards against a limit that delays a member which is well. Load: a member starts well, with more work waiting than it has
// slots for; a slot may be idle at most 200 ms in total after the first good answer.
func TestMemberThatIsWellIsSoonFullyUsed(t *testing.T) {
	for _, slots := range []int{1, 4, 6, 32} {
		c := pace.New(pace.Config{Ceiling: 2 * slots})
		c.Restart(epoch)
		m := newMember(slots)
		m.run(c, 0, service+time.Millisecond)
		m.idle = 0
		m.run(c, service+time.Millisecond, 3*time.Second)
		if each := m.idle / time.Duration(slots); each > 200*time.Millisecond {
			t.Errorf("each of %d slots was idle for %v after the first answer, want at most 200ms", slots, each)
		}
		if c.Limit() != 2*slots {
			t.Errorf("the limit is %d, want the ceiling %d", c.Limit(), 2*slots)
		}
	}
}

// Guards against floods at each return. Load: a member that is up for 0.7 s and down for 0.7 s, and serves requests slowly
// or not at all at first.
func TestFlappingMemberGetsOneRequestAtEachTurn(t *testing.T) {
	const period = 1400 * time.Millisecond
	c := pace.New(pace.Config{Ceiling: 12})
	m := newMember(6)
	m.down = func(at time.Duration) bool { return at >= 0 && at%period < period/2 }
	m.factor = func(at time.Duration) float64 { return 5 }
	c.Restart(epoch)
	m.run(c, 0, period/2)
	m.mostBeforeAnswer = 0
	m.run(c, period/2, 10*period)
	if m.mostBeforeAnswer > 1 {
		t.Errorf("%d requests were sent after a return before the first answer, want 1", m.mostBeforeAnswer)
	}
}

// Guards against work piled up at a member in difficulty, and against a limit that outlasts it. Load: a member that has just
// started is 7.5 times slower for 6 s.
func TestSlowMemberIsSparedUntilItRecovers(t *testing.T) {
	const slowUntil = 6 * time.Second
	c := pace.New(pace.Config{Ceiling: 12})
	c.Restart(epoch)
	m := newMember(6)
	m.factor = func(at time.Duration) float64 {
		if at < slowUntil {
			return 7.5
		}
		return 1
	}
	most := 0
	for now := time.Duration(0); now < slowUntil; now += time.Millisecond {
		m.run(c, now, now+time.Millisecond)
		most = max(most, c.Limit())
	}
	if most > 1 {
		t.Errorf("up to %d requests at a member that never answered in time, want 1", most)
	}
	// The request under way is slow; after it, one step of the limit takes the time of one answer.
	m.run(c, slowUntil, slowUntil+time.Duration(7.5*float64(service))+13*service)
	if c.Limit() != 12 {
		t.Errorf("the limit is %d after the recovery, want the ceiling 12", c.Limit())
	}
}

// Guards against changes of steady service. Load: a member that has not been restarted, or has reached the ceiling, answers
// 7.5 times slower and loses requests.
func TestSteadyServiceIsNotLimited(t *testing.T) {
	never := pace.New(pace.Config{Ceiling: 3})
	reached := pace.New(pace.Config{Ceiling: 3})
	reached.Restart(epoch)
	reached.Answered(at(service), service, service)
	reached.Answered(at(2*service), service, service)
	for name, c := range map[string]*pace.Controller{"never restarted": never, "at its ceiling": reached} {
		for i := range 100 {
			c.Answered(at(time.Duration(10+i)*service), 8*service, service)
			c.Failed(at(time.Duration(10+i) * service))
		}
		if c.Limit() != 3 {
			t.Errorf("a controller that is %s limits requests to %d, want 3", name, c.Limit())
		}
	}
}

// Guards against answers that say nothing about the present limit. Load: a member comes back while answers to requests from
// before its failure, and from before a reduction, are still arriving.
func TestAnswersToEarlierRequestsChangeNothing(t *testing.T) {
	c := pace.New(pace.Config{Ceiling: 8})
	c.Restart(at(time.Second))
	c.Answered(at(time.Second+service/2), service, service)
	if c.Limit() != 1 {
		t.Errorf("the limit is %d after an answer to a request sent before the restart, want 1", c.Limit())
	}
	c.Answered(at(time.Second+service), service, service)
	c.Answered(at(time.Second+2*service), service, 0)
	if c.Limit() != 4 {
		t.Errorf("the limit is %d after two good answers, want 4", c.Limit())
	}
	c.Failed(at(2 * time.Second))
	if c.Limit() != 2 {
		t.Errorf("the limit is %d after a refusal, want half of 4", c.Limit())
	}
	c.Answered(at(2*time.Second+service), 2*service, service)
	c.Answered(at(2*time.Second+2*service), service, service)
	if c.Limit() != 3 {
		t.Errorf("the limit is %d after a good answer that follows a refusal, want one more than 2", c.Limit())
	}
}
