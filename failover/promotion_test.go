package failover_test

import (
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
