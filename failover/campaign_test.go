package failover_test

import (
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
)

// injectCampaignFault makes the primary unavailable in one of four ways, chosen by r.
func injectCampaignFault(sim *simulation, r *rand.Rand) {
	switch r.IntN(4) {
	case 0:
		sim.crashMember("g-a")
	case 1:
		sim.isolatePrimary(sim.instances...)
	case 2:
		sim.isolatePrimary(sim.instances[1:]...)
		for _, inst := range sim.instances[1:] {
			sim.partitioned[networkPath{inst.name, "i0"}] = true
		}
	case 3:
		sim.crashMember("g-a")
		sim.pause(sim.instances[0])
	}
}

// ackRule is a rule for when a write is acknowledged.
type ackRule struct {
	name string
	// faults is the number of faults unless MONSOONTILLER_FAULTS sets a higher one.
	faults   int
	wait     time.Duration
	required bool
}

var ackRules = []ackRule{
	{name: "at once", faults: 200},
	{name: "replica within 100ms", faults: 20, wait: 100 * time.Millisecond},
	{name: "replica within 1s", faults: 20, wait: time.Second},
	{name: "replica within 2s", faults: 20, wait: 2 * time.Second},
	{name: "replica required", faults: 20, required: true},
}

// TestFailoverGapCampaign replays seeded losses of a primary and requires that each failover gap stays within gapLimit.
//
// MONSOONTILLER_FAULTS sets the number of faults of a longer campaign.
func TestFailoverGapCampaign(t *testing.T) {
	minFaults, _ := strconv.Atoi(os.Getenv("MONSOONTILLER_FAULTS"))
	for _, rule := range ackRules {
		count := max(rule.faults, minFaults)
		t.Run(rule.name, func(t *testing.T) { runCampaign(t, count, rule) })
	}
}

func runCampaign(t *testing.T, count int, rule ackRule) {
	var gaps []time.Duration
	var waited time.Duration
	lost, acked := 0, 0
	for seed := range count {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		lag := time.Duration(1+r.IntN(200)) * time.Millisecond
		sim := newSimulation(t, simulationConfig{instances: 5 + r.IntN(5), lag: lag})
		sim.table = tableMode(r.IntN(3))
		sim.replicaWait = rule.wait
		sim.required = rule.required
		sim.advance(warmUp + time.Duration(r.IntN(1000))*time.Millisecond)
		sim.injectFault(func() { injectCampaignFault(sim, r) })
		sim.advance(gapLimit)
		if sim.gapEnd.IsZero() || sim.failoverGap() > gapLimit {
			t.Errorf("seed %d: writes resumed after %v, want within %v; events: %v", seed, sim.failoverGap(), gapLimit, sim.decisions)
		}
		gaps = append(gaps, sim.failoverGap())
		lost += sim.lostWrites()
		acked += len(sim.acknowledged)
		waited += sim.waited
	}
	if rule.required && lost > 0 {
		t.Errorf("%d writes were lost although a replica held them", lost)
	}
	sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
	n := len(gaps)
	t.Logf("%d faults: gap median %v, p99 %v, worst %v; %d of %d acknowledged writes lost; mean wait %v",
		n, gaps[n/2], gaps[n*99/100], gaps[n-1], lost, acked, (waited / time.Duration(max(1, acked))).Round(time.Millisecond))
}

// TestClaimRequiredStopsFailoverInAnOutage shows that ClaimRequired delays a failover until the table answers.
func TestClaimRequiredStopsFailoverInAnOutage(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 3, settings: func(c *failover.Config) { c.ClaimRequired = true }})
	sim.advance(warmUp)
	sim.injectFault(func() {
		sim.table = tableDown
		sim.crashMember("g-a")
	})
	sim.advance(gapLimit)
	if !sim.gapEnd.IsZero() {
		t.Errorf("writes resumed after %v without a claim in the table", sim.failoverGap())
	}
	sim.table = tableUp
	sim.advance(gapLimit)
	if sim.gapEnd.IsZero() {
		t.Error("writes did not resume once the table answered")
	}
}
