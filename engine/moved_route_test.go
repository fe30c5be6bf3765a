package engine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// movingSource returns the contract terms of the group to which the route leads at present.
type movingSource struct{ at *fixture }

func (s *movingSource) ContractTerms(database string) (engine.ContractTerms[*fakeLink], error) {
	return s.at.ContractTerms(database)
}

// setLog gives all members of a fixture the same log, and returns once the group knows its term.
func (f *fixture) setLog(t *testing.T, term group.Term, position group.Position) {
	t.Helper()
	for _, name := range []string{"a", "b", "c"} {
		f.cluster.with(name, func(m *member) { m.term, m.position = term, position })
	}
	waitUntil(t, func() bool {
		usable := 0
		f.group.View(func(tr *route.Tracker) {
			for _, r := range tr.Replicas() {
				if tr.Term() == term && r.Usable() {
					usable++
				}
			}
		})
		return usable == 2 && f.group.LeaseValid()
	})
}

// write writes with a single statement, or in a transaction, and returns the last answer.
func write(t *testing.T, s *session, inTransaction bool) {
	t.Helper()
	if !inTransaction {
		mustServe(t, s.do(engine.OpWrite, "i1", "x"))
		return
	}
	mustServe(t, s.do(engine.OpBegin))
	mustServe(t, s.do(engine.OpWrite, "i1", "x"))
	mustServe(t, s.do(engine.OpCommit))
}

// read reads with a single statement, or in a read-only transaction, and returns the answer to the read.
func read(t *testing.T, s *session, inTransaction bool) engine.Answer {
	t.Helper()
	if !inTransaction {
		return mustServe(t, s.do(engine.OpRead, "i1"))
	}
	mustServe(t, s.do(engine.OpBeginRead))
	a := mustServe(t, s.do(engine.OpRead, "i1"))
	mustServe(t, s.do(engine.OpCommit))
	return a
}

// Guards against reads that miss the session's own commit after its route moved to a group with a shorter log and back.
func TestReadSeesOwnWriteAfterRouteMovedAndReturned(t *testing.T) {
	tests := []struct {
		name                string
		writeInTx, readInTx bool
		otherPosition       group.Position
		otherTerm           group.Term
	}{
		{name: "shorter log", otherTerm: 1, otherPosition: 3},
		{name: "shorter log, transactions", otherTerm: 1, otherPosition: 3, writeInTx: true, readInTx: true},
		{name: "shorter log, read transaction", otherTerm: 1, otherPosition: 3, readInTx: true},
		{name: "longer log", otherTerm: 1, otherPosition: 300},
		{name: "higher term", otherTerm: 4, otherPosition: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			home := newFixtureOf(t, "orders", contract.ConsistencySession)
			other := newFixtureOf(t, "archive", contract.ConsistencySession)
			other.setLog(t, test.otherTerm, test.otherPosition)
			source := &movingSource{at: home}
			es := engine.NewSession(engine.SessionConfig[*fakeLink]{ID: "1", Database: "orders", Source: source, Policy: route.EarliestAnswer{}, Clock: clock.Now})
			t.Cleanup(es.Close)
			sess := &session{Session: es}
			if a := read(t, sess, test.readInTx); a.Signature != "by b" {
				t.Fatalf("a read before all writes was served %s, want by the replica in the same data centre", a.Signature)
			}
			write(t, sess, test.writeInTx)
			source.at = other
			write(t, sess, test.writeInTx)
			source.at = home
			if a := read(t, sess, test.readInTx); a.Point.Less(group.NewPoint(1, 11)) {
				t.Errorf("the read ran %s at %v, before the session's own commit at 1/11", a.Signature, a.Point)
			}
			for _, name := range []string{"b", "c"} {
				home.cluster.with(name, func(m *member) { m.position = 11 })
			}
			waitUntil(t, func() bool { return read(t, sess, test.readInTx).Signature == "by b" })
		})
	}
}

// Random moves of a route among groups, writes, reads and replication: each read holds the session's last commit in its group.
func TestSessionsOfMovingRouteSeeOwnWrites(t *testing.T) {
	const groups, steps, seeds = 3, 300, 4
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			var fixtures []*fixture
			for n := range groups {
				f := newFixtureOf(t, fmt.Sprintf("group-%d", n), contract.ConsistencySession)
				f.setLog(t, group.Term(1+rng.IntN(2)), group.Position(rng.IntN(30)))
				fixtures = append(fixtures, f)
			}
			current := 0
			source := &movingSource{at: fixtures[current]}
			es := engine.NewSession(engine.SessionConfig[*fakeLink]{ID: "1", Database: "orders", Source: source, Policy: route.EarliestAnswer{}, Clock: clock.Now})
			t.Cleanup(es.Close)
			sess := &session{Session: es}
			own := make([]group.Point, groups)
			for step := range steps {
				switch rng.IntN(6) {
				case 0:
					current = rng.IntN(groups)
					source.at = fixtures[current]
				case 1:
					write(t, sess, rng.IntN(2) == 0)
					fixtures[current].cluster.with("a", func(m *member) { own[current] = group.NewPoint(m.term, m.position) })
				case 2:
					replica := []string{"b", "c"}[rng.IntN(2)]
					var position group.Position
					fixtures[current].cluster.with("a", func(m *member) { position = m.position })
					fixtures[current].cluster.with(replica, func(m *member) { m.position = position })
				default:
					if a := read(t, sess, rng.IntN(3) == 0); a.Point.Less(own[current]) {
						t.Fatalf("step %d: a read in %s ran %s at %v, before the session's own commit at %v",
							step, fixtures[current].group.Name(), a.Signature, a.Point, own[current])
					}
				}
			}
		})
	}
}
