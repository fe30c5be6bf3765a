package route

import (
	"slices"
	"time"
)

// EarliestAnswer is the policy that sends a read to the member whose answer is expected first.
//
// The expected time is a member's mean service time, increased by the requests that
// this instance has in flight there, and by the time to open a connection where none is
// usable. A penalty is added for a member in another data centre and for the primary,
// which writes need.
type EarliestAnswer struct{}

const (
	// remotePenalty is added for a member in another data centre: the network round trip,
	// and as much again for the traffic, which is billed.
	remotePenalty = 4 * time.Millisecond
	// primaryPenalty is added for the primary, because writes can use no other slots.
	primaryPenalty = 6 * time.Millisecond
	// initialService is the service time assumed of a member that has not answered yet.
	initialService = 15 * time.Millisecond
	// defaultSlots is assumed where a member's number of slots is not known.
	defaultSlots = 4
)

// Decide returns the member that is expected to answer r first, or the primary for a write or if no member can serve r.
func (EarliestAnswer) Decide(now time.Time, t *Tracker, r Request) Decision {
	if r.Class != ClassRead {
		return toPrimary(t)
	}
	var best Decision
	var bestCost time.Duration
	for _, name := range t.order {
		m := t.members[name]
		d, cost, ok := t.evaluate(now, name, m, r)
		if ok && (best.target == TargetNone || cost < bestCost) {
			best, bestCost = d, cost
		}
	}
	if best.target == TargetNone {
		return toPrimary(t)
	}
	return best
}

// ejectedPenalty is added for an ejected member, and for one that has failed the request, so that it is used only where no other
// member can serve.
const ejectedPenalty = 500 * time.Millisecond

// evaluate returns the decision for a member and its expected cost; ok is false when the member cannot serve r.
func (t *Tracker) evaluate(now time.Time, name string, m *member, r Request) (d Decision, cost time.Duration, ok bool) {
	cost = m.expectedTime() + r.ConnectTime[name]
	if m.ejection.active(now) || slices.Contains(r.Failed, name) {
		cost += ejectedPenalty
	}
	if name == t.primary {
		return t.evaluatePrimary(now, name, m, cost+primaryPenalty)
	}
	if !t.usable(m) || m.isBehind(now, r.Floor) {
		return d, 0, false
	}
	wait, satisfied := t.readyIn(now, m, r)
	if !satisfied || wait > r.WaitBudget {
		return d, 0, false
	}
	return Decision{target: TargetReplica, endpoint: name, wait: wait}, cost + wait, true
}

// unconfirmedPenalty is added for a primary without a lease, so that it is used only where no other member can serve.
const unconfirmedPenalty = time.Second

// evaluatePrimary returns the decision for the primary, which serves a read like a replica while it answers without a lease.
//
// The floor of the read was sampled while no other primary could acknowledge a
// commit, so the old primary's log holds it, even if another primary leads by now.
func (t *Tracker) evaluatePrimary(now time.Time, name string, m *member, cost time.Duration) (d Decision, c time.Duration, ok bool) {
	if now.Before(t.LeaseUntil()) {
		return Decision{target: TargetPrimary, endpoint: name}, cost, !m.leaving
	}
	answers := !m.down && now.Sub(m.sampledAt) < t.lease
	return Decision{target: TargetReplica, endpoint: name}, cost + unconfirmedPenalty, answers && !m.leaving
}

// expectedTime returns how long the member is expected to take to answer another request.
func (m *member) expectedTime() time.Duration {
	service := m.service
	if service == 0 {
		service = initialService
	}
	slots := m.slots
	if slots == 0 {
		slots = defaultSlots
	}
	cost := service + service*time.Duration(m.load)/time.Duration(slots)
	if !m.sameDataCentre {
		cost += remotePenalty
	}
	return cost
}
