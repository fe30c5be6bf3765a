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

// campaignFault brings about one kind of primary loss, picked by the seed.
func campaignFault(w *world, r *rand.Rand) {
	switch r.IntN(4) {
	case 0:
		w.crash("g-a")
	case 1:
		w.isolatePrimary(w.nodes...)
	case 2:
		w.isolatePrimary(w.nodes[1:]...)
		for _, n := range w.nodes[1:] {
			w.cut[link{n.name, "i0"}] = true
		}
	case 3:
		w.crash("g-a")
		w.pause(w.nodes[0])
	}
}

// acknowledgement is a rule for when a write is acknowledged.
type acknowledgement struct {
	name string
	// faults is the number of faults in a run without a longer campaign.
	faults   int
	wait     time.Duration
	required bool
}

var acknowledgements = []acknowledgement{
	{name: "at once", faults: 200},
	{name: "replica within 100ms", faults: 20, wait: 100 * time.Millisecond},
	{name: "replica within 1s", faults: 20, wait: time.Second},
	{name: "replica within 2s", faults: 20, wait: 2 * time.Second},
	{name: "replica required", faults: 20, required: true},
}

// TestFailoverGapCampaign replays seeded losses of a primary and bounds each gap by the users' target.
//
// MONSOONTILLER_FAULTS sets the number of faults of a longer campaign.
func TestFailoverGapCampaign(t *testing.T) {
	longer, _ := strconv.Atoi(os.Getenv("MONSOONTILLER_FAULTS"))
	for _, rule := range acknowledgements {
		count := max(rule.faults, longer)
		t.Run(rule.name, func(t *testing.T) { campaign(t, count, rule) })
	}
}

func campaign(t *testing.T, count int, rule acknowledgement) {
	var gaps []time.Duration
	var waited time.Duration
	lost, acked := 0, 0
	for seed := range count {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		lag := time.Duration(1+r.IntN(200)) * time.Millisecond
		w := newWorld(t, worldConfig{instances: 5 + r.IntN(5), lag: lag})
		w.table = tableMode(r.IntN(3))
		w.replicaWait = rule.wait
		w.required = rule.required
		w.advance(settle + time.Duration(r.IntN(1000))*time.Millisecond)
		w.fault(func() { campaignFault(w, r) })
		w.advance(target)
		if w.gapEnd.IsZero() || w.gap() > target {
			t.Errorf("seed %d: writes resumed after %v, want within %v; events: %v", seed, w.gap(), target, w.explains)
		}
		gaps = append(gaps, w.gap())
		lost += w.lost()
		acked += len(w.acks)
		waited += w.waited
	}
	if rule.required && lost > 0 {
		t.Errorf("%d writes were lost that a replica had", lost)
	}
	sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
	n := len(gaps)
	t.Logf("%d faults: gap median %v, p99 %v, worst %v; %d of %d acknowledged writes lost; mean wait %v",
		n, gaps[n/2], gaps[n*99/100], gaps[n-1], lost, acked, (waited / time.Duration(max(1, acked))).Round(time.Millisecond))
}

// TestClaimRequiredStopsFailoverInAnOutage shows what the optional table claim avoids.
func TestClaimRequiredStopsFailoverInAnOutage(t *testing.T) {
	w := newWorld(t, worldConfig{instances: 3, settings: func(c *failover.Config) { c.ClaimRequired = true }})
	w.advance(settle)
	w.fault(func() {
		w.table = tableDown
		w.crash("g-a")
	})
	w.advance(target)
	if !w.gapEnd.IsZero() {
		t.Errorf("writes resumed after %v without the table's claim", w.gap())
	}
	w.table = tableUp
	w.advance(target)
	if w.gapEnd.IsZero() {
		t.Error("writes did not resume once the table answered")
	}
}
