package failover

import (
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// attemptState is the promotion that this machine runs.
type attemptState struct {
	id          string
	term        group.Term
	fenced      map[string]group.Status
	majorityAt  time.Time
	oldFencedAt time.Time
	chosen      string
	planned     bool
	// revoked says that no instance holds a lease of the old term any more.
	revoked bool
	oldTerm group.Term
	old     string
}

// startAttempt claims a term above every one that the table or a member has shown.
func (m *Machine) startAttempt(now time.Time, planned bool) []Action {
	term := m.nextTerm()
	m.attempt = attemptState{
		id:      fmt.Sprintf("%s/%s/%d/%d", m.cfg.Group, m.cfg.Instance, term, now.UnixNano()),
		term:    term,
		fenced:  map[string]group.Status{},
		planned: planned,
		oldTerm: m.term,
		old:     m.primary,
	}
	if m.cfg.Successor {
		// An instance that has just started may know no primary, and others still hold leases of its term.
		m.attempt.oldTerm = term - 1
	} else {
		m.highest = m.attempt.term
	}
	m.enter(now, phaseClaiming)
	lost := make([]string, 0, len(m.views))
	for name, l := range m.views {
		lost = append(lost, fmt.Sprintf("%s lost=%v", name, l))
	}
	evidence := fmt.Sprintf("attempt %s for term %d; views: %s", m.attempt.id, m.attempt.term, strings.Join(lost, ", "))
	actions := []Action{
		Explain{Decision: DecisionClaim, Evidence: evidence},
		Claim{Term: m.attempt.term, Attempt: m.attempt.id},
	}
	if m.cfg.ClaimRequired {
		return actions
	}
	return append(actions, m.afterClaim(now)...)
}

// nextTerm returns the term that a new attempt goes for.
func (m *Machine) nextTerm() group.Term {
	if m.cfg.Successor {
		return max(m.term, m.newest) + 1
	}
	return m.highest + 1
}

// claimed takes the table's answer; an attempt that already holds a majority goes on whatever it says.
func (m *Machine) claimed(now time.Time, r ClaimResult) []Action {
	if r.Attempt != m.attempt.id || (m.phase != phaseClaiming && m.phase != phaseFencing) {
		return nil
	}
	m.highest = max(m.highest, r.Term)
	if r.Outcome == ClaimTaken {
		clear(m.rivals)
		m.rivalSeen = now
		return m.abandon(now, fmt.Sprintf("the table holds term %d for another attempt", r.Term))
	}
	if m.phase != phaseClaiming {
		return nil
	}
	if r.Outcome == ClaimUnavailable && m.cfg.ClaimRequired {
		return m.abandon(now, "the table did not answer")
	}
	return m.afterClaim(now)
}

// awaitClaim gives up on a table that does not answer.
func (m *Machine) awaitClaim(now time.Time) []Action {
	if now.Sub(m.since) < max(m.cfg.ClaimTimeout, m.cfg.StepTimeout) {
		return nil
	}
	return m.abandon(now, "the table did not answer in time")
}

func (m *Machine) afterClaim(now time.Time) []Action {
	if m.attempt.planned {
		m.enter(now, phaseCatchingUp)
		return []Action{m.fenceAction(m.attempt.old)}
	}
	return m.startFencing(now)
}

func (m *Machine) abandon(now time.Time, why string) []Action {
	m.notBefore = now.Add(m.cfg.StepTimeout)
	actions := m.releases()
	m.enter(now, phaseWatching)
	return append(actions, Explain{Decision: DecisionAbandon, Evidence: why})
}

// releases lets the held replicas go, unless the old primary is demoted and only a promotion can follow.
func (m *Machine) releases() []Action {
	if !m.cfg.ReleaseAbandoned || m.phase == phasePromoting {
		return nil
	}
	if _, demoted := m.attempt.fenced[m.attempt.old]; demoted {
		return nil
	}
	var actions []Action
	for _, name := range m.cfg.Members {
		if _, held := m.attempt.fenced[name]; held {
			actions = append(actions, Release{Endpoint: name, Term: m.attempt.term, Attempt: m.attempt.id})
		}
	}
	return actions
}
