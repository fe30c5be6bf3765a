package endpointtest

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// record is one committed transaction in the log.
type record struct {
	at      time.Time
	changes []change
}

// change sets or deletes one key.
type change struct {
	key     string
	value   string
	deleted bool
}

// Member is one endpoint of a stand-in group. Its fields are guarded by the group's mutex.
type Member struct {
	group    *Group
	name     string
	role     group.Role
	term     group.Term
	promised group.Term
	attempt  string
	history  group.History
	log      []record
	rows     rows
	lag      time.Duration
	down     bool
	isolated bool
	server   *server
}

// rows maps each key to its value.
type rows map[string]string

func (r rows) apply(changes []change) {
	for _, c := range changes {
		if c.deleted {
			delete(r, c.key)
			continue
		}
		r[c.key] = c.value
	}
}

func newMember(g *Group, index int) *Member {
	m := &Member{
		group:   g,
		name:    g.cfg.Name + "-" + string(rune('a'+index)),
		role:    group.RoleReplica,
		term:    1,
		history: group.NewHistory(group.NewTermStart(1, 0)),
		rows:    rows{},
		lag:     g.cfg.Lag,
	}
	m.server = newServer(m)
	return m
}

// Name returns the member's name.
func (m *Member) Name() string { return m.name }

// Address returns the member's host:port, or "" before Start.
func (m *Member) Address() string { return m.server.address() }

// Status returns the member's report of itself.
func (m *Member) Status() group.Status {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.statusLocked()
}

func (m *Member) statusLocked() group.Status {
	return group.NewStatus(group.StatusConfig{
		Endpoint: m.name,
		Role:     m.role,
		Point:    group.NewPoint(m.term, group.Position(len(m.log))),
		Promised: m.promised,
		Attempt:  m.attempt,
		History:  m.history,
	})
}

// SetLag sets the replication lag of the member while it is a replica.
func (m *Member) SetLag(lag time.Duration) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.lag = lag
}

// SetIsolated cuts the member off from the other members, or joins it again.
func (m *Member) SetIsolated(isolated bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.isolated = isolated
}

// Fence makes the member promise term to attempt and reports whether it did.
//
// A fenced member confirms no lower term and, as a primary, takes no more
// writes. The promise is held when a higher one, or the same one by another
// attempt, was made before.
func (m *Member) Fence(term group.Term, attempt string) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if term < m.promised || term <= m.term {
		return false
	}
	if term == m.promised && attempt != m.attempt {
		return false
	}
	m.promised = term
	m.attempt = attempt
	return true
}

// Promote makes the member the primary of term and reports whether it did; it must have promised term to attempt.
func (m *Member) Promote(term group.Term, attempt string) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.promised != term || m.attempt != attempt {
		return false
	}
	if m.term == term {
		return m.role == group.RolePrimary
	}
	m.term = term
	m.role = group.RolePrimary
	m.history = m.history.With(group.NewTermStart(term, group.Position(len(m.log))))
	return true
}

// writableLocked reports whether the member may commit writes.
func (m *Member) writableLocked() bool {
	return m.role == group.RolePrimary && m.promised <= m.term
}

// Commit sets one key in a transaction of its own and reports whether the member still led.
func (m *Member) Commit(key, value string) bool {
	return m.commit([]change{{key: key, value: value}})
}

// Value returns the value of a key on this member.
func (m *Member) Value(key string) (string, bool) { return m.value(key) }

// commit appends one transaction and reports whether the member still led.
func (m *Member) commit(changes []change) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if !m.writableLocked() {
		return false
	}
	m.log = append(m.log, record{at: m.group.cfg.Clock(), changes: changes})
	m.rows.apply(changes)
	return true
}

// value returns the value of key.
func (m *Member) value(key string) (string, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	v, ok := m.rows[key]
	return v, ok
}

// followLocked joins the leader's term if need be and copies its log as far as the lag allows.
func (m *Member) followLocked(leader *Member, now time.Time) {
	if m.term != leader.term {
		m.rewindLocked(leader)
	}
	for len(m.log) < len(leader.log) {
		next := leader.log[len(m.log)]
		if now.Sub(next.at) < m.lag {
			return
		}
		m.log = append(m.log, next)
		m.rows.apply(next.changes)
	}
}

// rewindLocked drops the tail that the leader's log does not share and adopts its term.
func (m *Member) rewindLocked(leader *Member) {
	end := len(m.log)
	for _, s := range leader.history.Starts() {
		if s.Term() > m.term {
			end = min(end, int(s.Start()))
			break
		}
	}
	if end < len(m.log) {
		m.log = m.log[:end:end]
		m.rows = rows{}
		for _, r := range m.log {
			m.rows.apply(r.changes)
		}
	}
	m.term = leader.term
	m.role = group.RoleReplica
	m.history = leader.history
}
