package experiment_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

func scenario(t *testing.T, name string) experiment.Scenario {
	t.Helper()
	for _, s := range experiment.Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return experiment.Scenario{}
}

// sum adds up the results of a variant over several seeds, and returns the mean of the worst windows.
func sum(s experiment.Scenario, v experiment.GroupVariant) (total experiment.WindowCounts, worst float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		r := experiment.RunGroup(s, v, seed+1)
		total.Add(r.Total())
		worst += r.Worst() / seeds
	}
	return total, worst
}

// Every policy is compared with the ones in use under the load that it answers.
func TestGroupPoliciesServeMoreUnderTheirLoad(t *testing.T) {
	for _, c := range []struct {
		scenario string
		without  experiment.GroupVariant
	}{
		{"replicas behind", experiment.GroupVariant{Name: "one refused floor blocks", BlockBehind: true}},
		{"planned change", experiment.GroupVariant{Name: "no floors once demoted", DropDemoted: true}},
		{"planned change", experiment.GroupVariant{Name: "floors name the new term", NameNewTerm: true}},
		{"partition", experiment.GroupVariant{Name: "no reads without lease", RequireLease: true}},
		{"grey replica", experiment.GroupVariant{Name: "no retries", ReturnFailures: true}},
		{"lying replica", experiment.GroupVariant{Name: "no ejection", NeverEject: true}},
		{"flapping replica", experiment.GroupVariant{Name: "no ejection", NeverEject: true}},
	} {
		s := scenario(t, c.scenario)
		with, worstWith := sum(s, experiment.GroupVariant{})
		without, worstWithout := sum(s, c.without)
		if with.Share() <= without.Share() || worstWith <= worstWithout {
			t.Errorf("%s: served in time %.4f, worst window %.3f; with %q %.4f and %.3f", c.scenario, with.Share(), worstWith,
				c.without.Name, without.Share(), worstWithout)
		}
	}
}

func TestGroupReadsAreNeverStale(t *testing.T) {
	for _, s := range experiment.Scenarios() {
		for _, v := range experiment.GroupVariants() {
			if total, _ := sum(s, v); total.Stale != 0 {
				t.Errorf("%s, %s: %d of %d answers are stale", s.Name, v.Name, total.Stale, total.Asked)
			}
		}
	}
}

func TestGroupCountsEveryRequestOnce(t *testing.T) {
	for _, s := range experiment.Scenarios() {
		total, _ := sum(s, experiment.GroupVariant{})
		if got := total.InTime + total.Late + total.Refused; got != total.Asked {
			t.Errorf("%s: %d outcomes of %d requests", s.Name, got, total.Asked)
		}
	}
}

func TestGroupResultDependsOnlyOnSeed(t *testing.T) {
	s := scenario(t, "planned change")
	first := experiment.RunGroup(s, experiment.GroupVariant{}, 7).Total()
	if second := experiment.RunGroup(s, experiment.GroupVariant{}, 7).Total(); first != second {
		t.Errorf("the same seed gives %+v and %+v", first, second)
	}
}
