package failover

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// repairPeriods, times TakeOverAfter, is how long a replica must hold a promise without an effect before it counts as left behind.
const repairPeriods = 2

// recordPromise records since when a member has held its present promise to a term that has not begun.
func (s *memberState) recordPromise(now time.Time, term group.Term) {
	promised := s.status.Promised()
	if promised <= max(term, s.status.Point().Term()) {
		promised = 0
	}
	if promised != s.promised {
		s.promised, s.promisedSince = promised, now
	}
}

// leftFenced returns the replicas that an attempt which has ended left fenced, although the primary answers.
//
// Its coordinator was lost, since it would have released them or completed the promotion.
func (m *Machine) leftFenced(now time.Time) []string {
	var names []string
	for _, name := range m.cfg.Members {
		s := m.members[name]
		if name == m.primary || s.promised == 0 || !s.refusingSince.IsZero() || now.Sub(s.answeredAt) >= m.cfg.SuspectAfter {
			continue
		}
		if now.Sub(s.promisedSince) >= repairPeriods*m.cfg.TakeOverAfter {
			names = append(names, name)
		}
	}
	return names
}

// repairDue reports whether this instance, which has rank 0, is to repair what a lost coordinator left behind.
func (m *Machine) repairDue(now time.Time) bool {
	return m.rank == 0 && m.primary != "" && !now.Before(m.notBefore) && m.competingExpired(now) && len(m.leftFenced(now)) > 0
}

// repair releases the replicas that a lost coordinator left fenced, unless its order is open or members keep their promises
// themselves: the attempt then completes the promotion.
//
// No instance may confirm the present primary once an order is open, so the group cannot
// remain with it.
func (m *Machine) repair(now time.Time) []Action {
	if m.openOrders() || !m.cfg.ReleaseAbandoned {
		return m.afterClaim(now)
	}
	var releases []Action
	for _, name := range m.leftFenced(now) {
		releases = append(releases, Release{Endpoint: name, Term: m.attempt.term, Attempt: m.attempt.id})
	}
	return append(m.abandon(now, "the replicas of an interrupted attempt are released"), releases...)
}
