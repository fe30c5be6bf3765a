package route

import "time"

// Expected is the policy that sends a read to where its answer is expected first.
//
// A member's usual time to answer grows with what this instance has in flight
// there; another data centre and the primary, which writes need, count as longer.
type Expected struct{}

const (
	// farPenalty is added for a member of another data centre: the way there and back,
	// and as much again for the bytes, which are paid for.
	farPenalty = 4 * time.Millisecond
	// primaryPenalty is added for the primary, whose slots writes cannot have elsewhere.
	primaryPenalty = 6 * time.Millisecond
	// firstGuess is the time to answer that is assumed of a member that has not answered yet.
	firstGuess = 15 * time.Millisecond
	// usualSlots is assumed of a member that does not tell how much it runs at once.
	usualSlots = 4
)

// Decide returns the member that is expected to answer r first, or the primary for what only it may serve.
func (Expected) Decide(now time.Time, t *Tracker, r Request) Decision {
	if r.Class != ClassRead {
		return toPrimary(t)
	}
	var best Decision
	var bestCost time.Duration
	for _, name := range t.order {
		m := t.members[name]
		d, cost, ok := t.offer(now, name, m, r)
		if ok && (best.target == TargetNone || cost < bestCost) {
			best, bestCost = d, cost
		}
	}
	if best.target == TargetNone {
		return toPrimary(t)
	}
	return best
}

// ejectedPenalty is added for a member that was ejected: it is used only where no other member can serve.
const ejectedPenalty = 500 * time.Millisecond

// offer returns the decision for one member and what it is expected to cost; ok is false when the member cannot serve r.
func (t *Tracker) offer(now time.Time, name string, m *member, r Request) (d Decision, cost time.Duration, ok bool) {
	cost = m.expected()
	if name == t.primary {
		leased := now.Before(t.LeaseUntil())
		return Decision{target: TargetPrimary, endpoint: name}, cost + primaryPenalty, leased && !m.leaving
	}
	if !t.usable(m) || now.Before(m.behindUntil) {
		return d, 0, false
	}
	if m.ejection.active(now) {
		cost += ejectedPenalty
	}
	wait, reaches := t.readyIn(now, m, r)
	if !reaches || wait > r.WaitBudget {
		return d, 0, false
	}
	return Decision{target: TargetReplica, endpoint: name, wait: wait}, cost + wait, true
}

// expected returns how long the member is expected to take for one more request.
func (m *member) expected() time.Duration {
	service := m.service
	if service == 0 {
		service = firstGuess
	}
	slots := m.slots
	if slots == 0 {
		slots = usualSlots
	}
	cost := service + service*time.Duration(m.load)/time.Duration(slots)
	if !m.near {
		cost += farPenalty
	}
	return cost
}
