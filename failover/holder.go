package failover

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// missingMember is a member that is not listed any more though it has not left.
type missingMember struct {
	// point is what the primary had received after the member went missing, or zero until that is known in the present term.
	point group.Point
	// replicas are those that have received that much.
	replicas map[string]bool
}

// SetRequiredReplicas sets the number of replicas that receive a write before it is acknowledged; above 0, a member that is
// promoted must be known to hold all acknowledged writes.
func (m *Machine) SetRequiredReplicas(n int) { m.cfg.RequiredReplicas = n }

// SetMissing replaces the list of members that are not listed any more though they have not left: they may come back, and may
// be the only ones that received an acknowledged write.
func (m *Machine) SetMissing(endpoints []string) {
	missing, passed := map[string]missingMember{}, map[string]group.Term{}
	for _, name := range endpoints {
		if term, ok := m.passed[name]; ok && term == m.term {
			passed[name] = term
			continue
		}
		missing[name] = m.missing[name]
	}
	m.missing, m.passed = missing, passed
}

// recordMissing drops the missing members whose part of the log the required replicas have received.
//
// What a member received before it went missing is in the primary's log as of a later
// time, and so in that of a replica which has received that much.
func (m *Machine) recordMissing(s group.Status) {
	if len(m.missing) == 0 || s.Point().Term() != m.term {
		return
	}
	for name, missing := range m.missing {
		switch {
		case s.Endpoint() == m.primary && s.Role() == group.RolePrimary && missing.point.IsZero():
			m.missing[name] = missingMember{point: s.Received(), replicas: map[string]bool{}}
		case s.Endpoint() != m.primary && !missing.point.IsZero() && !s.Received().Less(missing.point):
			missing.replicas[s.Endpoint()] = true
			if len(missing.replicas) >= m.cfg.RequiredReplicas {
				m.passed[name] = m.term
				delete(m.missing, name)
			}
		}
	}
}

// resetMissing counts all missing members again at the beginning of a term: its primary holds what was acknowledged before, but
// the replicas may have to receive it yet.
func (m *Machine) resetMissing() {
	for name := range m.passed {
		m.missing[name] = missingMember{}
	}
	clear(m.passed)
	for name := range m.missing {
		m.missing[name] = missingMember{}
	}
}

// holdsAcknowledged reports whether a fenced member is known to hold every acknowledged write: by the number of members whose
// logs it has, or because it has as much as the old primary had when it was demoted.
func (m *Machine) holdsAcknowledged(name string) bool {
	if m.holders().holdsAll(name) {
		return true
	}
	old, demoted := m.attempt.fenced[m.attempt.oldPrimary]
	return demoted && len(m.orders) == 0 && !m.attempt.fenced[name].Received().Less(old.Received())
}

// betterMember returns a member that is not fenced yet, answers, and has received more than the chosen one, or "".
func (m *Machine) betterMember(now time.Time, chosen string) string {
	if now.Sub(m.phaseSince) >= m.cfg.CatchUpTimeout {
		return ""
	}
	for _, name := range m.cfg.Members {
		s := m.members[name]
		_, fenced := m.attempt.fenced[name]
		if fenced || name == m.attempt.oldPrimary || !s.hasStatus || !s.refusingSince.IsZero() || now.Sub(s.answeredAt) >= m.cfg.SuspectAfter {
			continue
		}
		if m.attempt.fenced[chosen].Received().Less(s.status.Received()) {
			return name
		}
	}
	return ""
}

// awaitHolder waits for a member that is to be promoted rather than those that are fenced.
//
// An attempt that waits for longer than TakeOverAfter releases the replicas, which may catch up, and is started again, which
// claims the promotion again; the old primary may come back meanwhile.
func (m *Machine) awaitHolder(now time.Time, reason string) []Action {
	if now.Sub(m.phaseSince) >= m.cfg.TakeOverAfter {
		return m.abandon(now, reason)
	}
	var actions []Action
	if !m.attempt.awaitsLog {
		m.attempt.awaitsLog = true
		actions = append(actions, Explain{Decision: DecisionAwaitLog, Evidence: reason})
	}
	if now.Sub(m.stepStartedAt) >= m.cfg.StepTimeout {
		actions = append(actions, m.fenceRemaining(now)...)
	}
	return actions
}

// noHolderReason describes why no fenced member may be promoted, or returns "" if one may become eligible by no answer.
func (m *Machine) noHolderReason() string {
	best := m.chooseWhere(func(string) bool { return true })
	if m.cfg.RequiredReplicas <= 0 || best == "" {
		return ""
	}
	h := m.holders()
	return fmt.Sprintf("no fenced member is known to hold all acknowledged writes: %s has the longest log of those that may lead; "+
		"not heard: %v, ahead of it: %v, and at most %d of these could be left out; start one that was not heard with its log",
		best, h.unheard, h.ahead(best), h.replicas)
}

// replicaKeepsUp reports whether a replica that stays has received what the primary had received a step ago, so that a
// switchover can be expected to find all acknowledged writes.
func (m *Machine) replicaKeepsUp() bool {
	if m.cfg.RequiredReplicas <= 0 {
		return true
	}
	for name, s := range m.members {
		if name != m.primary && !s.leaving && s.hasStatus && !m.primaryMark.IsZero() && !s.status.Received().Less(m.primaryMark) {
			return true
		}
	}
	return false
}

// recordPrimaryPoint keeps what the primary had received between one and two steps ago.
func (m *Machine) recordPrimaryPoint(now time.Time, s group.Status) {
	if s.Endpoint() != m.primary || s.Point().Term() != m.term || now.Sub(m.markedAt) < m.cfg.StepTimeout {
		return
	}
	m.primaryMark, m.newestMark, m.markedAt = m.newestMark, s.Received(), now
}
