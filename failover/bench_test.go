package failover_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// groupState is the failover and routing state that an instance keeps for one group.
type groupState struct {
	machine *failover.Machine
	tracker *route.Tracker
}

func newGroupState(n int) groupState {
	name := fmt.Sprintf("g%d", n)
	members := []string{name + "-a", name + "-b", name + "-c"}
	return groupState{
		machine: failover.New(failover.Config{Group: name, Instance: "i", Members: members, SuspectAfter: time.Second, TakeOverAfter: time.Second}),
		tracker: route.NewTracker(route.TrackerConfig{Group: name, Endpoints: members}),
	}
}

// BenchmarkProbeRound measures the cost of one round of probes of one group without network I/O.
func BenchmarkProbeRound(b *testing.B) {
	state := newGroupState(0)
	now := time.Unix(1000, 0)
	position := group.Position(0)
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		position++
		for i, name := range state.tracker.Endpoints() {
			role := group.RoleReplica
			if i == 0 {
				role = group.RolePrimary
			}
			s := group.NewStatus(group.StatusConfig{
				Endpoint: name, Role: role, Point: group.NewPoint(1, position),
				History: group.NewHistory(group.NewTermStart(1, 0)),
			})
			state.tracker.Observe(now, now, s)
			state.machine.Step(now, failover.Probed{Status: s})
		}
		state.machine.Step(now, failover.Tick{})
	}
}

// BenchmarkWatchMemory measures the memory of the failover and routing state of one group.
func BenchmarkWatchMemory(b *testing.B) {
	const groups = 2000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	all := make([]groupState, 0, groups)
	for n := range groups {
		all = append(all, newGroupState(n))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(all)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/groups, "bytes/group")
}
