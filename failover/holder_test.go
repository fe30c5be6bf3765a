package failover_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

func replicationRequired(cfg *failover.Config) { cfg.RequiredReplicas = 1 }

// requiredReplicas returns 1 if writes need a replica, or 0.
func requiredReplicas(required bool) int {
	if required {
		return 1
	}
	return 0
}

func withMembers(names ...string) func(*failover.Config) {
	return func(cfg *failover.Config) { cfg.Members = names }
}

// startSwitchover lets the primary a leave while b receives nothing, and returns the claim of the attempt.
func (s *sequentialFixture) startSwitchover(t *testing.T) failover.Claim {
	t.Helper()
	s.machine.SetLeaving([]string{"a"})
	for position := group.Position(20); ; position++ {
		s.reportStatus("a", group.RolePrimary, position, 1, "")
		s.reportStatus("b", group.RoleReplica, 10, 1, "")
		s.reportStatus("c", group.RoleReplica, position, 1, "")
		if claim, ok := find[failover.Claim](s.advance(sequentialStep)); ok {
			return claim
		}
		if position > 100 {
			t.Fatal("the leaving primary is not replaced")
		}
	}
}

// demote continues a switchover until the old primary and b are fenced and no lease remains; c, which has the whole log, has
// not answered its fence yet.
func (s *sequentialFixture) demote(t *testing.T, claim failover.Claim) (promoted failover.Promote, ok bool) {
	t.Helper()
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term})
	s.reportStatus("c", group.RoleReplica, 50, 1, "")
	s.reportStatus("a", group.RoleReplica, 50, claim.Term, claim.Attempt)
	s.reportStatus("b", group.RoleReplica, 10, claim.Term, claim.Attempt)
	return find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
}

// Guards against the loss of acknowledged writes in a planned replacement: a majority of the old primary and a replica that has
// received nothing is no evidence that the replica may be promoted.
func TestSwitchoverPromotesReplicaThatHoldsAcknowledgedWrites(t *testing.T) {
	for _, required := range []bool{true, false} {
		s := newAnsweredFixture(func(cfg *failover.Config) { cfg.RequiredReplicas = requiredReplicas(required) })
		claim := s.startSwitchover(t)
		if early, ok := s.demote(t, claim); ok {
			t.Errorf("replication required %v: promoted %s although c has the whole log", required, early.Endpoint)
		}
		late, ok := find[failover.Promote](s.reportStatus("c", group.RoleReplica, 50, claim.Term, claim.Attempt))
		if !ok || late.Endpoint != "c" {
			t.Errorf("replication required %v: promoted %+v, want c", required, late)
		}
	}
}

// Guards against a guess: while the replica that may hold an acknowledged write is silent, nobody is promoted where writes need a
// replica, and the decision is explained once an attempt.
func TestPromotionWaitsForReplicaThatMayHoldAcknowledgedWrites(t *testing.T) {
	for _, required := range []bool{true, false} {
		s := newAnsweredFixture(func(cfg *failover.Config) { cfg.RequiredReplicas = requiredReplicas(required) })
		claim := s.startSwitchover(t)
		s.demote(t, claim)
		promoted, explained := false, 0
		for range 30 {
			s.now = s.now.Add(sequentialStep)
			actions := append(s.step(failover.ProbeFailed{Endpoint: "c", Refused: true}), s.step(failover.Tick{})...)
			if _, ok := find[failover.Promote](actions); ok {
				promoted = true
			}
			if e, ok := find[failover.Explain](actions); ok && e.Decision == failover.DecisionAwaitLog {
				explained++
			}
		}
		if promoted == required {
			t.Errorf("replication required %v: promoted %v although c is silent and b lacks its log", required, promoted)
		}
		if explained > 1 {
			t.Errorf("the wait is explained %d times in one attempt", explained)
		}
	}
}

// Guards against the loss of acknowledged writes after a crash: a majority of five members need not contain the one replica that
// has received a write.
func TestCrashedPrimaryNeedsAllReplicasWhereWritesNeedOne(t *testing.T) {
	s := newAnsweredFixture(replicationRequired, withMembers("a", "b", "c", "d", "e"))
	report := func(name string, position group.Position, promised group.Term, attempt string) []failover.Action {
		return s.reportStatus(name, group.RoleReplica, position, promised, attempt)
	}
	s.reportStatus("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(900 * time.Millisecond)
	for _, name := range []string{"b", "c", "d", "e"} {
		report(name, 10, 1, "")
	}
	claim, ok := find[failover.Claim](s.advance(200 * time.Millisecond))
	if !ok {
		t.Fatal("the machine did not claim")
	}
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term})
	for _, name := range []string{"b", "c", "d"} {
		report(name, 10, claim.Term, claim.Attempt)
	}
	if promote, early := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt})); early {
		t.Fatalf("promoted %s before e was heard", promote.Endpoint)
	}
	if promote, ok := find[failover.Promote](report("e", 20, claim.Term, claim.Attempt)); !ok || promote.Endpoint != "e" {
		t.Errorf("promoted %+v, want e, which alone has the last write", promote)
	}
}

// Guards against the loss of acknowledged writes when the entry of a silent replica lapses: it may have received writes that the
// others lack, until another replica has as much as the primary had afterwards.
func TestMissingReplicaMayHoldAcknowledgedWrites(t *testing.T) {
	for _, caughtUp := range []bool{false, true} {
		s := newAnsweredFixture(replicationRequired)
		for _, name := range []string{"b", "c"} {
			s.reportStatus(name, group.RoleReplica, 10, 1, "")
		}
		s.reportStatus("a", group.RolePrimary, 20, 1, "")
		s.machine.SetMembers([]string{"a", "b"})
		s.machine.SetMissing([]string{"c"})
		s.reportStatus("a", group.RolePrimary, 21, 1, "")
		received := group.Position(20)
		if caughtUp {
			received = 21
		}
		s.machine.SetMembers([]string{"b"})
		s.machine.SetMissing([]string{"a", "c"})
		promoted := false
		for range 60 {
			s.reportStatus("b", group.RoleReplica, received, 1, "")
			if claim, ok := find[failover.Claim](s.advance(sequentialStep)); ok {
				s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term})
				s.reportStatus("b", group.RoleReplica, received, claim.Term, claim.Attempt)
				_, promoted = find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
				break
			}
		}
		if promoted != caughtUp {
			t.Errorf("b, which had caught up: %v, was promoted: %v", caughtUp, promoted)
		}
	}
}

// Guards against the loss of acknowledged writes in two losses in a row: the primary of the new term may be the only listed member
// that has what was acknowledged in the term before, until a replica has received it.
func TestMissingMemberCountsUntilSuccessorIsReplicated(t *testing.T) {
	for _, caughtUp := range []bool{false, true} {
		s := newAnsweredFixture(replicationRequired)
		report := func(term group.Term, name string, role group.Role, position group.Position, promised group.Term, attempt string) []failover.Action {
			return s.step(failover.Probed{Status: group.NewStatus(group.StatusConfig{
				Endpoint: name, Role: role, Point: group.NewPoint(term, position), Promised: promised, Attempt: attempt,
			})})
		}
		report(1, "a", group.RolePrimary, 20, 1, "")
		s.machine.SetMembers([]string{"b", "c"})
		s.machine.SetMissing([]string{"a"})
		report(2, "c", group.RolePrimary, 21, 2, "")
		report(2, "c", group.RolePrimary, 22, 2, "")
		received, replicaTerm := group.Position(10), group.Term(1)
		if caughtUp {
			received, replicaTerm = 22, 2
		}
		report(replicaTerm, "b", group.RoleReplica, received, 2, "")
		s.machine.SetMembers([]string{"b"})
		s.machine.SetMissing([]string{"a", "c"})
		promoted := false
		for range 60 {
			report(replicaTerm, "b", group.RoleReplica, received, 2, "")
			if claim, ok := find[failover.Claim](s.advance(sequentialStep)); ok {
				s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term})
				report(replicaTerm, "b", group.RoleReplica, received, claim.Term, claim.Attempt)
				_, promoted = find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
				break
			}
		}
		if promoted != caughtUp {
			t.Errorf("b, which had caught up: %v, was promoted: %v", caughtUp, promoted)
		}
	}
}

// Guards against a planned replacement that cannot be completed: the primary is not demoted while no replica that stays keeps up.
func TestSwitchoverWaitsForReplicaThatKeepsUp(t *testing.T) {
	s := newAnsweredFixture(replicationRequired)
	s.machine.SetLeaving([]string{"a"})
	explained := 0
	for position := group.Position(20); position < 60; position++ {
		s.reportStatus("a", group.RolePrimary, position, 1, "")
		s.reportStatus("b", group.RoleReplica, 10, 1, "")
		s.reportStatus("c", group.RoleReplica, 10, 1, "")
		actions := s.advance(sequentialStep)
		if claim, ok := find[failover.Claim](actions); ok {
			t.Fatalf("claimed %+v while both replicas receive nothing", claim)
		}
		if e, ok := find[failover.Explain](actions); ok && e.Decision == failover.DecisionAwaitReplica {
			explained++
		}
	}
	if explained != 1 {
		t.Errorf("the wait is explained %d times, want once", explained)
	}
}
