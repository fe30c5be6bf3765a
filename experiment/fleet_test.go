package experiment_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// controlBudget is the traffic between instances for which a fleet is designed, in bytes per second and instance.
const controlBudget = 8000

// Load: all instances of a large fleet start at once and know only three seeds. What they send each other until all know
// each other must stay within the budget, and must not grow with the number of instances times that of their exchanges.
func TestStartOfFleetStaysWithinControlBudget(t *testing.T) {
	r := experiment.RunFleet(t.Context(), experiment.DefaultFleet(150))
	if got := r.StartBytesPerSecond(); got > controlBudget {
		t.Errorf("an instance causes %.0f bytes a second during the start, want at most %d", got, controlBudget)
	}
	if r.KnownAfter == 0 || r.JoinedAfter == 0 || r.ChangeAfter == 0 {
		t.Errorf("the instances joined after %v, all knew each other after %v and had a change after %v, want all of them",
			r.JoinedAfter, r.KnownAfter, r.ChangeAfter)
	}
}
