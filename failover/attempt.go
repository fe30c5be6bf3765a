package failover

import (
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// attemptState is the state of the promotion attempt that this machine runs.
type attemptState struct {
	id   string
	term group.Term
	// fenced holds the statuses of the members that have promised term to this attempt.
	fenced map[string]group.Status
	// majorityAt is when a majority had promised, or zero.
	majorityAt time.Time
	// oldFencedAt is when the old primary had promised, or zero.
	oldFencedAt time.Time
	// chosen is the member that is promoted.
	chosen string
	// bound is the member that the attempt must promote, since the platform may still run an earlier order for it, or "".
	bound string
	// inFlight reports that the outcome of a promotion order is not known yet, and unanswered that an earlier one of this
	// attempt or the one that bound it has not been answered, nor has a later one.
	inFlight, unanswered bool
	// answered is the last answer of the platform, at answeredAt, or PromotionNotSent, and late reports that an order before
	// it was not answered.
	answered   PromotionOutcome
	answeredAt time.Time
	late       bool
	// planned marks a switchover.
	planned bool
	// revoked reports that every instance has ended the leases that the attempt must not leave in force.
	revoked bool
	// awaitsLog reports that the attempt waits, or has waited, for a member that is not fenced yet.
	awaitsLog bool
	// interrupted reports that an attempt of another instance may have put an unknown primary in place, whose leases can only
	// be waited out.
	interrupted bool
	// repairs reports that the attempt was started to repair what a lost coordinator left behind.
	repairs bool
	// forOpenOrder reports that the attempt was started because an earlier one left a replacement open.
	forOpenOrder bool
	oldPrimary   string
}

// startAttempt claims the term that nextTerm returns for a new attempt; planned marks a switchover.
func (m *Machine) startAttempt(now time.Time, planned bool) []Action {
	term := m.nextTerm()
	m.attempt = attemptState{
		id:         fmt.Sprintf("%s/%s/%d/%d", m.cfg.Group, m.cfg.Instance, term, now.UnixNano()),
		term:       term,
		fenced:     map[string]group.Status{},
		planned:    planned,
		oldPrimary: m.primary,

		forOpenOrder: m.replacementOpen(),
	}
	if !m.cfg.SequentialTerms {
		m.highestTerm = m.attempt.term
	}
	m.enterPhase(now, phaseClaiming)
	views := make([]string, 0, len(m.views))
	for name, lost := range m.views {
		views = append(views, fmt.Sprintf("%s lost=%v", name, lost))
	}
	evidence := fmt.Sprintf("attempt %s for term %d; views: %s", m.attempt.id, m.attempt.term, strings.Join(views, ", "))
	actions := []Action{
		Explain{Decision: DecisionClaim, Evidence: evidence},
		Claim{Term: m.attempt.term, Attempt: m.attempt.id},
	}
	if m.cfg.ClaimRequired {
		return actions
	}
	return append(actions, m.afterClaim(now)...)
}

// nextTerm returns the term that a new attempt claims.
func (m *Machine) nextTerm() group.Term {
	if m.cfg.SequentialTerms {
		term := max(m.term, m.newestTerm)
		for _, o := range m.orders {
			term = max(term, o.Term)
		}
		return term + 1
	}
	return m.highestTerm + 1
}

// handleClaimResult continues or abandons the attempt.
//
// A result that arrives outside the claiming and fencing phases, such as after a
// majority has promised, is ignored.
func (m *Machine) handleClaimResult(now time.Time, r ClaimResult) []Action {
	if r.Attempt != m.attempt.id || (m.phase != phaseClaiming && m.phase != phaseFencing) {
		return nil
	}
	m.highestTerm = max(m.highestTerm, r.Term)
	if r.Outcome == ClaimTaken {
		clear(m.competing)
		m.competingSeenAt = now
		return m.abandon(now, fmt.Sprintf("the table holds term %d for another attempt", r.Term))
	}
	if m.phase != phaseClaiming {
		return nil
	}
	if r.Outcome == ClaimUnavailable && m.cfg.ClaimRequired {
		return m.abandon(now, "the table did not answer")
	}
	if m.cfg.SequentialTerms && r.Outcome == ClaimWon {
		m.adoptRecord(r)
		if m.attempt.forOpenOrder && !m.openOrders() {
			return m.abandon(now, "another instance has completed the replacement")
		}
	}
	if m.attempt.repairs {
		return m.repair(now)
	}
	return m.afterClaim(now)
}

// adoptRecord takes over the term that the table granted, and the orders of earlier attempts.
func (m *Machine) adoptRecord(r ClaimResult) {
	m.attempt.term = max(m.attempt.term, r.Term)
	if len(r.Orders) > 0 {
		m.adoptOrders(r.Orders)
	}
	if !m.openOrders() {
		m.orders = nil
	}
	m.attempt.bound = m.boundEndpoint()
	m.attempt.interrupted = r.Interrupted
}

// awaitClaimResult abandons the attempt once the claim timeout has passed without an answer of the table.
func (m *Machine) awaitClaimResult(now time.Time) []Action {
	if now.Sub(m.phaseSince) < max(m.cfg.ClaimTimeout, m.cfg.StepTimeout) {
		return nil
	}
	return m.abandon(now, "the table did not answer in time")
}

// afterClaim starts fencing: of the old primary alone in a switchover, otherwise of all members.
func (m *Machine) afterClaim(now time.Time) []Action {
	if m.attempt.planned {
		m.enterPhase(now, phaseCatchingUp)
		return []Action{m.fenceAction(m.attempt.oldPrimary)}
	}
	return m.startFencing(now)
}

// abandon releases the members where that is safe and delays the next attempt by StepTimeout.
func (m *Machine) abandon(now time.Time, reason string) []Action {
	m.notBefore = now.Add(m.cfg.StepTimeout)
	actions := append([]Action{Withdraw{Attempt: m.attempt.id}}, m.releaseFenced()...)
	m.enterPhase(now, phaseWatching)
	return append(actions, Explain{Decision: DecisionAbandon, Evidence: reason})
}

// releaseFenced releases the fenced replicas.
//
// It releases none once the promotion was ordered, nor once the old primary was
// demoted, since only a promotion can then follow, unless that waits for their logs.
func (m *Machine) releaseFenced() []Action {
	if !m.cfg.ReleaseAbandoned || m.phase == phasePromoting {
		return nil
	}
	if _, demoted := m.attempt.fenced[m.attempt.oldPrimary]; demoted && !m.attempt.awaitsLog {
		return nil
	}
	var actions []Action
	for _, name := range m.cfg.Members {
		if name == m.attempt.oldPrimary {
			continue
		}
		if _, promised := m.attempt.fenced[name]; promised {
			actions = append(actions, Release{Endpoint: name, Term: m.attempt.term, Attempt: m.attempt.id})
		}
	}
	return actions
}
