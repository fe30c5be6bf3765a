package failover

import (
	"fmt"
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
	// rivals are the attempts of others that were seen in this term.
	rivals map[string]bool
	// newest is the newest term that any member takes part in, whether or not its primary is known.
	newest group.Term
	// fruitless are the members whose promotion had no effect in this term.
	fruitless map[string]bool
	// demotedSeen is since when the primary of the newest term says that it no longer leads, or zero.
	demotedSeen time.Time
	highest     group.Term
	suspended   bool
	startedAt   time.Time
	// notBefore is when a new attempt may start after one was abandoned.
	notBefore time.Time
}

// New returns a machine that watches.
func New(cfg Config) *Machine {
	m := &Machine{cfg: cfg, members: map[string]*memberState{}, views: map[string]bool{}, rivals: map[string]bool{}, fruitless: map[string]bool{}}
	for _, name := range cfg.Members {
		m.members[name] = &memberState{}
	}
	return m
}

// Phase returns the name of the machine's state.
func (m *Machine) Phase() string { return m.phase.String() }

// Busy reports whether an attempt waits for the members.
func (m *Machine) Busy() bool { return m.phase >= phaseCatchingUp }

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
	case Revoked:
		m.attempt.revoked = m.attempt.revoked || e.Attempt == m.attempt.id
		return m.advance(now)
	case Leaving:
		m.SetLeaving(e.Endpoints)
		return nil
	case Tick:
		return m.advance(now)
	}
	return nil
}

// Lost reports whether this instance has lost the primary of term, for another's AskViews.
func (m *Machine) Lost(now time.Time, term group.Term) bool {
	return term >= m.term && m.primaryLost(now)
}

// SetLeaving tells which members are to get no new work.
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

// SetMembers replaces the list of members; what is known of those that stay is kept.
func (m *Machine) SetMembers(endpoints []string) {
	kept := map[string]*memberState{}
	for _, name := range endpoints {
		kept[name] = m.members[name]
		if kept[name] == nil {
			kept[name] = &memberState{}
		}
	}
	m.members = kept
	m.cfg.Members = append([]string(nil), endpoints...)
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
	m.newest = max(m.newest, s.Point().Term())
	m.noteRival(now, s)
	m.noteDemoted(now, s)
	if s.Role() == group.RolePrimary && s.Confirms(s.Point().Term()) && s.Point().Term() > m.term {
		return m.adopt(now, s)
	}
	return m.advance(now)
}

// maxRivals bounds the attempts that are remembered; beyond it all count as new again.
const maxRivals = 64

// noteRival remembers since when another attempt holds a promise without having made a primary.
//
// Each attempt counts once: members that hold different ones would make them new
// for ever.
func (m *Machine) noteRival(now time.Time, s group.Status) {
	if s.Promised() <= max(m.term, s.Point().Term()) || s.Attempt() == m.attempt.id || m.rivals[s.Attempt()] {
		return
	}
	if len(m.rivals) >= maxRivals {
		clear(m.rivals)
	}
	m.rivals[s.Attempt()] = true
	m.rivalSeen = now
}

// noteDemoted remembers since when the primary has been demoted without another one in its place.
func (m *Machine) noteDemoted(now time.Time, s group.Status) {
	if s.Endpoint() != m.primary || s.Point().Term() != m.term {
		return
	}
	if s.Role() == group.RolePrimary {
		m.demotedSeen = time.Time{}
	} else if m.demotedSeen.IsZero() {
		m.demotedSeen = now
	}
}

// adopt takes a new primary as found, whoever promoted it.
func (m *Machine) adopt(now time.Time, s group.Status) []Action {
	m.term = s.Point().Term()
	m.primary = s.Endpoint()
	m.rivalSeen = time.Time{}
	m.demotedSeen = time.Time{}
	clear(m.rivals)
	clear(m.fruitless)
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
