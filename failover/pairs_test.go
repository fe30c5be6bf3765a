package failover_test

import (
	"testing"
	"time"
)

// pairedFault is a fault that TestTwoFaultsAtOnce combines with every other fault, and how it ends.
type pairedFault struct {
	name  string
	begin func(sim *simulation)
	end   func(sim *simulation)
}

var pairedFaults = []pairedFault{
	{"partition", func(sim *simulation) { sim.isolatePrimary(sim.instances[1:]...) }, func(sim *simulation) {
		clear(sim.partitioned)
		sim.member("g-a").SetIsolated(false)
	}},
	{"replication lag", func(sim *simulation) { sim.member("g-b").SetLag(time.Minute) }, func(sim *simulation) { sim.member("g-b").SetLag(0) }},
	{"instance crash", func(sim *simulation) { sim.crashInstance(sim.instances[4]) }, func(*simulation) {}},
	{"table outage", func(sim *simulation) { sim.table = tableDown }, func(sim *simulation) { sim.table = tableUp }},
	{"lost table answer", func(sim *simulation) { sim.table = tableLosesAnswers }, func(sim *simulation) { sim.table = tableUp }},
	{"paused promoter", func(sim *simulation) { sim.pause(sim.instances[0]) }, func(sim *simulation) { sim.resume(sim.instances[0]) }},
	{"dropped messages", func(sim *simulation) { sim.dropMessages("g-a") }, func(*simulation) {}},
	{"primary crash", func(sim *simulation) { sim.crashMember("g-a") }, func(*simulation) {}},
}

// crashInstance stops an instance permanently: it runs nothing and answers no other instance.
func (sim *simulation) crashInstance(inst *instance) {
	sim.pause(inst)
	for _, other := range sim.instances {
		sim.partitioned[networkPath{other.name, inst.name}] = true
	}
}

// dropMessages discards the messages between all instances and a member for one probe timeout.
func (sim *simulation) dropMessages(name string) {
	for _, inst := range sim.instances {
		sim.partitioned[networkPath{inst.name, name}] = true
	}
	sim.after(probeTimeout, func() {
		for _, inst := range sim.instances {
			delete(sim.partitioned, networkPath{inst.name, name})
		}
	})
}

// Two faults begin at the same time. Writes must be possible again while both last, and after both have ended.
func TestTwoFaultsAtOnce(t *testing.T) {
	for i, first := range pairedFaults {
		for _, second := range pairedFaults[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				sim := newSimulation(t, simulationConfig{instances: 5, lag: 20 * time.Millisecond})
				sim.advance(warmUp)
				sim.injectFault(func() {
					first.begin(sim)
					second.begin(sim)
				})
				sim.advance(gapLimit)
				before := len(sim.acknowledged)
				sim.advance(time.Second)
				if len(sim.acknowledged) == before {
					t.Errorf("no write was acknowledged %v after both faults; events: %v", gapLimit, sim.decisions)
				}
				first.end(sim)
				second.end(sim)
				sim.advance(warmUp)
				before = len(sim.acknowledged)
				sim.advance(time.Second)
				if len(sim.acknowledged) == before {
					t.Error("no write was acknowledged after both faults had ended")
				}
			})
		}
	}
}
