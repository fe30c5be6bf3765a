package failover

import (
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// phase is the state of the machine.
type phase uint8

const (
	phaseWatching phase = iota
	phaseAsking
	phaseClaiming
	phaseCatchingUp
	phaseFencing
	phaseWaiting
	phasePromoting
)

// String returns the phase in snake case.
func (p phase) String() string {
	return [...]string{"watching", "asking", "claiming", "catching_up", "fencing", "waiting", "promoting"}[p]
}

// clockDrift is the allowance for clocks that run at different rates.
const clockDrift = 0.01

// memberState is what the machine knows of one member.
type memberState struct {
	status    group.Status
	heard     bool
	answered  time.Time
	refusedAt time.Time
	leaving   bool
}

// attemptState is the promotion that this machine runs.
type attemptState struct {
	id          string
	term        group.Term
	fenced      map[string]group.Status
	majorityAt  time.Time
	oldFencedAt time.Time
	chosen      string
	planned     bool
	oldTerm     group.Term
	old         string
}

// Machine decides for one group; it is not safe for concurrent use.
type Machine struct {
	cfg       Config
	phase     phase
	since     time.Time
	stepAt    time.Time
	members   map[string]*memberState
	term      group.Term
	primary   string
	views     map[string]bool
	others    int
	rank      int
	attempt   attemptState
	lostSince time.Time
	rivalSeen time.Time
	rival     string
	highest   group.Term
	suspended bool
	startedAt time.Time
}

// New returns a machine that watches.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, members: map[string]*memberState{}, views: map[string]bool{}}
	for _, name := range cfg.Members {
		m.members[name] = &memberState{}
	}
	return m
}

// Phase returns the name of the machine's state.
func (m *Machine) Phase() string { return m.phase.String() }

// Term returns the newest term with a known primary.
func (m *Machine) Term() group.Term { return m.term }

// Primary returns the primary of Term, or "".
func (m *Machine) Primary() string { return m.primary }

// Step takes one event at now and returns what to do.
func (m *Machine) Step(now time.Time, e Event) []Action {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	switch e := e.(type) {
	case Probed:
		return m.probed(now, e.Status)
	case ProbeFailed:
		return m.probeFailed(now, e)
	case View:
		return m.view(now, e)
	case Fleet:
		m.others = e.Others
		m.rank = e.Rank
		return nil
	case ClaimResult:
		return m.claimed(now, e)
	case Leaving:
		m.setLeaving(e.Endpoints)
		return nil
	case Tick:
		return m.tick(now)
	}
	return nil
}

// Lost reports whether this instance has lost the primary of term, for another's AskViews.
func (m *Machine) Lost(now time.Time, term group.Term) bool {
	return term >= m.term && m.primaryLost(now)
}

func (m *Machine) setLeaving(endpoints []string) {
	for _, s := range m.members {
		s.leaving = false
	}
	for _, name := range endpoints {
		if s := m.members[name]; s != nil {
			s.leaving = true
		}
	}
}

func (m *Machine) probed(now time.Time, s group.Status) []Action {
	state := m.members[s.Endpoint()]
	if state == nil {
		return nil
	}
	state.status = s
	state.heard = true
	state.answered = now
	state.refusedAt = time.Time{}
	m.highest = max(m.highest, s.Promised(), s.Point().Term())
	m.noteRival(now, s)
	if s.Role() == group.RolePrimary && s.Confirms(s.Point().Term()) && s.Point().Term() > m.term {
		return m.adopt(now, s)
	}
	return m.advance(now)
}

// noteRival remembers since when another attempt holds a promise without having made a primary.
func (m *Machine) noteRival(now time.Time, s group.Status) {
	if s.Promised() <= m.term || s.Attempt() == m.attempt.id || s.Attempt() == m.rival {
		return
	}
	m.rival = s.Attempt()
	m.rivalSeen = now
}

// adopt takes a new primary as found, whoever promoted it.
func (m *Machine) adopt(now time.Time, s group.Status) []Action {
	m.term = s.Point().Term()
	m.primary = s.Endpoint()
	m.rivalSeen = time.Time{}
	m.suspended = false
	m.lostSince = time.Time{}
	own := m.phase == phasePromoting && s.Attempt() == m.attempt.id
	m.enter(now, phaseWatching)
	if !own {
		return nil
	}
	evidence := fmt.Sprintf("%s leads term %d from position %d", m.primary, m.term, s.Point().Position())
	return []Action{
		Explain{Decision: DecisionPromoted, Evidence: evidence},
		Publish{Term: m.term, Endpoint: m.primary},
	}
}

func (m *Machine) probeFailed(now time.Time, e ProbeFailed) []Action {
	state := m.members[e.Endpoint]
	if state == nil {
		return nil
	}
	if e.Refused && state.refusedAt.IsZero() {
		state.refusedAt = now
	}
	if !e.Refused {
		state.refusedAt = time.Time{}
	}
	return m.advance(now)
}

func (m *Machine) enter(now time.Time, p phase) {
	m.phase = p
	m.since = now
	m.stepAt = now
}

func (m *Machine) tick(now time.Time) []Action { return m.advance(now) }

// advance moves on as far as what is known allows.
func (m *Machine) advance(now time.Time) []Action {
	switch m.phase {
	case phaseWatching:
		return m.watch(now)
	case phaseAsking:
		return m.weighViews(now)
	case phaseClaiming:
		return m.awaitClaim(now)
	case phaseCatchingUp:
		return m.catchUp(now)
	case phaseFencing:
		return m.fence(now)
	case phaseWaiting:
		return m.waitOut(now)
	case phasePromoting:
		return m.awaitPromotion(now)
	}
	return nil
}

// primaryLost reports whether the primary has been silent or refusing for long enough.
func (m *Machine) primaryLost(now time.Time) bool {
	state := m.members[m.primary]
	if state == nil {
		return m.noPrimaryKnown(now)
	}
	if state.heard && !state.status.Confirms(m.term) && state.status.Promised() > m.term {
		return m.rivalExpired(now)
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
	if now.Sub(m.lostSince) < time.Duration(m.rank)*m.cfg.Stagger {
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

// startAttempt claims a term above every one that the table or a member has shown.
func (m *Machine) startAttempt(now time.Time, planned bool) []Action {
	m.attempt = attemptState{
		id:      fmt.Sprintf("%s/%s/%d/%d", m.cfg.Group, m.cfg.Instance, m.highest+1, now.UnixNano()),
		term:    m.highest + 1,
		fenced:  map[string]group.Status{},
		planned: planned,
		oldTerm: m.term,
		old:     m.primary,
	}
	m.highest = m.attempt.term
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

// claimed takes the table's answer; an attempt that already holds a majority goes on whatever it says.
func (m *Machine) claimed(now time.Time, r ClaimResult) []Action {
	if r.Attempt != m.attempt.id || (m.phase != phaseClaiming && m.phase != phaseFencing) {
		return nil
	}
	m.highest = max(m.highest, r.Term)
	if r.Outcome == ClaimTaken {
		m.rival = ""
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
	if now.Sub(m.since) < m.cfg.StepTimeout {
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
	m.enter(now, phaseWatching)
	return []Action{Explain{Decision: DecisionAbandon, Evidence: why}}
}
