package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
)

// Guards against a coordinator that keeps its duty although the promotion API does not answer it, and against one that leaves
// the duty for a short failure, for an old one, or where no other instance could take it.
func TestDutyIsLeftToInstancesThatTheAPIMayAnswer(t *testing.T) {
	unreachable := fault.New(fault.Config{Kind: fault.KindUnavailable, Message: "not sent", Cause: fleet.ErrPromotionAPIUnreachable})
	unanswered := fault.New(fault.Config{Kind: fault.KindOutcomeUnknown, Message: "not answered"})
	refused := fault.New(fault.Config{Kind: fault.KindConflict, Message: "the member does not run"})
	for name, tc := range map[string]struct {
		others int
		// orders are the results of orders that are sent 1 s apart.
		orders []error
		// idle is the time from the last order to the claim.
		idle   time.Duration
		yields bool
	}{
		"unreachable for 2 s":                 {1, []error{unreachable, unreachable, unreachable}, 0, true},
		"unreachable for 1 s":                 {1, []error{unreachable, unreachable}, 0, false},
		"unanswered for 2 s":                  {1, []error{unanswered, unanswered, unanswered}, 0, false},
		"unanswered for 5 s":                  {1, []error{unanswered, unanswered, unanswered, unanswered, unanswered, unanswered}, 0, true},
		"first order may have been sent":      {1, []error{unanswered, unreachable, unreachable}, 0, true},
		"answered in between":                 {1, []error{unreachable, unreachable, refused, unreachable}, 0, false},
		"accepted in between":                 {1, []error{unreachable, unreachable, nil, unreachable}, 0, false},
		"alone":                               {0, []error{unreachable, unreachable, unreachable}, 0, false},
		"unreachable in an earlier promotion": {1, []error{unreachable, unreachable, unreachable}, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation()
			lease := sim.lease("one").WithOthers(tc.others)
			if err := claim(t, lease); err != nil {
				t.Fatal(err)
			}
			for k, err := range tc.orders {
				if k > 0 {
					sim.advance(time.Second)
				}
				lease.OrderEnded(err)
			}
			sim.advance(tc.idle)
			err := claim(t, lease)
			if yields := fault.KindOf(err) == fault.KindConflict; yields != tc.yields || err != nil && !yields {
				t.Fatalf("the claim failed with %v, want that the duty is left to others: %v", err, tc.yields)
			}
			if !tc.yields {
				return
			}
			sim.advance(fleet.CoordinatorLeaseDuration)
			other := sim.lease("two").WithOthers(1)
			if err := claim(t, other); err != nil {
				t.Errorf("the other instance cannot claim the duty: %v", err)
			}
			sim.advance(fleet.CoordinatorLeaseDuration)
			if err := claim(t, lease); err != nil {
				t.Errorf("the instance cannot claim the duty any more: %v", err)
			}
		})
	}
}
