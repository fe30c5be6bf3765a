package failover_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

// newAnsweredFixture returns a sequentialFixture whose machine learns the outcome of each promotion order.
func newAnsweredFixture(change ...func(*failover.Config)) *sequentialFixture {
	cfg := sequentialConfig()
	cfg.AnsweredPromotions = true
	for _, f := range change {
		f(&cfg)
	}
	return &sequentialFixture{now: time.Unix(1000, 0), machine: failover.New(cfg)}
}

// promoteAfterLoss makes the machine replace its lost primary, and returns the promotion that it orders.
func (s *sequentialFixture) promoteAfterLoss(t *testing.T) failover.Promote {
	t.Helper()
	claim := s.claimAfterLoss(t)
	return s.promoteAfterClaim(t, claim, failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term})
}

// promoteAfterClaim continues a claimed attempt until it orders a promotion; the members b and c promise the claimed term.
func (s *sequentialFixture) promoteAfterClaim(t *testing.T, claim failover.Claim, won failover.ClaimResult) failover.Promote {
	t.Helper()
	s.step(won)
	s.reportStatus("b", group.RoleReplica, 10, won.Term, claim.Attempt)
	s.reportStatus("c", group.RoleReplica, 12, won.Term, claim.Attempt)
	promote, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
	if !ok {
		t.Fatal("the machine did not promote although no lease remains")
	}
	return promote
}

// answer reports the outcome of a promotion order.
func (s *sequentialFixture) answer(p failover.Promote, outcome failover.PromotionOutcome) []failover.Action {
	return s.step(failover.PromotionAnswered{Attempt: p.Attempt, Endpoint: p.Endpoint, Outcome: outcome})
}

// Guards against orders that take effect after their attempt: whoever sends them must learn that it has ended.
func TestEndedAttemptIsWithdrawn(t *testing.T) {
	s := newAnsweredFixture()
	promote := s.promoteAfterLoss(t)
	s.answer(promote, failover.PromotionAccepted)
	actions := s.advance(3 * time.Second)
	if withdraw, ok := find[failover.Withdraw](actions); !ok || withdraw.Attempt != promote.Attempt {
		t.Errorf("an abandoned attempt was followed by %v, want its withdrawal", actions)
	}
	s = newAnsweredFixture()
	promote = s.promoteAfterLoss(t)
	actions = s.reportStatusIn(2, promote.Endpoint, group.RolePrimary, 2, promote.Attempt)
	if withdraw, ok := find[failover.Withdraw](actions); !ok || withdraw.Attempt != promote.Attempt {
		t.Errorf("a promotion that took effect was followed by %v, want the withdrawal of its attempt", actions)
	}
}

// Guards against a queue of promotion orders: while one is in flight, no other is sent and no other member is chosen.
func TestOnePromotionOrderIsInFlight(t *testing.T) {
	s := newAnsweredFixture()
	s.promoteAfterLoss(t)
	for range 100 {
		if actions := s.advance(sequentialStep); len(actions) != 0 {
			t.Fatalf("%v while an order is in flight", actions)
		}
	}
	s = newAnsweredFixture()
	promote := s.promoteAfterLoss(t)
	s.answer(promote, failover.PromotionNotSent)
	if again, ok := find[failover.Promote](s.advance(sequentialStep)); !ok || again.Endpoint != promote.Endpoint {
		t.Errorf("%+v was ordered after %+v was not sent", again, promote)
	}
}

// abandonAccepted lets an accepted promotion have no visible effect until its attempt is abandoned, and returns the claim of
// the next attempt.
func (s *sequentialFixture) abandonAccepted(t *testing.T, promote failover.Promote) failover.Claim {
	t.Helper()
	s.answer(promote, failover.PromotionAccepted)
	for range 100 {
		s.reportStatus("b", group.RoleReplica, 10, promote.Term, promote.Attempt)
		s.reportStatus("c", group.RoleReplica, 12, promote.Term, promote.Attempt)
		if claim, ok := find[failover.Claim](s.advance(sequentialStep)); ok {
			return claim
		}
	}
	t.Fatal("no attempt followed a promotion that had no visible effect")
	return failover.Claim{}
}

// Guards against two primaries in use: a promotion whose effect was not seen has used a term, and the member that it promoted
// may hold leases.
func TestAttemptCountsTermOfUnseenPromotion(t *testing.T) {
	s := newAnsweredFixture()
	first := s.promoteAfterLoss(t)
	claim := s.abandonAccepted(t, first)
	if claim.Term != first.Term+1 {
		t.Errorf("claimed term %d after an order for term %d", claim.Term, first.Term)
	}
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term, Orders: first.Orders})
	s.reportStatus("b", group.RoleReplica, 10, claim.Term, claim.Attempt)
	revoke, _ := find[failover.Revoke](s.reportStatus("c", group.RoleReplica, 12, claim.Term, claim.Attempt))
	want := failover.Revoke{Term: first.Term, Attempt: claim.Attempt, Reported: 1, Ordered: []string{first.Endpoint}}
	if !reflect.DeepEqual(revoke, want) {
		t.Errorf("revoked %+v, want %+v", revoke, want)
	}
	second, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt}))
	settled := first.Orders[0]
	settled.Settled = true
	if !ok || len(second.Orders) != 2 || second.Orders[0] != settled {
		t.Fatalf("ordered %+v, want the record of both orders", second)
	}
	// The first member leads after all, and the second one, a moment later, in the next term.
	s.answer(second, failover.PromotionAccepted)
	if actions := s.reportStatusIn(2, first.Endpoint, group.RolePrimary, 2, ""); len(actions) != 0 {
		t.Errorf("%v when the earlier promotion took effect", actions)
	}
	if _, ok := find[failover.Publish](s.reportStatusIn(3, second.Endpoint, group.RolePrimary, 3, "")); !ok {
		t.Error("the effect of the later promotion was not recognised")
	}
}

// Guards against a group without a usable primary: the member of an earlier order leads, the later order has no effect, and no
// instance may hold a lease on the primary that answers.
func TestSupersededPrimaryIsReplaced(t *testing.T) {
	s := newAnsweredFixture()
	first := s.promoteAfterLoss(t)
	claim := s.abandonAccepted(t, first)
	second := s.promoteAfterClaim(t, claim, failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term, Orders: first.Orders})
	s.answer(second, failover.PromotionAccepted)
	var next failover.Claim
	for range 100 {
		s.reportStatusIn(2, first.Endpoint, group.RolePrimary, 2, "")
		s.reportStatusIn(2, second.Endpoint, group.RoleReplica, claim.Term, claim.Attempt)
		var ok bool
		if next, ok = find[failover.Claim](s.advance(sequentialStep)); ok {
			break
		}
	}
	if next.Term != claim.Term+1 {
		t.Fatalf("claimed %+v after orders up to term %d", next, claim.Term)
	}
	// Another instance has completed the replacement meanwhile.
	done := failover.Order{Endpoint: first.Endpoint, After: 1, Term: 9}
	actions := s.step(failover.ClaimResult{Attempt: next.Attempt, Outcome: failover.ClaimWon, Term: 10, Orders: []failover.Order{done}})
	if _, ok := find[failover.Withdraw](actions); !ok {
		t.Errorf("the attempt continued with %v though the primary is in place by the newest order", actions)
	}
}

// Guards against a fleet of two builds: an order for an unknown member ends the leases of all members.
func TestOrderForUnknownMemberRevokesAllLeases(t *testing.T) {
	s := newAnsweredFixture()
	claim := s.claimAfterLoss(t)
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 5, Orders: []failover.Order{{Term: 4}}})
	s.reportStatus("b", group.RoleReplica, 10, 5, claim.Attempt)
	revoke, _ := find[failover.Revoke](s.reportStatus("c", group.RoleReplica, 12, 5, claim.Attempt))
	if revoke.Term != 4 || len(revoke.Ordered) != 0 {
		t.Errorf("revoked %+v, want all leases up to term 4", revoke)
	}
}

// Guards against two promotions after an outage of the promotion API: an order that was not answered may still be run, so no
// other member is ordered until the platform has answered for the first one.
func TestUnansweredOrderKeepsItsMember(t *testing.T) {
	s := newAnsweredFixture()
	first := s.promoteAfterLoss(t)
	actions := s.answer(first, failover.PromotionUnanswered)
	for range 500 {
		if _, ended := find[failover.Withdraw](actions); ended {
			t.Fatal("the attempt ended while an order was unanswered")
		}
		if again, ok := find[failover.Promote](actions); ok {
			if again.Endpoint != first.Endpoint {
				t.Fatalf("%s was ordered while the order for %s was unanswered", again.Endpoint, first.Endpoint)
			}
			actions = s.answer(again, failover.PromotionUnanswered)
			continue
		}
		actions = s.advance(sequentialStep)
	}
	again, ok := find[failover.Promote](s.advance(sequentialStep))
	if !ok {
		again = first
	}
	// The member does not run: no other one is ordered before the unanswered orders have had their time.
	if actions := s.answer(again, failover.PromotionRefused); len(actions) != 0 {
		t.Errorf("%v right after the answer", actions)
	}
	if _, ended := find[failover.Withdraw](s.advance(2900 * time.Millisecond)); ended {
		t.Error("the attempt ended before the unanswered orders had their time")
	}
	if _, ended := find[failover.Withdraw](s.advance(200 * time.Millisecond)); !ended {
		t.Error("the attempt did not end")
	}
}

// Guards against a long time without a primary: a member of which the platform says that it does not run is given up at once.
func TestRefusedMemberIsGivenUpAtOnce(t *testing.T) {
	s := newAnsweredFixture()
	first := s.promoteAfterLoss(t)
	if _, ended := find[failover.Withdraw](s.answer(first, failover.PromotionRefused)); !ended {
		t.Fatal("the attempt continues")
	}
	var claim failover.Claim
	for ok := false; !ok; claim, ok = find[failover.Claim](s.advance(sequentialStep)) {
		s.reportStatus("b", group.RoleReplica, 10, first.Term, first.Attempt)
		s.reportStatus("c", group.RoleReplica, 12, first.Term, first.Attempt)
	}
	second := s.promoteAfterClaim(t, claim, failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term, Orders: first.Orders})
	if second.Endpoint == first.Endpoint {
		t.Errorf("%s was ordered again", second.Endpoint)
	}
}

// Guards against two promotions after a coordinator was killed: its order may still be run, also if the member cannot be reached
// or is not listed.
func TestOrderOfPredecessorIsContinued(t *testing.T) {
	for _, ordered := range []string{"b", "unlisted"} {
		for _, settled := range []bool{false, true} {
			s := newAnsweredFixture()
			claim := s.claimAfterLoss(t)
			order := failover.Order{Endpoint: ordered, After: 1, Term: 2, Settled: settled}
			s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 3, Orders: []failover.Order{order}})
			s.reportStatus("b", group.RoleReplica, 10, 3, claim.Attempt)
			revoke, _ := find[failover.Revoke](s.reportStatus("c", group.RoleReplica, 12, 3, claim.Attempt))
			if spared := len(revoke.Ordered) == 0; spared == settled {
				t.Errorf("settled %v: revoked %+v", settled, revoke)
			}
			want := ordered
			if settled {
				want = "c"
			}
			if promote, _ := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt})); promote.Endpoint != want {
				t.Errorf("settled %v: ordered %q, want %s", settled, promote.Endpoint, want)
			}
		}
	}
}

// Guards against two coordinators: an attempt whose group another one has claimed ends, and its order is not taken for settled.
func TestPreemptedAttemptLeavesItsOrderOpen(t *testing.T) {
	s := newAnsweredFixture()
	first := s.promoteAfterLoss(t)
	s.answer(first, failover.PromotionUnanswered)
	again, _ := find[failover.Promote](s.advance(sequentialStep))
	if _, ended := find[failover.Withdraw](s.answer(again, failover.PromotionPreempted)); !ended {
		t.Fatal("the attempt continues")
	}
	var claim failover.Claim
	for ok := false; !ok; claim, ok = find[failover.Claim](s.advance(sequentialStep)) {
		s.reportStatus("b", group.RoleReplica, 30, first.Term, first.Attempt)
		s.reportStatus("c", group.RoleReplica, 12, first.Term, first.Attempt)
	}
	won := failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term, Orders: first.Orders}
	if next := s.promoteAfterClaim(t, claim, won); next.Endpoint != first.Endpoint {
		t.Errorf("%s was ordered though the order for %s is open", next.Endpoint, first.Endpoint)
	}
}

// Guards against leases on a primary of which nothing is known: its coordinator could not record the order. They are waited out
// although all instances have ended the leases that could be named.
func TestLeasesOfUnrecordedOrderAreWaitedOut(t *testing.T) {
	s := newAnsweredFixture()
	claim := s.claimAfterLoss(t)
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: 3, Interrupted: true})
	s.reportStatus("b", group.RoleReplica, 10, 3, claim.Attempt)
	s.reportStatus("c", group.RoleReplica, 12, 3, claim.Attempt)
	if early, ok := find[failover.Promote](s.step(failover.Revoked{Attempt: claim.Attempt})); ok {
		t.Errorf("ordered %s before a lease can have ended", early.Endpoint)
	}
	if _, ok := find[failover.Promote](s.advance(sequentialLease + 20*time.Millisecond)); !ok {
		t.Error("nobody was ordered after the leases had ended")
	}
}

// Guards against the same for the coordinator itself: the record that it reads with its next claim lacks the order, and has an
// older one.
func TestOrderWithoutRecordIsRemembered(t *testing.T) {
	s := newAnsweredFixture()
	first := s.promoteAfterLoss(t)
	claim := s.abandonAccepted(t, first)
	older := failover.Order{Endpoint: "a", After: 0, Term: 1}
	s.step(failover.ClaimResult{Attempt: claim.Attempt, Outcome: failover.ClaimWon, Term: claim.Term, Orders: []failover.Order{older}})
	s.reportStatus("b", group.RoleReplica, 10, claim.Term, claim.Attempt)
	revoke, _ := find[failover.Revoke](s.reportStatus("c", group.RoleReplica, 12, claim.Term, claim.Attempt))
	if !slices.Contains(revoke.Ordered, first.Endpoint) || revoke.Term != first.Term {
		t.Errorf("revoked %+v, want the leases of %s up to term %d", revoke, first.Endpoint, first.Term)
	}
}
