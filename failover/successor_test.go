package failover_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

const (
	successorLease = time.Second
	successorStep  = 100 * time.Millisecond
)

// successor is a machine on a platform that numbers the terms and never promotes the primary that was demoted.
type successor struct {
	machine *failover.Machine
	now     time.Time
}

func newSuccessor() *successor {
	return &successor{now: time.Unix(1000, 0), machine: failover.New(failover.Config{
		Group: "orders", Instance: "i", Members: []string{"a", "b", "c"}, Lease: successorLease,
		SuspectAfter: time.Second, RefusedAfter: 200 * time.Millisecond, Stagger: time.Second, StepTimeout: successorStep,
		TakeOverAfter: 3 * time.Second, CatchUp: time.Second, ClaimTimeout: 2 * time.Second,
		ClaimRequired: true, Successor: true, KeepDemoted: true, ReleaseAbandoned: true,
	})}
}

func (s *successor) step(e failover.Event) []failover.Action { return s.machine.Step(s.now, e) }

func (s *successor) pass(d time.Duration) []failover.Action {
	s.now = s.now.Add(d)
	return s.step(failover.Tick{})
}

// probed tells a status; promised is the term that the member is held for.
func (s *successor) probed(name string, role group.Role, position group.Position, promised group.Term, attempt string) []failover.Action {
	return s.step(failover.Probed{Status: group.NewStatus(group.StatusConfig{
		Endpoint: name, Role: role, Point: group.NewPoint(1, position), Promised: promised, Attempt: attempt,
	})})
}

func find[A failover.Action](actions []failover.Action) (found A, ok bool) {
	for _, a := range actions {
		if found, ok = a.(A); ok {
			return found, true
		}
	}
	return found, false
}

// suspect makes the machine lose its primary and claim.
func (s *successor) suspect(t *testing.T) failover.Claim {
	t.Helper()
	s.probed("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(900 * time.Millisecond)
	s.probed("b", group.RoleReplica, 10, 1, "")
	s.probed("c", group.RoleReplica, 12, 1, "")
	claim, ok := find[failover.Claim](s.pass(200 * time.Millisecond))
	if !ok {
		t.Fatal("the machine did not claim")
	}
	return claim
}

func TestTheDemotedPrimaryIsNotPromotedAgain(t *testing.T) {
	s := newSuccessor()
	claim := s.suspect(t)
	if claim.Term != 2 {
		t.Errorf("went for term %d, want the next", claim.Term)
	}
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	s.probed("a", group.RoleReplica, 20, 2, claim.Attempt)
	s.probed("b", group.RoleReplica, 10, 2, claim.Attempt)
	s.probed("c", group.RoleReplica, 12, 2, claim.Attempt)
	promote, ok := find[failover.Promote](s.pass(successorLease + 20*time.Millisecond))
	if !ok || promote.Endpoint != "c" {
		t.Errorf("promoted %+v, want c, the longest log besides the demoted primary's", promote)
	}
}

func TestAnAbandonedAttemptGoesForTheSameTermAgain(t *testing.T) {
	s := newSuccessor()
	first := s.suspect(t)
	s.step(failover.ClaimResult{Attempt: first.Attempt, Outcome: failover.ClaimUnavailable})
	if _, again := find[failover.Claim](s.pass(successorStep / 2)); again {
		t.Error("claimed again without a pause")
	}
	second, ok := find[failover.Claim](s.pass(successorStep))
	if !ok || second.Term != first.Term {
		t.Errorf("claimed %+v after %+v, want the same term", second, first)
	}
}

func TestASlowStoreIsWaitedFor(t *testing.T) {
	s := newSuccessor()
	claim := s.suspect(t)
	s.pass(time.Second)
	actions := s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	if _, ok := find[failover.Fence](actions); !ok {
		t.Error("a claim that took a second was given up")
	}
}

// An instance that is cut off from the others does not decide alone.
func TestInstancesThatDoNotAnswerCount(t *testing.T) {
	s := newSuccessor()
	s.step(failover.Fleet{Others: 6})
	s.probed("a", group.RolePrimary, 20, 1, "")
	s.now = s.now.Add(900 * time.Millisecond)
	s.probed("b", group.RoleReplica, 10, 1, "")
	s.probed("c", group.RoleReplica, 12, 1, "")
	for range 20 {
		if claim, ok := find[failover.Claim](s.pass(50 * time.Millisecond)); ok {
			t.Fatalf("claimed %+v without a view of the others", claim)
		}
	}
}

// Where every instance gives its lease up, the promotion need not wait it out.
func TestRevokedLeasesAreNotWaitedOut(t *testing.T) {
	s := newSuccessor()
	claim := s.suspect(t)
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	s.probed("b", group.RoleReplica, 10, 2, claim.Attempt)
	revoke, ok := find[failover.Revoke](s.probed("c", group.RoleReplica, 12, 2, claim.Attempt))
	if !ok || revoke.Term != 1 {
		t.Fatalf("asked for %+v, want the leases of term 1", revoke)
	}
	if _, early := find[failover.Promote](s.pass(successorStep)); early {
		t.Fatal("promoted before the leases ended")
	}
	if _, wrong := find[failover.Promote](s.step(failover.Revoked{Attempt: "another"})); wrong {
		t.Fatal("promoted on the word about another attempt")
	}
	if promote, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: revoke.Attempt})); !ok || promote.Endpoint != "c" {
		t.Errorf("promoted %+v, want c at once", promote)
	}
}

// A replica that is held for a promotion that came to nothing receives again.
func TestAnAbandonedAttemptReleasesItsReplicas(t *testing.T) {
	s := newSuccessor()
	claim := s.suspect(t)
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 2})
	s.probed("b", group.RoleReplica, 10, 2, claim.Attempt)
	var release failover.Release
	var ok bool
	for range 100 {
		if release, ok = find[failover.Release](s.pass(50 * time.Millisecond)); ok {
			break
		}
	}
	if !ok || release.Endpoint != "b" {
		t.Errorf("released %+v, want b", release)
	}
}

// The pattern: the instance that replaces a leaving primary is killed once it has demoted it. The members answer, and
// none of them leads or is held.
func TestAGroupLeftWithoutAPrimaryIsTakenOver(t *testing.T) {
	s := newSuccessor()
	s.probed("a", group.RolePrimary, 20, 1, "")
	var claim failover.Claim
	ok := false
	for waited := time.Duration(0); !ok && waited < 10*time.Second; waited += 100 * time.Millisecond {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, name := range []string{"a", "b", "c"} {
			if claim, ok = find[failover.Claim](s.probed(name, group.RoleReplica, 20, 1, "")); ok {
				break
			}
		}
		if ok && waited < 2*time.Second {
			t.Fatalf("claimed %+v after %v, though the other attempt may go on", claim, waited)
		}
	}
	if !ok || claim.Term != 2 {
		t.Fatalf("claimed %+v, %v; want the next term", claim, ok)
	}
}

// probedIn tells the status of a member in a term.
func (s *successor) probedIn(term group.Term, name string, role group.Role, promised group.Term, attempt string) []failover.Action {
	return s.step(failover.Probed{Status: group.NewStatus(group.StatusConfig{
		Endpoint: name, Role: role, Point: group.NewPoint(term, 20), Promised: promised, Attempt: attempt,
	})})
}

// The pattern: all instances are killed while one of them replaces a leaving primary. The old primary is demoted, the
// others are held, and none of the instances that start again has ever seen a primary.
func TestAPromotionThatDiedWithAllInstancesIsTakenUp(t *testing.T) {
	s := newSuccessor()
	left := map[string]string{"a": "held-0", "b": "held-3", "c": "held-3"}
	until := func(want string, ok func([]failover.Action) bool) {
		t.Helper()
		for waited := time.Duration(0); waited < 15*time.Second; waited += 50 * time.Millisecond {
			for _, name := range []string{"a", "b", "c"} {
				promised := group.Term(2)
				if left[name] != "held-0" {
					promised = 3
				}
				if ok(s.probedIn(2, name, group.RoleReplica, promised, left[name])) {
					return
				}
			}
			if ok(s.pass(50 * time.Millisecond)) {
				return
			}
		}
		t.Fatalf("no %s within 15s", want)
	}
	attempt := func() string {
		t.Helper()
		var claim failover.Claim
		until("claim", func(as []failover.Action) (ok bool) {
			claim, ok = find[failover.Claim](as)
			return ok
		})
		if claim.Term != 3 {
			t.Fatalf("went for term %d, want the one after the members'", claim.Term)
		}
		s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 3})
		var revoke failover.Revoke
		for _, name := range []string{"a", "b", "c"} {
			if r, ok := find[failover.Revoke](s.probedIn(2, name, group.RoleReplica, 3, claim.Attempt)); ok {
				revoke = r
			}
		}
		if revoke.Term != 2 {
			t.Fatalf("revoked the leases of term %d, want 2", revoke.Term)
		}
		promote, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
		if !ok {
			t.Fatal("did not promote though no lease is left")
		}
		return promote.Endpoint
	}
	first := attempt()
	if second := attempt(); second == first {
		t.Errorf("promoted %s again though that had no effect", first)
	}
}
