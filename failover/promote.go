package failover

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

func (m *Machine) fenceAction(endpoint string) Action {
	return Fence{Endpoint: endpoint, Term: m.attempt.term, Attempt: m.attempt.id}
}

func (m *Machine) startFencing(now time.Time) []Action {
	m.enterPhase(now, phaseFencing)
	return m.fenceRemaining(now)
}

// fenceRemaining requests a promise from every member that has not given one.
func (m *Machine) fenceRemaining(now time.Time) []Action {
	m.stepStartedAt = now
	var actions []Action
	for _, name := range m.cfg.Members {
		if _, ok := m.attempt.fenced[name]; !ok {
			actions = append(actions, m.fenceAction(name))
		}
	}
	return actions
}

// collectFenced records the members that have promised the term to this attempt.
//
// It reports whether a member has promised or entered a higher term.
func (m *Machine) collectFenced(now time.Time) (superseded bool) {
	for _, name := range m.cfg.Members {
		s := m.members[name]
		if !s.hasStatus {
			continue
		}
		if s.status.Promised() > m.attempt.term || s.status.Point().Term() > m.attempt.term {
			return true
		}
		ownPromise := s.status.Promised() == m.attempt.term && s.status.Attempt() == m.attempt.id
		if !ownPromise {
			continue
		}
		if _, ok := m.attempt.fenced[name]; !ok {
			m.attempt.fenced[name] = s.status
			m.recordFenced(now, name)
		}
	}
	return false
}

func (m *Machine) recordFenced(now time.Time, name string) {
	if name == m.attempt.oldPrimary {
		m.attempt.oldFencedAt = now
	}
	if len(m.attempt.fenced) == m.majority() {
		m.attempt.majorityAt = now
	}
}

// awaitMajority starts the wait for the old leases once a majority has promised, and repeats the fences until then.
func (m *Machine) awaitMajority(now time.Time) []Action {
	if m.collectFenced(now) {
		return m.abandon(now, "a member has promised a higher term")
	}
	if len(m.attempt.fenced) >= m.majority() {
		m.enterPhase(now, phaseWaiting)
		return append([]Action{m.revocation()}, m.awaitLeaseExpiry(now)...)
	}
	if now.Sub(m.stepStartedAt) < m.cfg.StepTimeout {
		return nil
	}
	if now.Sub(m.phaseSince) >= m.cfg.TakeOverAfter {
		m.competingSeenAt = time.Time{}
		return m.abandon(now, fmt.Sprintf("only %d of %d members promised", len(m.attempt.fenced), len(m.cfg.Members)))
	}
	return append(m.fenceRemaining(now), Explain{
		Decision: DecisionNoMajority,
		Evidence: fmt.Sprintf("%d of %d members have promised term %d", len(m.attempt.fenced), len(m.cfg.Members), m.attempt.term),
	})
}

// awaitLeaseExpiry promotes once no lease of the old term can be valid.
//
// A lease needs confirmations of the old primary and of a replica. It cannot
// start after the old primary was fenced, nor after a majority was; the wait
// starts at the earlier of the two.
func (m *Machine) awaitLeaseExpiry(now time.Time) []Action {
	if m.collectFenced(now) {
		return m.abandon(now, "a member has promised a higher term")
	}
	wait := m.cfg.Lease + time.Duration(clockDrift*float64(m.cfg.Lease))
	if m.attempt.revoked && !m.attempt.interrupted || now.Sub(m.noLeaseSince()) >= wait {
		return m.promote(now)
	}
	if now.Sub(m.stepStartedAt) >= m.cfg.StepTimeout {
		return m.fenceRemaining(now)
	}
	return nil
}

// noLeaseSince returns the time after which no lease of the old term can have started, nor one of a member that an earlier
// attempt may have promoted.
func (m *Machine) noLeaseSince() time.Time {
	a := &m.attempt
	if len(m.orders) > 0 || a.interrupted {
		return a.majorityAt
	}
	if !a.oldFencedAt.IsZero() && a.oldFencedAt.Before(a.majorityAt) {
		return a.oldFencedAt
	}
	return a.majorityAt
}

// chooseCandidate returns the fenced member with the longest log, or "" if no member is eligible.
//
// Among equal logs it prefers a member that is not leaving, then the configured
// order. A member whose promotion had no effect before comes last: it may be the
// demoted primary, which an instance that has just started cannot know.
//
// With RequiredReplicas, only members are eligible that are known to hold all acknowledged writes.
func (m *Machine) chooseCandidate() string {
	if best := m.chooseWhere(func(name string) bool { return !m.ineffective[name] && m.holdsAcknowledged(name) }); best != "" {
		return best
	}
	return m.chooseWhere(m.holdsAcknowledged)
}

// chooseWhere returns the best of the fenced members that may be promoted and that are eligible, or "".
func (m *Machine) chooseWhere(eligible func(name string) bool) string {
	best := ""
	for _, name := range m.cfg.Members {
		s, ok := m.attempt.fenced[name]
		if !ok || m.cfg.ExcludeDemoted && name == m.attempt.oldPrimary || !eligible(name) {
			continue
		}
		if best == "" || m.preferred(name, s, best) {
			best = name
		}
	}
	return best
}

// preferred reports whether the fenced member name, with status s, is a better candidate than best.
func (m *Machine) preferred(name string, s group.Status, best string) bool {
	bestReceived := m.attempt.fenced[best].Received()
	if s.Received() != bestReceived {
		return bestReceived.Less(s.Received())
	}
	return m.members[best].leaving && !m.members[name].leaving
}

func (m *Machine) promote(now time.Time) []Action {
	if m.attempt.bound != "" {
		m.attempt.unanswered = true
		return m.order(now, m.attempt.bound, m.attempt.bound+" was ordered before, and the platform may still run that order")
	}
	chosen := m.chooseCandidate()
	if chosen == "" {
		if reason := m.noHolderReason(); reason != "" {
			return m.awaitHolder(now, reason)
		}
		return m.abandon(now, "no fenced member may be promoted")
	}
	if better := m.betterMember(now, chosen); better != "" {
		return m.awaitHolder(now, better+" has a longer log than the fenced members")
	}
	if m.ineffective[chosen] && len(m.holders().unheard) > 0 && now.Sub(m.phaseSince) < m.cfg.CatchUpTimeout {
		return m.awaitHolder(now, "the promotion of "+chosen+" had no effect, and another member may still be heard")
	}
	if now.Before(m.unsettledUntil) {
		return m.awaitHolder(now, "an unanswered order for "+m.primary+" may still take effect")
	}
	evidence := fmt.Sprintf("%s at %v has the longest log of %d fenced members", chosen, m.attempt.fenced[chosen].Received(), len(m.attempt.fenced))
	return m.order(now, chosen, evidence)
}

// order orders the promotion of a member for the first time in this attempt.
func (m *Machine) order(now time.Time, endpoint, evidence string) []Action {
	m.attempt.chosen = endpoint
	m.enterPhase(now, phasePromoting)
	m.orders = withOrder(m.orders, Order{Endpoint: endpoint, After: max(m.term, m.newestTerm), Term: m.attempt.term})
	return []Action{Explain{Decision: DecisionChoose, Evidence: evidence}, m.promoteAction()}
}

func (m *Machine) promoteAction() Action {
	m.attempt.inFlight = m.cfg.AnsweredPromotions
	promote := Promote{Endpoint: m.attempt.chosen, Term: m.attempt.term, Attempt: m.attempt.id}
	if m.cfg.SequentialTerms {
		promote.Orders = append([]Order(nil), m.orders...)
	}
	return promote
}

// handlePromotionAnswered records the outcome of the promotion order in flight.
func (m *Machine) handlePromotionAnswered(now time.Time, e PromotionAnswered) []Action {
	if e.Attempt != m.attempt.id || m.phase != phasePromoting {
		return nil
	}
	a := &m.attempt
	a.inFlight = false
	switch e.Outcome {
	case PromotionAccepted, PromotionRefused:
		a.late = a.late || a.unanswered
		a.answered, a.answeredAt, a.unanswered = e.Outcome, now, false
	case PromotionUnanswered:
		a.unanswered = true
	case PromotionPreempted:
		return m.abandon(now, "another attempt has claimed the promotion")
	}
	return m.awaitPromotion(now)
}

// awaitPromotion repeats the promotion until the platform answers, and abandons the attempt if the promotion has no effect
// within TakeOverAfter, counted from the answer.
//
// The promotion is idempotent for the attempt. Another member is never promoted
// in the same term: the first may have become primary without this instance
// observing it. While an order is unanswered, the attempt does not end: the platform
// may run that order at any later time, and would then replace another member. Once
// it has answered a later order for the same member, the earlier one takes effect
// soon, if at all.
func (m *Machine) awaitPromotion(now time.Time) []Action {
	a := &m.attempt
	if a.inFlight {
		return nil
	}
	if a.answered == PromotionRefused && !a.late && !a.unanswered {
		return m.abandonOrder(now, "the platform refused to promote "+a.chosen)
	}
	since := m.phaseSince
	if a.answered != PromotionNotSent {
		since = a.answeredAt
	}
	if !a.unanswered && now.Sub(since) >= m.cfg.TakeOverAfter {
		return m.abandonOrder(now, a.chosen+" did not report that it is primary")
	}
	answered := a.answered != PromotionNotSent && !a.unanswered
	if answered || now.Sub(m.stepStartedAt) < m.cfg.StepTimeout {
		return nil
	}
	m.stepStartedAt = now
	return []Action{m.promoteAction()}
}

// abandonOrder abandons an attempt whose order can have no effect from now on.
func (m *Machine) abandonOrder(now time.Time, reason string) []Action {
	m.competingSeenAt = time.Time{}
	if m.attempt.answered != PromotionNotSent || !m.cfg.AnsweredPromotions {
		m.ineffective[m.attempt.chosen] = true
	}
	m.settleOrder()
	return m.abandon(now, reason)
}

// switchoverDue reports whether this instance is to start a switchover.
//
// It requires that the primary is leaving and confirms its term, that a replica
// which is not leaving confirms that term too, that a majority of the members
// answers, that the machine has been watching for StepTimeout, and that this
// instance has rank 0, so that one instance alone starts the switchover.
func (m *Machine) switchoverDue(now time.Time) bool {
	primary := m.members[m.primary]
	if primary == nil || !primary.leaving || !primary.status.Confirms(m.term) || m.rank != 0 {
		return false
	}
	if now.Sub(m.phaseSince) < m.cfg.StepTimeout || m.reachable(now) < m.majority() {
		return false
	}
	for name, s := range m.members {
		if name != m.primary && !s.leaving && s.hasStatus && s.status.Confirms(m.term) {
			return true
		}
	}
	return false
}

func (m *Machine) startSwitchover(now time.Time) []Action {
	explain := Explain{Decision: DecisionSwitchover, Evidence: fmt.Sprintf("primary %s of term %d is leaving", m.primary, m.term)}
	return append([]Action{explain}, m.startAttempt(now, true)...)
}

// awaitCatchUp fences the other members once a replica that is not leaving holds the whole log of the old primary.
//
// It waits CatchUpTimeout at most. The old primary is fenced first, so its log no longer grows.
func (m *Machine) awaitCatchUp(now time.Time) []Action {
	if m.collectFenced(now) {
		return m.abandon(now, "a member has promised a higher term")
	}
	oldStatus, fenced := m.attempt.fenced[m.attempt.oldPrimary]
	if fenced && m.replicaCaughtUp(oldStatus.Received()) {
		return m.startFencing(now)
	}
	if now.Sub(m.phaseSince) >= m.cfg.CatchUpTimeout {
		return m.startFencing(now)
	}
	if now.Sub(m.stepStartedAt) < m.cfg.StepTimeout || fenced {
		return nil
	}
	m.stepStartedAt = now
	return []Action{m.fenceAction(m.attempt.oldPrimary)}
}

func (m *Machine) replicaCaughtUp(point group.Point) bool {
	for name, s := range m.members {
		if name == m.attempt.oldPrimary || s.leaving || !s.hasStatus {
			continue
		}
		if s.status.Received() == point {
			return true
		}
	}
	return false
}
