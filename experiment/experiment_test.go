package experiment_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// minShareOfPossible is the objective for "floor, predicted", the proxy's default policy.
const minShareOfPossible = 0.95

func TestComparePolicies(t *testing.T) {
	for _, cfg := range []experiment.LoadConfig{experiment.BairdLennox(1), experiment.Lellu(1)} {
		for _, variant := range experiment.Variants() {
			r := experiment.Run(cfg, variant)
			t.Logf("%-13s %-24s reads %6d  share %5.1f%%  of possible %5.1f%%  misses %5d  stale %4d  mean wait %v",
				r.Load, r.Policy, r.Reads, 100*r.ReplicaShare(), 100*r.ShareOfPossible(), r.Misses, r.Stale, r.MeanWait)
			if variant.Verify && r.Stale > 0 {
				t.Errorf("%s: %d stale answers", variant.Name, r.Stale)
			}
			if variant.Name == "floor, predicted" && r.ShareOfPossible() < minShareOfPossible {
				t.Errorf("%s on %s: %.1f%% of the possible replica reads, want %.0f%%", variant.Name, r.Load, 100*r.ShareOfPossible(), 100*minShareOfPossible)
			}
		}
	}
}
