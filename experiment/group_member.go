package experiment

import (
	"sort"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// simMember simulates a member: its log, its slots, and the queue in front of them.
type simMember struct {
	name string
	// commits holds the times at which the log grew; the position is their number up to a time.
	commits []time.Time
	// inherited is the number of entries of the log that the member's term did not write.
	inherited int
	term      group.Term
	primary   bool
	running   int
	waiting   []func()
}

// positionAt returns the position of the log at a time.
func (m *simMember) positionAt(at time.Time) group.Position {
	return group.Position(sort.Search(len(m.commits), func(i int) bool { return m.commits[i].After(at) }))
}

// holds reports whether the log holds the entry that a point names, at a time.
//
// The entries that a term inherits keep the terms in which they were written.
func (m *simMember) holds(p group.Point, at time.Time) bool {
	if p.Position() > m.positionAt(at) {
		return false
	}
	if int(p.Position()) <= m.inherited {
		return p.Term() < m.term
	}
	return p.Term() == m.term
}

// occupy holds a slot of the member for the service time, as soon as one is free, and then calls done.
func (s *groupSimulation) occupy(m *simMember, service time.Duration, done func()) {
	start := func() {
		m.running++
		s.after(service, func() {
			m.running--
			if len(m.waiting) > 0 {
				next := m.waiting[0]
				m.waiting = m.waiting[1:]
				next()
			}
			done()
		})
	}
	if m.running < s.scenario.Slots {
		start()
		return
	}
	m.waiting = append(m.waiting, start)
}

// replicate schedules the arrival of a commit at the replicas.
func (s *groupSimulation) replicate(commit time.Time) {
	for i, m := range s.replicas() {
		lag := s.lagOf(i)
		if lag < 0 {
			continue
		}
		applied := s.now.Add(lag)
		if n := len(m.commits); n > 0 && m.commits[n-1].After(applied) {
			applied = m.commits[n-1]
		}
		if len(m.commits) < len(s.primaryMember().commits) {
			m.commits = append(m.commits, applied)
		}
	}
}

// catchUp gives the replicas the commits that they have missed, when replication resumes.
func (s *groupSimulation) catchUp() {
	for i, m := range s.replicas() {
		if s.lagOf(i) < 0 {
			continue
		}
		for len(m.commits) < len(s.primaryMember().commits) {
			m.commits = append(m.commits, s.now.Add(s.lagOf(i)))
		}
	}
}

// lagOf returns the present replication lag of the i-th replica; it is negative while the replica receives nothing.
func (s *groupSimulation) lagOf(i int) time.Duration {
	elapsed := s.now.Sub(s.start)
	if elapsed >= s.scenario.LagFrom && elapsed < s.scenario.LagUntil {
		return s.scenario.LagInside[i]
	}
	return s.scenario.Lag
}

// primaryMember returns the member that leads the newest term, or the last one that did.
func (s *groupSimulation) primaryMember() *simMember { return s.members[s.leader] }

func (s *groupSimulation) replicas() []*simMember {
	var out []*simMember
	for i, m := range s.members {
		if i != s.leader {
			out = append(out, m)
		}
	}
	return out
}

// promote lets the first replica lead the next term.
func (s *groupSimulation) promote() {
	inherited := append([]time.Time(nil), s.primaryMember().commits...)
	term := s.primaryMember().term + 1
	for _, m := range s.members {
		m.commits = append([]time.Time(nil), inherited...)
		m.inherited = len(inherited)
		m.term = term
		m.primary = false
	}
	s.leader = 1
	s.primaryMember().primary = true
}
