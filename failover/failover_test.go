package failover_test

import (
	"strings"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
)

// gapLimit is the longest time without writes that the users accept.
const gapLimit = 9 * time.Second

// warmUp is the time in which a simulation reaches its steady state.
const warmUp = 2 * time.Second

// injectFault runs a fault and starts the measurement of the failover gap.
func (sim *simulation) injectFault(run func()) {
	sim.faultAt = sim.now
	run()
}

func (sim *simulation) failoverGap() time.Duration { return sim.gapEnd.Sub(sim.faultAt) }

func (sim *simulation) requireWritesWithin(limit time.Duration) {
	sim.t.Helper()
	if sim.gapEnd.IsZero() || sim.failoverGap() > limit {
		sim.t.Errorf("writes resumed after %v, want within %v; events:\n%s", sim.failoverGap(), limit, strings.Join(sim.decisions, "\n"))
	}
}

func (sim *simulation) isolatePrimary(from ...*instance) {
	sim.isolate("g-a", from...)
}

// The old primary is partitioned from four of five instances, which replace it. The fifth instance still reaches it and
// must acknowledge no write once the new primary exists.
func TestNoWriteIsAcknowledgedByAReplacedPrimary(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 5, lag: 20 * time.Millisecond})
	sim.advance(warmUp)
	sim.injectFault(func() {
		sim.isolatePrimary(sim.instances[:4]...)
		for _, inst := range sim.instances[:4] {
			sim.partitioned[networkPath{inst.name, sim.instances[4].name}] = true
		}
	})
	sim.advance(gapLimit)
	sim.requireWritesWithin(gapLimit)
}

func TestPrimaryCrash(t *testing.T) {
	for _, table := range []tableMode{tableUp, tableDown, tableLosesAnswers} {
		sim := newSimulation(t, simulationConfig{instances: 3, lag: 20 * time.Millisecond})
		sim.advance(warmUp)
		sim.injectFault(func() {
			sim.table = table
			sim.crashMember("g-a")
		})
		sim.advance(gapLimit)
		sim.requireWritesWithin(3 * time.Second)
	}
}

// A partition between one instance and the primary is no reason to replace a primary that the other instances reach.
func TestOneInstanceThatLostThePrimaryDoesNotPromote(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 3})
	sim.advance(warmUp)
	sim.partitioned[networkPath{"i0", "g-a"}] = true
	sim.advance(gapLimit)
	if term := sim.group.Primary().Status().Point().Term(); term != 1 {
		t.Errorf("term %d: a primary that two of three instances reach was replaced", term)
	}
	if !strings.Contains(strings.Join(sim.decisions, "\n"), string(failover.DecisionSuspend)) {
		t.Error("the suspended promotion was not explained")
	}
}

func TestIsolatedInstanceDoesNotPromote(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 3})
	sim.advance(warmUp)
	for _, other := range []string{"i1", "i2", "g-a", "g-b", "g-c"} {
		sim.partitioned[networkPath{"i0", other}] = true
	}
	sim.advance(gapLimit)
	if term := sim.group.Primary().Status().Point().Term(); term != 1 {
		t.Errorf("term %d: an isolated instance replaced the primary", term)
	}
}

// phases lists the phases in which the promoting instance is paused.
var phases = []string{"claiming", "fencing", "waiting", "promoting"}

// The promoting instance is paused in the middle of a promotion. Another instance must restore writes within gapLimit.
func TestPausedPromoterIsTakenOverInEachPhase(t *testing.T) {
	for _, phase := range phases {
		t.Run(phase, func(t *testing.T) {
			required := func(c *failover.Config) { c.ClaimRequired = phase == "claiming" }
			sim := newSimulation(t, simulationConfig{instances: 3, lag: 20 * time.Millisecond, settings: required})
			sim.advance(warmUp)
			sim.injectFault(func() { sim.crashMember("g-a") })
			for range 3000 {
				if sim.instances[0].machine.Phase() == phase {
					break
				}
				sim.advance(networkDelay)
			}
			if sim.instances[0].machine.Phase() != phase {
				t.Fatalf("the promoting instance never reached the phase")
			}
			sim.pause(sim.instances[0])
			sim.advance(gapLimit)
			sim.requireWritesWithin(gapLimit)
			sim.resume(sim.instances[0])
			sim.advance(warmUp)
			if p := sim.group.Primary(); p == nil {
				t.Error("no primary after the promoting instance resumed")
			}
		})
	}
}

// Two of three members crash. The remaining one must not be promoted, and no write may be acknowledged after the
// leases have expired.
func TestNoPromotionWithoutAMajority(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 3})
	sim.advance(warmUp)
	sim.crashMember("g-a")
	sim.crashMember("g-b")
	before := len(sim.acknowledged)
	sim.advance(gapLimit)
	if status := sim.member("g-c").Status(); status.Point().Term() != 1 {
		t.Errorf("the last member of three was promoted to term %d", status.Point().Term())
	}
	lateWrites := 0
	for _, a := range sim.acknowledged[before:] {
		if a.at.Sub(sim.now) > -gapLimit+lease {
			lateWrites++
		}
	}
	if lateWrites > 0 {
		t.Errorf("%d writes were acknowledged after the leases expired", lateWrites)
	}
}

func TestSwitchoverOfALeavingPrimaryLosesNothing(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 3, lag: 50 * time.Millisecond})
	sim.advance(warmUp)
	sim.injectFault(func() {
		for _, inst := range sim.instances {
			sim.step(inst, failover.Leaving{Endpoints: []string{"g-a"}})
		}
	})
	sim.advance(5 * time.Second)
	sim.requireWritesWithin(5 * time.Second)
	if p := sim.group.Primary(); p.Name() == "g-a" {
		t.Error("the leaving member is still primary")
	}
	if n := sim.lostWrites(); n > 0 {
		t.Errorf("%d acknowledged writes were lost in a switchover", n)
	}
}

func TestLongestFencedLogIsChosen(t *testing.T) {
	sim := newSimulation(t, simulationConfig{instances: 3, lag: 5 * time.Millisecond})
	sim.member("g-b").SetLag(5 * time.Second)
	sim.advance(warmUp)
	sim.injectFault(func() { sim.crashMember("g-a") })
	sim.advance(gapLimit)
	if p := sim.group.Primary(); p.Name() != "g-c" {
		t.Errorf("%s is primary; g-c had the longest log", p.Name())
	}
}
