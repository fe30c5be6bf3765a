package endpointtest

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// logRecord is one committed transaction in the log.
type logRecord struct {
	at      time.Time
	changes []change
}

// change sets or deletes one key.
type change struct {
	key     string
	value   string
	deleted bool
}

// Member is one endpoint of a fake group. Its fields are guarded by the group's mutex.
type Member struct {
	group    *Group
	name     string
	role     group.Role
	term     group.Term
	promised group.Term
	attempt  string
	history  group.History
	log      []logRecord
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

// Status returns the status that endpoint_status() reports.
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

// SetIsolated starts or ends a partition between the member and the other members; clients still reach it.
func (m *Member) SetIsolated(isolated bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.isolated = isolated
}

// Fence makes the member promise term to attempt and reports whether it did.
//
// A fenced member follows no primary of a lower term and, as a primary, rejects
// writes. The promise is refused when the member has promised a higher term, has
// promised this term to another attempt, or is already in this term or a higher one.
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

// Promote makes the member the primary of term and reports whether it is; it must have promised term to attempt.
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

// Commit sets one key in a transaction of its own; it reports false if the member is not an unfenced primary.
func (m *Member) Commit(key, value string) bool {
	return m.commit([]change{{key: key, value: value}})
}

// Value returns the value of a key on this member.
func (m *Member) Value(key string) (string, bool) { return m.value(key) }

// commit appends one transaction to the log and applies it; it reports false if the member may not commit writes.
func (m *Member) commit(changes []change) bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if !m.writableLocked() {
		return false
	}
	m.log = append(m.log, logRecord{at: m.group.cfg.Clock(), changes: changes})
	m.rows.apply(changes)
	return true
}

func (m *Member) value(key string) (string, bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	v, ok := m.rows[key]
	return v, ok
}

// followLocked adopts the primary's term and copies its log records that are at least as old as the lag.
func (m *Member) followLocked(primary *Member, now time.Time) {
	if m.term != primary.term {
		m.rewindLocked(primary)
	}
	for len(m.log) < len(primary.log) {
		next := primary.log[len(m.log)]
		if now.Sub(next.at) < m.lag {
			return
		}
		m.log = append(m.log, next)
		m.rows.apply(next.changes)
	}
}

// rewindLocked removes the records that the primary's log does not have and adopts the primary's term and history.
func (m *Member) rewindLocked(primary *Member) {
	end := len(m.log)
	for _, s := range primary.history.Starts() {
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
	m.term = primary.term
	m.role = group.RoleReplica
	m.history = primary.history
}
