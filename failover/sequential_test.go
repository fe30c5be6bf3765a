package failover_test

import (
	"slices"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

const (
	sequentialLease = time.Second
	sequentialStep  = 100 * time.Millisecond
)

// sequentialFixture is a machine configured for a platform that numbers the terms and never promotes a demoted primary.
type sequentialFixture struct {
	machine *failover.Machine
	now     time.Time
}

func newSequentialFixture() *sequentialFixture {
	return &sequentialFixture{now: time.Unix(1000, 0), machine: failover.New(sequentialConfig())}
}

func sequentialConfig() failover.Config {
	return failover.Config{
		Group: "orders", Instance: "i", Members: []string{"a", "b", "c"}, Lease: sequentialLease,
		SuspectAfter: time.Second, RefusedAfter: 200 * time.Millisecond, Stagger: time.Second, StepTimeout: sequentialStep,
		TakeOverAfter: 3 * time.Second, CatchUpTimeout: time.Second, ClaimTimeout: 2 * time.Second,
		ClaimRequired: true, SequentialTerms: true, ExcludeDemoted: true, ReleaseAbandoned: true,
	}
}

func (s *sequentialFixture) step(e failover.Event) []failover.Action { return s.machine.Step(s.now, e) }

// advance moves the virtual time forward by d and sends a tick.
func (s *sequentialFixture) advance(d time.Duration) []failover.Action {
	s.now = s.now.Add(d)
	return s.step(failover.Tick{})
}

// reportStatus sends the machine a probe result of a member in term 1.
func (s *sequentialFixture) reportStatus(name string, role group.Role, position group.Position, promised group.Term, attempt string) []failover.Action {
	return s.step(failover.Probed{Status: group.NewStatus(group.StatusConfig{
		Endpoint: name, Role: role, Point: group.NewPoint(1, position), Promised: promised, Attempt: attempt,
	})})
}

// find returns the first action of type A.
func find[A failover.Action](actions []failover.Action) (found A, ok bool) {
	for _, a := range actions {
		if found, ok = a.(A); ok {
			return found, true
		}
	}
	return found, false
}

// claimAfterLoss makes the machine lose its primary and returns the resulting claim.
func (s *sequentialFixture) claimAfterLoss(t *testing.T) failover.Claim {
	t.Helper()
	s.reportStatus("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(900 * time.Millisecond)
	s.reportStatus("b", group.RoleReplica, 10, 1, "")
	s.reportStatus("c", group.RoleReplica, 12, 1, "")
	claim, ok := find[failover.Claim](s.advance(200 * time.Millisecond))
	if !ok {
		t.Fatal("the machine did not claim")
	}
	return claim
}

func TestTheDemotedPrimaryIsNotPromotedAgain(t *testing.T) {
	s := newSequentialFixture()
	claim := s.claimAfterLoss(t)
	if claim.Term != 2 {
		t.Errorf("claimed term %d, want the next term", claim.Term)
	}
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	s.reportStatus("a", group.RoleReplica, 20, 2, claim.Attempt)
	s.reportStatus("b", group.RoleReplica, 10, 2, claim.Attempt)
	s.reportStatus("c", group.RoleReplica, 12, 2, claim.Attempt)
	promote, ok := find[failover.Promote](s.advance(sequentialLease + 20*time.Millisecond))
	if !ok || promote.Endpoint != "c" {
		t.Errorf("promoted %+v, want c, which has the longest log except for the demoted primary", promote)
	}
}

func TestAbandonedAttemptIsRepeatedInTheSameTerm(t *testing.T) {
	s := newSequentialFixture()
	first := s.claimAfterLoss(t)
	s.step(failover.ClaimResult{Attempt: first.Attempt, Outcome: failover.ClaimUnavailable})
	if _, repeated := find[failover.Claim](s.advance(sequentialStep / 2)); repeated {
		t.Error("claimed again without a pause")
	}
	second, ok := find[failover.Claim](s.advance(sequentialStep))
	if !ok || second.Term != first.Term {
		t.Errorf("claimed %+v after %+v, want the same term", second, first)
	}
}

func TestSlowClaimIsNotAbandoned(t *testing.T) {
	s := newSequentialFixture()
	claim := s.claimAfterLoss(t)
	s.advance(time.Second)
	actions := s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	if _, ok := find[failover.Fence](actions); !ok {
		t.Error("a claim that took a second was abandoned")
	}
}

// An instance that is partitioned from all others must not start a promotion, even if it reaches the members.
func TestInstancesThatDoNotAnswerCount(t *testing.T) {
	s := newSequentialFixture()
	s.step(failover.Fleet{Others: 6})
	s.reportStatus("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(900 * time.Millisecond)
	s.reportStatus("b", group.RoleReplica, 10, 1, "")
	s.reportStatus("c", group.RoleReplica, 12, 1, "")
	for range 20 {
		if claim, ok := find[failover.Claim](s.advance(50 * time.Millisecond)); ok {
			t.Fatalf("claimed %+v without views of the other instances", claim)
		}
	}
}

// Once every instance has ended its lease, the promotion need not wait for the leases to expire.
func TestRevokedLeasesAreNotWaitedOut(t *testing.T) {
	s := newSequentialFixture()
	claim := s.claimAfterLoss(t)
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	s.reportStatus("b", group.RoleReplica, 10, 2, claim.Attempt)
	revoke, ok := find[failover.Revoke](s.reportStatus("c", group.RoleReplica, 12, 2, claim.Attempt))
	if !ok || revoke.Term != 1 {
		t.Fatalf("requested %+v, want the leases of term 1", revoke)
	}
	if _, early := find[failover.Promote](s.advance(sequentialStep)); early {
		t.Fatal("promoted before the leases ended")
	}
	if _, promoted := find[failover.Promote](s.step(failover.Revoked{Attempt: "another"})); promoted {
		t.Fatal("promoted after the revocation for another attempt")
	}
	if promote, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: revoke.Attempt})); !ok || promote.Endpoint != "c" {
		t.Errorf("promoted %+v, want c at once", promote)
	}
}

// A replica fenced for an abandoned promotion must be released, since it replicates nothing until then.
func TestAnAbandonedAttemptReleasesItsReplicas(t *testing.T) {
	s := newSequentialFixture()
	claim := s.claimAfterLoss(t)
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	s.reportStatus("b", group.RoleReplica, 10, 2, claim.Attempt)
	var release failover.Release
	var ok bool
	for range 100 {
		if release, ok = find[failover.Release](s.advance(50 * time.Millisecond)); ok {
			break
		}
	}
	if !ok || release.Endpoint != "b" {
		t.Errorf("released %+v, want b", release)
	}
}

// The instance that replaces a leaving primary is killed after it has demoted it. All members answer, but none is
// primary or fenced. Another instance must start a promotion, but not while the first attempt could still continue.
func TestInterruptedSwitchoverIsTakenOver(t *testing.T) {
	s := newSequentialFixture()
	s.reportStatus("a", group.RolePrimary, 20, 1, "")
	var claim failover.Claim
	ok := false
	for waited := time.Duration(0); !ok && waited < 10*time.Second; waited += 100 * time.Millisecond {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, name := range []string{"a", "b", "c"} {
			if claim, ok = find[failover.Claim](s.reportStatus(name, group.RoleReplica, 20, 1, "")); ok {
				break
			}
		}
		if ok && waited < 2*time.Second {
			t.Fatalf("claimed %+v after %v, although the other attempt may continue", claim, waited)
		}
	}
	if !ok || claim.Term != 2 {
		t.Fatalf("claimed %+v, %v; want the next term", claim, ok)
	}
}

// reportStatusIn sends the machine a probe result of a member in term, at a fixed position.
func (s *sequentialFixture) reportStatusIn(term group.Term, name string, role group.Role, promised group.Term, attempt string) []failover.Action {
	return s.step(failover.Probed{Status: group.NewStatus(group.StatusConfig{
		Endpoint: name, Role: role, Point: group.NewPoint(term, 20), Promised: promised, Attempt: attempt,
	})})
}

// All instances are killed while one of them replaces a leaving primary. The old primary is demoted, the others are
// fenced, and none of the restarted instances has ever observed a primary. A restarted instance must promote a member,
// and try another one if the first promotion has no effect.
func TestRestartedInstanceReplacesInterruptedPromotion(t *testing.T) {
	s := newSequentialFixture()
	promiseHolders := map[string]string{"a": "held-0", "b": "held-3", "c": "held-3"}
	until := func(want string, ok func([]failover.Action) bool) {
		t.Helper()
		for waited := time.Duration(0); waited < 15*time.Second; waited += 50 * time.Millisecond {
			for _, name := range []string{"a", "b", "c"} {
				promised := group.Term(2)
				if promiseHolders[name] != "held-0" {
					promised = 3
				}
				if ok(s.reportStatusIn(2, name, group.RoleReplica, promised, promiseHolders[name])) {
					return
				}
			}
			if ok(s.advance(50 * time.Millisecond)) {
				return
			}
		}
		t.Fatalf("no %s within 15s", want)
	}
	attempt := func(term group.Term, ordered ...string) string {
		t.Helper()
		var claim failover.Claim
		until("claim", func(as []failover.Action) (ok bool) {
			claim, ok = find[failover.Claim](as)
			return ok
		})
		if claim.Term != term {
			t.Fatalf("claimed term %d, want %d, the term after that of the members and of the earlier order", claim.Term, term)
		}
		s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: term})
		var revoke failover.Revoke
		for _, name := range []string{"a", "b", "c"} {
			if r, ok := find[failover.Revoke](s.reportStatusIn(2, name, group.RoleReplica, term, claim.Attempt)); ok {
				revoke = r
			}
		}
		if revoke.Term != term-1 || revoke.Reported != 2 || !slices.Equal(revoke.Ordered, ordered) {
			t.Fatalf("revoked %+v, want the leases of term 2, and of %v up to term %d", revoke, ordered, term-1)
		}
		promote, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
		if !ok {
			t.Fatal("did not promote although no lease remains")
		}
		return promote.Endpoint
	}
	first := attempt(3)
	if second := attempt(4, first); second == first {
		t.Errorf("promoted %s again although the first promotion had no effect", first)
	}
}

// Load: a primary goes dark. The instance that probes it notices first, and the others a relay interval later; the attempt
// must start with the second confirmation rather than with the next step.
func TestViewsAreQueriedAgainUntilMajorityConfirms(t *testing.T) {
	s := newSequentialFixture()
	s.machine = failover.New(failover.Config{
		Group: "orders", Instance: "i", Members: []string{"a", "b", "c"}, Lease: sequentialLease,
		SuspectAfter: time.Second, Stagger: time.Second, StepTimeout: 300 * time.Millisecond, ViewInterval: 100 * time.Millisecond,
		TakeOverAfter: 3 * time.Second, ClaimRequired: true, SequentialTerms: true,
	})
	s.step(failover.Fleet{Others: 2})
	s.reportStatus("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(900 * time.Millisecond)
	s.reportStatus("b", group.RoleReplica, 20, 1, "")
	s.reportStatus("c", group.RoleReplica, 20, 1, "")
	if _, ok := find[failover.QueryViews](s.advance(100 * time.Millisecond)); !ok {
		t.Fatal("views are not queried although the primary is silent")
	}
	view := func(instance string, lost bool) []failover.Action {
		return s.step(failover.View{Instance: instance, Term: 1, Lost: lost})
	}
	view("j", false)
	view("k", false)
	if _, ok := find[failover.QueryViews](s.advance(50 * time.Millisecond)); ok {
		t.Error("views are queried again after half of the interval")
	}
	if _, ok := find[failover.QueryViews](s.advance(50 * time.Millisecond)); !ok {
		t.Fatal("views are not queried again after the interval")
	}
	if _, ok := find[failover.Claim](view("j", true)); !ok {
		t.Error("no attempt starts although two of three instances have lost the primary")
	}
}

// Load: a partition that lasts. An instance without a majority must not query the others ever more often.
func TestSuspendedPromotionQueriesViewsOncePerStep(t *testing.T) {
	const step = 300 * time.Millisecond
	s := newSequentialFixture()
	s.machine = failover.New(failover.Config{
		Group: "orders", Instance: "i", Members: []string{"a", "b", "c"}, Lease: sequentialLease,
		SuspectAfter: time.Second, Stagger: time.Second, StepTimeout: step, ViewInterval: 100 * time.Millisecond,
		TakeOverAfter: 3 * time.Second, ClaimRequired: true, SequentialTerms: true,
	})
	s.step(failover.Fleet{Others: 2})
	s.reportStatus("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(sequentialLease)
	queries := 0
	for range 60 {
		if _, ok := find[failover.QueryViews](s.advance(50 * time.Millisecond)); ok {
			queries++
		}
	}
	// Three seconds hold at most nine steps and one tick between two of them; the first step has two queries more.
	if limit := 11; queries > limit {
		t.Errorf("%d queries in three seconds without a majority, want at most %d", queries, limit)
	}
}
