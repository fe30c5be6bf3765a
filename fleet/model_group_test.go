package fleet_test

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Times of the modelled members.
const (
	modelPromotionTime = 600 * time.Millisecond
	modelStepDown      = time.Second
	// modelLateOrder is how long after the next answer the platform runs an order that it did not answer.
	modelLateOrder = 2 * time.Second
)

// modelWrite is a write that a member committed.
type modelWrite struct {
	number    int
	term      group.Term
	member    string
	committed time.Time
}

// modelMember is a member of the modelled group.
type modelMember struct {
	name    string
	primary bool
	term    group.Term
	log     []modelWrite
	paused  group.Term
	// down members run nothing; silent ones are separated from the instances, isolated ones from the members, and deaf ones
	// receive nothing.
	down, silent, isolated, deaf bool
	// reachedAt is when a replaced primary first reached its successor, or zero.
	reachedAt time.Time
}

// modelGroup is a group on a platform that numbers the terms.
type modelGroup struct {
	now     time.Time
	members []*modelMember
	term    group.Term
	sync    bool
	// events are what happens at a time; led are the promotions that took effect, with their times.
	events []modelEvent
	led    []modelWrite
	acked  []modelWrite
	last   int
	// late are the orders that the platform has not answered and runs after its next answer.
	late []string
	// lateAfter is how much later.
	lateAfter time.Duration
	broken    []string
}

// modelEvent is something that happens at a time.
type modelEvent struct {
	at  time.Time
	run func()
}

func newModelGroup(now time.Time, sync bool) *modelGroup {
	g := &modelGroup{now: now, term: 1, sync: sync}
	for _, name := range []string{"a", "b", "c"} {
		g.members = append(g.members, &modelMember{name: name, primary: name == "a", term: 1})
	}
	g.commit(g.members[0])
	g.replicate()
	return g
}

func (g *modelGroup) find(name string) *modelMember {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// after lets f happen after d.
func (g *modelGroup) after(d time.Duration, f func()) {
	g.events = append(g.events, modelEvent{at: g.now.Add(d), run: f})
}

// step runs what is due, and replicates.
func (g *modelGroup) step() {
	due := g.events
	g.events = nil
	for _, e := range due {
		if e.at.After(g.now) {
			g.events = append(g.events, e)
			continue
		}
		e.run()
	}
	g.replicate()
}

// leader returns the primary of the newest term that any member leads, or nil.
func (g *modelGroup) leader() (leader *modelMember) {
	for _, m := range g.members {
		if m.primary && !m.down && (leader == nil || m.term > leader.term) {
			leader = m
		}
	}
	return leader
}

// replicate lets the members follow the primary of the newest term.
func (g *modelGroup) replicate() {
	leader := g.leader()
	if leader == nil || leader.isolated {
		return
	}
	for _, m := range g.members {
		switch {
		case m == leader || m.down || m.isolated || m.deaf || m.paused > leader.term:
		case m.primary && m.reachedAt.IsZero():
			m.reachedAt = g.now
		case m.primary && g.now.Sub(m.reachedAt) < modelStepDown:
		default:
			m.primary, m.term, m.reachedAt = false, leader.term, time.Time{}
			m.log = append([]modelWrite(nil), leader.log...)
		}
	}
}

// order runs a promotion order, and reports false if the member does not run.
func (g *modelGroup) order(name string) bool {
	m := g.find(name)
	if m == nil || m.down {
		return false
	}
	g.after(modelPromotionTime, func() { g.lead(m) })
	return true
}

// answer runs what the platform did not answer before, a little later.
func (g *modelGroup) answer() {
	for _, name := range g.late {
		g.after(g.lateAfter, func() { g.order(name) })
	}
	g.late = nil
}

// lead makes a member the primary of the next term, and checks that it has all acknowledged writes if writes need a replica.
func (g *modelGroup) lead(m *modelMember) {
	if m.down || m == g.leader() {
		return
	}
	g.term++
	m.primary, m.term, m.reachedAt = true, g.term, time.Time{}
	for _, other := range g.members {
		other.paused = 0
	}
	g.led = append(g.led, modelWrite{member: m.name, term: m.term, committed: g.now})
	for _, w := range g.acked {
		if g.sync && !m.holds(w) {
			g.broken = append(g.broken, fmt.Sprintf("LOST: %s leads term %d without write %d of term %d", m.name, m.term, w.number, w.term))
			return
		}
	}
}

func (m *modelMember) holds(w modelWrite) bool {
	for _, held := range m.log {
		if held.number == w.number {
			return true
		}
	}
	return false
}

// commit commits a write at a member.
func (g *modelGroup) commit(m *modelMember) modelWrite {
	g.last++
	w := modelWrite{number: g.last, term: m.term, member: m.name, committed: g.now}
	m.log = append(m.log, w)
	return w
}

// received reports whether a write may be acknowledged as far as the members are concerned.
func (g *modelGroup) received(w modelWrite) bool {
	if !g.sync {
		return true
	}
	for _, m := range g.members {
		if m.name != w.member && m.holds(w) {
			return true
		}
	}
	return false
}

// acknowledge records an acknowledgement, and checks that no other member led when the write was committed.
func (g *modelGroup) acknowledge(w modelWrite) {
	g.acked = append(g.acked, w)
	for _, led := range g.led {
		if led.member != w.member && led.term > w.term && w.committed.After(led.committed) {
			g.broken = append(g.broken, fmt.Sprintf("ONE: a write was committed at %s in term %d after %s led term %d", w.member, w.term, led.member, led.term))
			return
		}
	}
}

// status returns what a member reports.
func (m *modelMember) status() group.Status {
	role := group.RoleReplica
	if m.primary {
		role = group.RolePrimary
	}
	var received group.Point
	if n := len(m.log); n > 0 {
		received = group.NewPoint(m.log[n-1].term, group.Position(n))
	}
	return group.NewStatus(group.StatusConfig{
		Endpoint: m.name, Role: role, Point: group.NewPoint(m.term, received.Position()), Received: received, Promised: max(m.paused, m.term), Attempt: "held",
	})
}
