package route

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Class states whether a request may change data.
type Class uint8

// The classes of a request; a request without a class hint is a write.
const (
	ClassWrite Class = iota
	ClassRead
)

// Request holds the properties of a request on which a routing decision depends.
type Request struct {
	Class Class
	// Floor is the lowest point that a read must see, and FloorAt a time by which the primary had reached it.
	Floor   group.Point
	FloorAt time.Time
	// MaxStaleness is the maximum age of the data of a read, or 0 for no maximum.
	MaxStaleness time.Duration
	// WaitBudget is how long a read may wait for a replica to catch up.
	WaitBudget time.Duration
	// ConnectTime is the expected time to open a connection to an endpoint at which no idle one is usable; endpoints that are
	// not listed need none.
	ConnectTime map[string]time.Duration
	// Failed names the endpoints that have failed this request; they serve it only where no other member can.
	Failed []string
}

// Target is the kind of endpoint that a decision names.
type Target uint8

// The targets of a decision.
const (
	// TargetNone means that no endpoint can serve the request now.
	TargetNone Target = iota
	// TargetPrimary is the primary of the newest term.
	TargetPrimary
	// TargetReplica is a replica whose position the caller must verify.
	TargetReplica
)

// Decision names the endpoint for a request and how long to wait before sending it.
type Decision struct {
	target   Target
	endpoint string
	wait     time.Duration
}

// Target returns the kind of endpoint.
func (d Decision) Target() Target { return d.target }

// Endpoint returns the endpoint's name, or "" for TargetNone.
func (d Decision) Endpoint() string { return d.endpoint }

// Wait returns how long to wait before the request is sent.
func (d Decision) Wait() time.Duration { return d.wait }

// Policy chooses the endpoint of a request.
type Policy interface {
	// Decide returns the decision for r from the state of the group known at now.
	Decide(now time.Time, t *Tracker, r Request) Decision
}

// EarliestReplica is the policy that sends a read to the replica that satisfies it soonest.
type EarliestReplica struct{}

// catchUpMargin is added to a predicted catch-up time.
const catchUpMargin = 500 * time.Microsecond

// Decide returns the replica that satisfies r soonest within its wait budget, else the primary.
//
// Of several such replicas, it returns the least loaded.
func (EarliestReplica) Decide(now time.Time, t *Tracker, r Request) Decision {
	if r.Class == ClassRead {
		if d, ok := bestReplica(now, t, r); ok {
			return d
		}
	}
	return toPrimary(t)
}

func toPrimary(t *Tracker) Decision {
	m := t.members[t.primary]
	if m == nil || m.leaving {
		return Decision{}
	}
	return Decision{target: TargetPrimary, endpoint: t.primary}
}

func bestReplica(now time.Time, t *Tracker, r Request) (Decision, bool) {
	var best Decision
	var bestLoad int
	for _, name := range t.order {
		m := t.members[name]
		if name == t.primary || !t.usable(m) || m.ejection.active(now) {
			continue
		}
		wait, ok := t.readyIn(now, m, r)
		if !ok || wait > r.WaitBudget {
			continue
		}
		better := best.target == TargetNone || wait < best.wait || (wait == best.wait && m.load < bestLoad)
		if better {
			best = Decision{target: TargetReplica, endpoint: name, wait: wait}
			bestLoad = m.load
		}
	}
	return best, best.target == TargetReplica
}

// readyIn predicts how long it takes until the replica satisfies r; ok is false when its data is too old or unknown.
func (t *Tracker) readyIn(now time.Time, m *member, r Request) (time.Duration, bool) {
	if r.MaxStaleness > 0 && !t.freshEnough(now, m, r.MaxStaleness) {
		return 0, false
	}
	if m.point.Position() >= r.Floor.Position() {
		return 0, true
	}
	if m.sampledAt.IsZero() {
		return 0, false
	}
	ready := r.FloorAt.Add(m.lag + catchUpMargin)
	return max(0, ready.Sub(now)), true
}

// freshEnough predicts whether the replica's data is at most limit old.
//
// The age of the data at the last sampled position is an upper bound, because the
// replica may have advanced since; beyond the limit, the estimated lag decides.
func (t *Tracker) freshEnough(now time.Time, m *member, limit time.Duration) bool {
	age, ok := t.age(now, m.point.Position())
	if ok && age <= limit {
		return true
	}
	_, known := t.samples.behind(now, m.point.Position())
	return known && m.lag+now.Sub(t.ConfirmedAt()) <= limit
}

// Verdict states whether a replica's answer may be forwarded.
type Verdict uint8

// The verdicts on a replica's position.
const (
	VerdictServe Verdict = iota
	VerdictBehindFloor
	VerdictTooOld
	VerdictWrongTerm
)

// Verify checks the position that a replica reported before a read, in answer to a query sent at sentAt.
func (t *Tracker) Verify(sentAt, now time.Time, s group.Status, r Request) Verdict {
	t.Observe(sentAt, now, s)
	if s.Point().Term() != t.Term() {
		return VerdictWrongTerm
	}
	if r.Floor.Term() != t.Term() {
		return VerdictWrongTerm
	}
	if s.Point().Position() < r.Floor.Position() {
		return VerdictBehindFloor
	}
	if r.MaxStaleness > 0 {
		age, ok := t.age(now, s.Point().Position())
		if !ok || age > r.MaxStaleness {
			return VerdictTooOld
		}
	}
	return VerdictServe
}
