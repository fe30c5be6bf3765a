package experiment_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// maxBelowLimit is the requirement on refusals below the limit in the steady state.
const maxBelowLimit = 0.001

// Load: 76 accounts with 1,050 operations a second over 10 instances, with a hot account, moves, a partition, restarts and
// lost calls. No window may exceed its bound; in the steady state, hardly an operation may be refused below the limit.
func TestQuotasOfFleetStayWithinBound(t *testing.T) {
	for _, cfg := range experiment.QuotaScenarios(10, 1) {
		t.Run(cfg.Name, func(t *testing.T) {
			r := experiment.RunQuota(cfg)
			if r.Violations > 0 {
				t.Errorf("%d operations beyond the bound, the worst window at %.2f of it, want none", r.Violations, r.Peak)
			}
			if cfg.Name == "steady" && r.BelowShare() > maxBelowLimit {
				t.Errorf("%.3f%% of the operations were refused below the limit, want at most %.1f%%", 100*r.BelowShare(), 100*maxBelowLimit)
			}
		})
	}
}
