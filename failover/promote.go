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
	m.enter(now, phaseFencing)
	return m.fenceMissing(now)
}

// fenceMissing asks every member that has not promised yet.
func (m *Machine) fenceMissing(now time.Time) []Action {
	m.stepAt = now
	var actions []Action
	for _, name := range m.cfg.Members {
		if _, ok := m.attempt.fenced[name]; !ok {
			actions = append(actions, m.fenceAction(name))
		}
	}
	return actions
}

// collectFenced notes the members that hold this attempt's promise, and reports whether one holds a higher one.
func (m *Machine) collectFenced(now time.Time) (outbid bool) {
	for _, name := range m.cfg.Members {
		s := m.members[name]
		if !s.heard {
			continue
		}
		if s.status.Promised() > m.attempt.term || s.status.Point().Term() > m.attempt.term {
			return true
		}
		mine := s.status.Promised() == m.attempt.term && s.status.Attempt() == m.attempt.id
		if !mine {
			continue
		}
		if _, ok := m.attempt.fenced[name]; !ok {
			m.attempt.fenced[name] = s.status
			m.noteFenced(now, name)
		}
	}
	return false
}

func (m *Machine) noteFenced(now time.Time, name string) {
	if name == m.attempt.old {
		m.attempt.oldFencedAt = now
	}
	if len(m.attempt.fenced) == m.majority() {
		m.attempt.majorityAt = now
	}
}

// fence goes on once a majority has promised.
func (m *Machine) fence(now time.Time) []Action {
	if m.collectFenced(now) {
		return m.abandon(now, "a member has promised a higher term")
	}
	if len(m.attempt.fenced) >= m.majority() {
		m.enter(now, phaseWaiting)
		revoke := Revoke{Term: m.attempt.oldTerm, Attempt: m.attempt.id}
		return append([]Action{revoke}, m.waitOut(now)...)
	}
	if now.Sub(m.stepAt) < m.cfg.StepTimeout {
		return nil
	}
	if now.Sub(m.since) >= m.cfg.TakeOverAfter {
		m.rivalSeen = time.Time{}
		return m.abandon(now, fmt.Sprintf("only %d of %d members promised", len(m.attempt.fenced), len(m.cfg.Members)))
	}
	return append(m.fenceMissing(now), Explain{
		Decision: DecisionNoMajority,
		Evidence: fmt.Sprintf("%d of %d members have promised term %d", len(m.attempt.fenced), len(m.cfg.Members), m.attempt.term),
	})
}

// waitOut promotes once no lease of the old term can be valid.
//
// A lease needs the old primary and a replica. It cannot start after the old
// primary was fenced, nor after a majority was; the earlier of the two counts.
func (m *Machine) waitOut(now time.Time) []Action {
	if m.collectFenced(now) {
		return m.abandon(now, "a member has promised a higher term")
	}
	wait := m.cfg.Lease + time.Duration(clockDrift*float64(m.cfg.Lease))
	if m.attempt.revoked || now.Sub(m.attempt.noLeaseSince()) >= wait {
		return m.promote(now)
	}
	if now.Sub(m.stepAt) >= m.cfg.StepTimeout {
		return m.fenceMissing(now)
	}
	return nil
}

// noLeaseSince returns the time after which no lease of the old term can have started.
func (a *attemptState) noLeaseSince() time.Time {
	if !a.oldFencedAt.IsZero() && a.oldFencedAt.Before(a.majorityAt) {
		return a.oldFencedAt
	}
	return a.majorityAt
}

// choose returns the fenced member with the longest log, preferring one that is not leaving, then the configured order.
//
// One whose promotion had no effect before is left to the last: it may be the
// demoted primary, which an instance that has just started cannot know.
func (m *Machine) choose() string {
	if best := m.chooseBut(m.fruitless); best != "" {
		return best
	}
	return m.chooseBut(nil)
}

func (m *Machine) chooseBut(excluded map[string]bool) string {
	best := ""
	for _, name := range m.cfg.Members {
		s, ok := m.attempt.fenced[name]
		if !ok || excluded[name] || m.cfg.KeepDemoted && name == m.attempt.old {
			continue
		}
		if best == "" || m.better(name, s, best) {
			best = name
		}
	}
	return best
}

func (m *Machine) better(name string, s group.Status, best string) bool {
	than := m.attempt.fenced[best].Received()
	if s.Received() != than {
		return than.Less(s.Received())
	}
	return m.members[best].leaving && !m.members[name].leaving
}

func (m *Machine) promote(now time.Time) []Action {
	m.attempt.chosen = m.choose()
	if m.attempt.chosen == "" {
		return m.abandon(now, "no fenced member can lead")
	}
	m.enter(now, phasePromoting)
	chosen := m.attempt.fenced[m.attempt.chosen]
	evidence := fmt.Sprintf("%s at %v has the longest log of %d fenced members", m.attempt.chosen, chosen.Received(), len(m.attempt.fenced))
	return []Action{Explain{Decision: DecisionChoose, Evidence: evidence}, m.promoteAction()}
}

func (m *Machine) promoteAction() Action {
	return Promote{Endpoint: m.attempt.chosen, Term: m.attempt.term, Attempt: m.attempt.id}
}

// awaitPromotion repeats the promotion, which is idempotent for the attempt, and gives the term up if it does not come true.
//
// Another member is never promoted in the same term: the first may have become
// primary without this instance hearing of it.
func (m *Machine) awaitPromotion(now time.Time) []Action {
	if now.Sub(m.since) >= m.cfg.TakeOverAfter {
		m.rivalSeen = time.Time{}
		m.fruitless[m.attempt.chosen] = true
		return m.abandon(now, m.attempt.chosen+" did not report that it leads")
	}
	if now.Sub(m.stepAt) < m.cfg.StepTimeout {
		return nil
	}
	m.stepAt = now
	return []Action{m.promoteAction()}
}

// switchoverDue reports whether the primary is leaving and a staying replica is close behind it.
func (m *Machine) switchoverDue(now time.Time) bool {
	primary := m.members[m.primary]
	if primary == nil || !primary.leaving || !primary.status.Confirms(m.term) || m.rank != 0 {
		return false
	}
	if now.Sub(m.since) < m.cfg.StepTimeout || m.reachable(now) < m.majority() {
		return false
	}
	for name, s := range m.members {
		if name != m.primary && !s.leaving && s.heard && s.status.Confirms(m.term) {
			return true
		}
	}
	return false
}

func (m *Machine) startSwitchover(now time.Time) []Action {
	explain := Explain{Decision: DecisionSwitchover, Evidence: fmt.Sprintf("primary %s of term %d is leaving", m.primary, m.term)}
	return append([]Action{explain}, m.startAttempt(now, true)...)
}

// catchUp holds the old primary fenced until a staying replica has its whole log, then fences the others.
func (m *Machine) catchUp(now time.Time) []Action {
	if m.collectFenced(now) {
		return m.abandon(now, "a member has promised a higher term")
	}
	old, fenced := m.attempt.fenced[m.attempt.old]
	if fenced && m.hasCaughtUp(old.Received()) {
		return m.startFencing(now)
	}
	if now.Sub(m.since) >= m.cfg.CatchUp {
		return m.startFencing(now)
	}
	if now.Sub(m.stepAt) < m.cfg.StepTimeout || fenced {
		return nil
	}
	m.stepAt = now
	return []Action{m.fenceAction(m.attempt.old)}
}

func (m *Machine) hasCaughtUp(point group.Point) bool {
	for name, s := range m.members {
		if name == m.attempt.old || s.leaving || !s.heard {
			continue
		}
		if s.status.Received() == point {
			return true
		}
	}
	return false
}
