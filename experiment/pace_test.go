package experiment_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// maxPaceIdle is 200 ms of the first 5 s: the longest time for which an endpoint with waiting requests may be left idle.
const maxPaceIdle = 0.2 / 5

// Guards against a pace that floods an endpoint or leaves it idle. Load: an endpoint of 5 slots with 4 homes starts well,
// cold, slow, or flaps with a period of 1.4 s, while 60 requests wait and 200 arrive each second.
func TestPaceNeitherFloodsNorIdles(t *testing.T) {
	const homes = 4
	for _, scenario := range experiment.PaceScenarios() {
		var without, with experiment.WindowCounts
		for seed := range uint64(5) {
			before := experiment.RunPace(scenario, 0, seed+1)
			r := experiment.RunPace(scenario, 2, seed+1)
			without.Add(before.Total())
			with.Add(r.Total())
			if r.FirstWave > homes {
				t.Errorf("%s, seed %d: %d requests before the first answer, want one of each of the %d homes", scenario.Name, seed+1, r.FirstWave, homes)
			}
			if r.Idle > maxPaceIdle {
				t.Errorf("%s, seed %d: idle for %.1f%%, want at most %.1f%%", scenario.Name, seed+1, 100*r.Idle, 100*maxPaceIdle)
			}
		}
		if with.Late > without.Late {
			t.Errorf("%s: %d answers came late, %d without a pace", scenario.Name, with.Late, without.Late)
		}
	}
}
