package experiment_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// leastOfPossible is the aim for the product's policy.
const leastOfPossible = 0.95

func TestPoliciesSideBySide(t *testing.T) {
	for _, cfg := range []experiment.LoadConfig{experiment.BairdLennox(1), experiment.Lellu(1)} {
		for _, c := range experiment.Contenders() {
			r := experiment.Run(cfg, c)
			t.Logf("%-13s %-24s reads %6d  share %5.1f%%  of possible %5.1f%%  misses %5d  stale %4d  mean wait %v",
				r.Load, r.Policy, r.Reads, 100*r.Share(), 100*r.OfPossible(), r.Misses, r.Stale, r.MeanWait)
			if c.Verify && r.Stale > 0 {
				t.Errorf("%s: %d stale answers", c.Name, r.Stale)
			}
			if c.Name == "floor, predicted" && r.OfPossible() < leastOfPossible {
				t.Errorf("%s on %s: %.1f%% of the possible replica reads, want %.0f%%", c.Name, r.Load, 100*r.OfPossible(), 100*leastOfPossible)
			}
		}
	}
}
