package failover

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// phase is the state of the machine.
type phase uint8

const (
	// phaseWatching means that no attempt runs.
	phaseWatching phase = iota
	// phaseQuerying waits for the views of the other instances.
	phaseQuerying
	// phaseClaiming waits for the claim in the table.
	phaseClaiming
	// phaseCatchingUp waits for a replica to hold the whole log of the fenced primary; only a switchover enters it.
	phaseCatchingUp
	// phaseFencing waits for promises of a majority.
	phaseFencing
	// phaseWaiting waits until no lease of the old term can be valid.
	phaseWaiting
	// phasePromoting waits for the promoted member to report that it is primary.
	phasePromoting
)

// String returns the phase in snake case.
func (p phase) String() string {
	return [...]string{"watching", "asking", "claiming", "catching_up", "fencing", "waiting", "promoting"}[p]
}

// clockDrift is the fraction by which the rates of two clocks may differ.
const clockDrift = 0.01

// memberState holds the last status of one member and the times of its answers and refusals.
type memberState struct {
	status        group.Status
	hasStatus     bool
	answeredAt    time.Time
	refusingSince time.Time
	leaving       bool
	// promised is the term of a promise to an attempt that has had no effect, or 0, and promisedSince when it was first seen.
	promised      group.Term
	promisedSince time.Time
}

// Machine decides on failovers and switchovers of one group; it is not safe for concurrent use.
type Machine struct {
	cfg              Config
	phase            phase
	phaseSince       time.Time
	stepStartedAt    time.Time
	members          map[string]*memberState
	term             group.Term
	primary          string
	views            map[string]bool
	otherInstances   int
	rank             int
	attempt          attemptState
	primaryLostSince time.Time
	// competingSeenAt is when a new competing attempt was last observed, or zero.
	competingSeenAt time.Time
	// competing holds the other attempts that were observed in this term.
	competing map[string]bool
	// supersededSince and supersededAt are when Superseded was first and last reported of the primary, without a longer pause.
	supersededSince, supersededAt time.Time
	// orders are the promotions of earlier attempts and of this one whose effect is not known, oldest first.
	orders []Order
	// unsettledUntil is until when an unanswered order for the present primary may still take effect, or zero.
	unsettledUntil time.Time
	// missing holds the members that may have received an acknowledged write and are not listed, and passed those of which
	// that is known not to be so, with the term in which it became known.
	missing map[string]missingMember
	passed  map[string]group.Term
	// primaryMark is what the primary had received between one and two steps ago, and newestMark what it had at markedAt.
	primaryMark, newestMark group.Point
	markedAt                time.Time
	// explainedLag reports that the wait of a switchover for a replica was explained.
	explainedLag bool
	// newestTerm is the newest term that any member is in, whether or not its primary is known.
	newestTerm group.Term
	// ineffective holds the members whose promotion had no effect in this term.
	ineffective map[string]bool
	// demotedSince is when the primary of term was first seen demoted, or zero.
	demotedSince time.Time
	// highestTerm is the highest term that a member has promised or entered or that the table holds.
	highestTerm group.Term
	// suspended reports that DecisionSuspend was already recorded for the present loss of the primary.
	suspended bool
	startedAt time.Time
	// viewsQueriedAt is when the views were last queried.
	viewsQueriedAt time.Time
	// notBefore is the earliest start of the next attempt after an abandoned one.
	notBefore time.Time
}

// New returns a machine that runs no attempt and knows no primary.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg: cfg, members: map[string]*memberState{}, views: map[string]bool{}, competing: map[string]bool{}, ineffective: map[string]bool{},
		missing: map[string]missingMember{}, passed: map[string]group.Term{},
	}
	for _, name := range cfg.Members {
		m.members[name] = &memberState{}
	}
	return m
}

// Phase returns the name of the machine's state.
func (m *Machine) Phase() string { return m.phase.String() }

// Busy reports whether an attempt has passed its claim, so that it waits for members or for leases to expire.
func (m *Machine) Busy() bool { return m.phase >= phaseCatchingUp }

// Term returns the newest term with a known primary.
func (m *Machine) Term() group.Term { return m.term }

// Primary returns the primary of Term, or "".
func (m *Machine) Primary() string { return m.primary }

// Step processes one event at now and returns the resulting actions.
func (m *Machine) Step(now time.Time, e Event) []Action {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	switch e := e.(type) {
	case Probed:
		return m.handleProbed(now, e.Status)
	case ProbeFailed:
		return m.handleProbeFailed(now, e)
	case View:
		return m.handleView(now, e)
	case Fleet:
		m.otherInstances = e.Others
		m.rank = e.Rank
		return nil
	case ClaimResult:
		return m.handleClaimResult(now, e)
	case Revoked:
		m.attempt.revoked = m.attempt.revoked || e.Attempt == m.attempt.id
		return m.advance(now)
	case PromotionAnswered:
		return m.handlePromotionAnswered(now, e)
	case Superseded:
		return m.handleSuperseded(now, e)
	case Leaving:
		m.SetLeaving(e.Endpoints)
		return nil
	case Tick:
		return m.advance(now)
	}
	return nil
}

// PrimaryLost reports whether this instance has lost the primary of term; it answers QueryViews of other instances.
func (m *Machine) PrimaryLost(now time.Time, term group.Term) bool {
	return term >= m.term && m.primaryLost(now)
}

// LossEvidence describes what this instance knows of the primary's absence, for logs.
func (m *Machine) LossEvidence(now time.Time) string { return m.lossEvidence(now) }

// SetLeaving sets the members that are to receive no new requests.
func (m *Machine) SetLeaving(endpoints []string) {
	for _, s := range m.members {
		s.leaving = false
	}
	for _, name := range endpoints {
		if s := m.members[name]; s != nil {
			s.leaving = true
		}
	}
}

// SetMembers replaces the list of members and keeps the state of those that remain.
func (m *Machine) SetMembers(endpoints []string) {
	members := map[string]*memberState{}
	for _, name := range endpoints {
		members[name] = m.members[name]
		if members[name] == nil {
			members[name] = &memberState{}
		}
	}
	m.members = members
	m.cfg.Members = append([]string(nil), endpoints...)
}

func (m *Machine) handleProbed(now time.Time, s group.Status) []Action {
	state := m.members[s.Endpoint()]
	if state == nil {
		return nil
	}
	state.status = s
	state.hasStatus = true
	state.answeredAt = now
	state.refusingSince = time.Time{}
	m.highestTerm = max(m.highestTerm, s.Promised(), s.Point().Term())
	m.newestTerm = max(m.newestTerm, s.Point().Term())
	m.recordCompeting(now, s)
	m.recordDemotion(now, s)
	state.recordPromise(now, m.term)
	m.recordMissing(s)
	m.recordPrimaryPoint(now, s)
	if s.Role() == group.RolePrimary && s.Confirms(s.Point().Term()) && s.Point().Term() > m.term {
		return m.adoptPrimary(now, s)
	}
	return m.advance(now)
}

// maxCompeting bounds Machine.competing, which is cleared at this size, so that every attempt counts as new again.
const maxCompeting = 64

// recordCompeting records when another attempt was first observed that holds a promise and has no primary yet.
//
// Each attempt counts once. Otherwise members whose promises belong to different
// attempts would renew the time for ever.
func (m *Machine) recordCompeting(now time.Time, s group.Status) {
	if s.Promised() <= max(m.term, s.Point().Term()) || s.Attempt() == m.attempt.id || m.competing[s.Attempt()] {
		return
	}
	if len(m.competing) >= maxCompeting {
		clear(m.competing)
	}
	m.competing[s.Attempt()] = true
	m.competingSeenAt = now
}

// recordDemotion records since when the primary has been demoted without a successor.
func (m *Machine) recordDemotion(now time.Time, s group.Status) {
	if s.Endpoint() != m.primary || s.Point().Term() != m.term {
		return
	}
	if s.Role() == group.RolePrimary {
		m.demotedSince = time.Time{}
	} else if m.demotedSince.IsZero() {
		m.demotedSince = now
	}
}

// adoptPrimary records the primary of a newer term, whichever instance promoted it, and ends this machine's attempt.
func (m *Machine) adoptPrimary(now time.Time, s group.Status) []Action {
	m.term = s.Point().Term()
	m.primary = s.Endpoint()
	if m.supersededPrimary(m.primary, m.term) {
		return m.advance(now)
	}
	if m.phase == phasePromoting && (m.attempt.inFlight || m.attempt.unanswered) {
		m.unsettledUntil = now.Add(m.cfg.TakeOverAfter)
	}
	m.settleOrders()
	m.resetMissing()
	m.primaryMark, m.newestMark = group.Point{}, group.Point{}
	m.competingSeenAt = time.Time{}
	m.demotedSince = time.Time{}
	clear(m.competing)
	clear(m.ineffective)
	m.suspended = false
	m.primaryLostSince, m.supersededSince = time.Time{}, time.Time{}
	ownAttempt := m.phase == phasePromoting && m.isOwnPromotion(s)
	var actions []Action
	if m.phase >= phaseClaiming {
		actions = append(actions, Withdraw{Attempt: m.attempt.id})
	}
	m.enterPhase(now, phaseWatching)
	if !ownAttempt {
		return actions
	}
	evidence := fmt.Sprintf("%s is primary of term %d from position %d", m.primary, m.term, s.Point().Position())
	return append(actions,
		Explain{Decision: DecisionPromoted, Evidence: evidence},
		Publish{Term: m.term, Endpoint: m.primary},
	)
}

// isOwnPromotion reports whether the status of a new primary is the effect of this machine's promotion.
func (m *Machine) isOwnPromotion(s group.Status) bool {
	if m.cfg.SequentialTerms {
		return s.Endpoint() == m.attempt.chosen
	}
	return s.Attempt() == m.attempt.id
}

func (m *Machine) handleProbeFailed(now time.Time, e ProbeFailed) []Action {
	state := m.members[e.Endpoint]
	if state == nil {
		return nil
	}
	if e.Refused && state.refusingSince.IsZero() {
		state.refusingSince = now
	}
	if !e.Refused {
		state.refusingSince = time.Time{}
	}
	return m.advance(now)
}

func (m *Machine) enterPhase(now time.Time, p phase) {
	m.phase = p
	m.phaseSince = now
	m.stepStartedAt = now
}

// advance runs the check of the present phase.
func (m *Machine) advance(now time.Time) []Action {
	switch m.phase {
	case phaseWatching:
		return m.watch(now)
	case phaseQuerying:
		return m.evaluateViews(now)
	case phaseClaiming:
		return m.awaitClaimResult(now)
	case phaseCatchingUp:
		return m.awaitCatchUp(now)
	case phaseFencing:
		return m.awaitMajority(now)
	case phaseWaiting:
		return m.awaitLeaseExpiry(now)
	case phasePromoting:
		return m.awaitPromotion(now)
	}
	return nil
}
