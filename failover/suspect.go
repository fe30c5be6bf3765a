package failover

import (
	"fmt"
	"time"
)

// primaryLost reports whether the primary has been unreachable, refusing or demoted for long enough to be replaced.
func (m *Machine) primaryLost(now time.Time) bool {
	state := m.members[m.primary]
	if state == nil {
		return m.discoveryTimedOut(now)
	}
	if state.hasStatus && !state.status.Confirms(m.term) && state.status.Promised() > m.term {
		return m.competingExpired(now)
	}
	if !m.demotedSince.IsZero() && now.Sub(m.demotedSince) >= m.cfg.TakeOverAfter || m.superseded(now) {
		return true
	}
	if !state.refusingSince.IsZero() && now.Sub(state.refusingSince) >= m.cfg.RefusedAfter {
		return true
	}
	return now.Sub(state.answeredAt) >= m.cfg.SuspectAfter
}

// discoveryTimedOut reports whether no primary was found within TakeOverAfter in a group that has had one.
func (m *Machine) discoveryTimedOut(now time.Time) bool {
	return m.highestTerm > 0 && now.Sub(m.startedAt) >= m.cfg.TakeOverAfter
}

// competingExpired reports whether no competing attempt is known or the last has had TakeOverAfter without a primary.
func (m *Machine) competingExpired(now time.Time) bool {
	return m.competingSeenAt.IsZero() || now.Sub(m.competingSeenAt) >= m.cfg.TakeOverAfter
}

// watch starts a switchover if the primary is leaving, and requests views once the primary is lost.
//
// An instance of rank n waits n times Stagger longer, so that attempts seldom compete.
func (m *Machine) watch(now time.Time) []Action {
	if m.switchoverDue(now) {
		if m.replicaKeepsUp() {
			m.explainedLag = false
			return m.startSwitchover(now)
		}
		if !m.explainedLag {
			m.explainedLag = true
			return []Action{Explain{Decision: DecisionAwaitReplica, Evidence: "no replica that stays has received what the primary had a moment ago"}}
		}
	}
	if m.replacementOpen() && !now.Before(m.notBefore) && m.reachable(now) >= m.majority() {
		return m.startAttempt(now, false)
	}
	if !m.primaryLost(now) {
		m.suspended = false
		m.primaryLostSince = time.Time{}
		if m.repairDue(now) {
			actions := m.startAttempt(now, false)
			m.attempt.repairs = true
			return actions
		}
		return nil
	}
	if m.primaryLostSince.IsZero() {
		m.primaryLostSince = now
	}
	if !m.competingSeenAt.IsZero() && !m.competingExpired(now) {
		return nil
	}
	if now.Before(m.notBefore) || now.Sub(m.primaryLostSince) < time.Duration(m.rank)*m.cfg.Stagger {
		return nil
	}
	m.views = map[string]bool{}
	m.viewsQueriedAt = now
	m.enterPhase(now, phaseQuerying)
	evidence := fmt.Sprintf("primary %q of term %d: %s", m.primary, m.term, m.lossEvidence(now))
	actions := []Action{QueryViews{Term: m.term}}
	if !m.suspended {
		actions = append(actions, Explain{Decision: DecisionSuspect, Evidence: evidence})
	}
	return append(actions, m.evaluateViews(now)...)
}

// lossEvidence describes why the primary counts as lost.
func (m *Machine) lossEvidence(now time.Time) string {
	state := m.members[m.primary]
	if state == nil {
		return "unknown"
	}
	if !m.demotedSince.IsZero() {
		return fmt.Sprintf("demoted %v ago without a successor", now.Sub(m.demotedSince))
	}
	if m.superseded(now) {
		return fmt.Sprintf("superseded %v ago by a promotion that nobody completes", now.Sub(m.supersededSince))
	}
	if !state.refusingSince.IsZero() {
		return fmt.Sprintf("refusing connections for %v", now.Sub(state.refusingSince))
	}
	return fmt.Sprintf("silent for %v", now.Sub(state.answeredAt))
}

func (m *Machine) handleView(now time.Time, v View) []Action {
	if m.phase != phaseQuerying || v.Term < m.term {
		return nil
	}
	m.views[v.Instance] = v.Lost
	return m.evaluateViews(now)
}

// evaluateViews starts an attempt once more than half of all instances have lost the primary.
//
// It also requires that a majority of the members answers here. An instance that
// receives no views while others are believed alive may itself be partitioned, so
// it suspends the promotion.
func (m *Machine) evaluateViews(now time.Time) []Action {
	if !m.primaryLost(now) {
		m.enterPhase(now, phaseWatching)
		return nil
	}
	lost := 1
	for _, peerLost := range m.views {
		if peerLost {
			lost++
		}
	}
	if 2*lost > m.otherInstances+1 && m.reachable(now) >= m.majority() {
		// A primary that answers is replaced as in a switchover, so that a replica receives the end of its log first.
		return m.startAttempt(now, m.superseded(now))
	}
	if now.Sub(m.phaseSince) < m.cfg.StepTimeout {
		return m.queryViewsAgain(now)
	}
	m.enterPhase(now, phaseWatching)
	return m.suspend(lost, now)
}

// queryViewsAgain queries the views again after ViewInterval: an instance that learns of a loss later than this one, because
// it receives its evidence through others, confirms it then.
//
// Once the promotion is suspended, as in a partition, the views are queried once a step.
func (m *Machine) queryViewsAgain(now time.Time) []Action {
	if m.suspended || m.cfg.ViewInterval == 0 || now.Sub(m.viewsQueriedAt) < m.cfg.ViewInterval {
		return nil
	}
	m.viewsQueriedAt = now
	return []Action{QueryViews{Term: m.term}}
}

func (m *Machine) suspend(lost int, now time.Time) []Action {
	if m.suspended {
		return nil
	}
	m.suspended = true
	evidence := fmt.Sprintf("%d of %d instances have lost the primary, %d of %d members answer here",
		lost, m.otherInstances+1, m.reachable(now), len(m.cfg.Members))
	return []Action{Explain{Decision: DecisionSuspend, Evidence: evidence}}
}

func (m *Machine) majority() int { return len(m.cfg.Members)/2 + 1 }

// reachable counts the members that have answered within SuspectAfter and do not refuse connections.
func (m *Machine) reachable(now time.Time) int {
	n := 0
	for _, s := range m.members {
		if s.hasStatus && s.refusingSince.IsZero() && now.Sub(s.answeredAt) < m.cfg.SuspectAfter {
			n++
		}
	}
	return n
}
