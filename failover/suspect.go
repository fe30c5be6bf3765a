package failover

import (
	"fmt"
	"time"
)

// primaryLost reports whether the primary has been silent or refusing for long enough.
func (m *Machine) primaryLost(now time.Time) bool {
	state := m.members[m.primary]
	if state == nil {
		return m.noPrimaryKnown(now)
	}
	if state.heard && !state.status.Confirms(m.term) && state.status.Promised() > m.term {
		return m.rivalExpired(now)
	}
	if !m.demotedSeen.IsZero() && now.Sub(m.demotedSeen) >= m.cfg.TakeOverAfter {
		return true
	}
	if !state.refusedAt.IsZero() && now.Sub(state.refusedAt) >= m.cfg.RefusedAfter {
		return true
	}
	return now.Sub(state.answered) >= m.cfg.SuspectAfter
}

// noPrimaryKnown reports whether a group without a known primary has had time to show one.
func (m *Machine) noPrimaryKnown(now time.Time) bool {
	return m.highest > 0 && now.Sub(m.startedAt) >= m.cfg.TakeOverAfter
}

// rivalExpired reports whether another attempt has gone without a primary for too long.
func (m *Machine) rivalExpired(now time.Time) bool {
	return m.rivalSeen.IsZero() || now.Sub(m.rivalSeen) >= m.cfg.TakeOverAfter
}

// watch suspects the primary, or starts to replace one that is leaving.
func (m *Machine) watch(now time.Time) []Action {
	if m.switchoverDue(now) {
		return m.startSwitchover(now)
	}
	if !m.primaryLost(now) {
		m.suspended = false
		m.lostSince = time.Time{}
		return nil
	}
	if m.lostSince.IsZero() {
		m.lostSince = now
	}
	if !m.rivalSeen.IsZero() && !m.rivalExpired(now) {
		return nil
	}
	if now.Before(m.notBefore) || now.Sub(m.lostSince) < time.Duration(m.rank)*m.cfg.Stagger {
		return nil
	}
	m.views = map[string]bool{}
	m.enter(now, phaseAsking)
	evidence := fmt.Sprintf("primary %q of term %d: %s", m.primary, m.term, m.silence(now))
	actions := []Action{AskViews{Term: m.term}}
	if !m.suspended {
		actions = append(actions, Explain{Decision: DecisionSuspect, Evidence: evidence})
	}
	return append(actions, m.weighViews(now)...)
}

func (m *Machine) silence(now time.Time) string {
	state := m.members[m.primary]
	if state == nil {
		return "unknown"
	}
	if !m.demotedSeen.IsZero() {
		return fmt.Sprintf("demoted %v ago without a successor", now.Sub(m.demotedSeen))
	}
	if !state.refusedAt.IsZero() {
		return fmt.Sprintf("refusing connections for %v", now.Sub(state.refusedAt))
	}
	return fmt.Sprintf("silent for %v", now.Sub(state.answered))
}

func (m *Machine) view(now time.Time, v View) []Action {
	if m.phase != phaseAsking || v.Term < m.term {
		return nil
	}
	m.views[v.Instance] = v.Lost
	return m.weighViews(now)
}

// weighViews starts an attempt once more than half of all instances have lost the primary.
//
// An instance that hears from nobody while others are thought alive may be the
// one that is cut off; it suspends.
func (m *Machine) weighViews(now time.Time) []Action {
	if !m.primaryLost(now) {
		m.enter(now, phaseWatching)
		return nil
	}
	lost := 1
	for _, l := range m.views {
		if l {
			lost++
		}
	}
	if 2*lost > m.others+1 && m.reachable(now) >= m.majority() {
		return m.startAttempt(now, false)
	}
	if now.Sub(m.since) < m.cfg.StepTimeout {
		return nil
	}
	m.enter(now, phaseWatching)
	return m.suspend(lost, now)
}

func (m *Machine) suspend(lost int, now time.Time) []Action {
	if m.suspended {
		return nil
	}
	m.suspended = true
	evidence := fmt.Sprintf("%d of %d instances have lost the primary, %d of %d members answer here",
		lost, m.others+1, m.reachable(now), len(m.cfg.Members))
	return []Action{Explain{Decision: DecisionSuspend, Evidence: evidence}}
}

func (m *Machine) majority() int { return len(m.cfg.Members)/2 + 1 }

// reachable counts the members that answered lately.
func (m *Machine) reachable(now time.Time) int {
	n := 0
	for _, s := range m.members {
		if s.heard && s.refusedAt.IsZero() && now.Sub(s.answered) < m.cfg.SuspectAfter {
			n++
		}
	}
	return n
}
