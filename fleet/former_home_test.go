package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// formerHomeTime is how long homes that take over may compete with the links of former ones: callers with an objective of
// 800 ms try twice more within it.
const formerHomeTime = 2 * time.Second

// Guards against former homes that hold a link for probes to each member for 8 s. Load: a partition of a fleet ends, during
// which half of the instances became homes of all groups; the members then refused the connections of the homes.
func TestFormerHomeWithoutWorkLeaves(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	i := proofInstance(t, storetest.New())
	w := fleet.NewWatch(ctx, i, document(1), fleet.Entry{Endpoint: "a", Group: "g1", Address: "127.0.0.1:1", DataCentre: "z1", Slots: 4})
	defer cancel()
	if w.Group("g1") == nil {
		t.Fatal("the only instance is not a home")
	}
	now := clock.Now()
	w.Leave(now, fleetOfOthers(40))
	w.StopFormerHomes(now.Add(time.Second))
	if w.Group("g1") == nil {
		t.Error("the group is not watched any more while its sessions stay here")
	}
	w.StopFormerHomes(now.Add(formerHomeTime))
	if w.Group("g1") != nil {
		t.Errorf("the group is still watched after %v", formerHomeTime)
	}
}

// Guards against a home that stops and starts its watch again while the fleet's view changes back and forth.
func TestHomeThatReturnsKeepsItsWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	i := proofInstance(t, storetest.New())
	w := fleet.NewWatch(ctx, i, document(1), fleet.Entry{Endpoint: "a", Group: "g1", Address: "127.0.0.1:1", DataCentre: "z1", Slots: 4})
	defer cancel()
	watched := w.Group("g1")
	now := clock.Now()
	for range 4 {
		w.Leave(now, fleetOfOthers(40))
		now = now.Add(time.Second)
		w.StopFormerHomes(now)
		w.Return(now)
	}
	if w.Group("g1") != watched {
		t.Error("the watch was stopped although the instance was a home again within a second each time")
	}
}

// fleetOfOthers returns n instances with much more capacity than the one under test, which is then no home.
func fleetOfOthers(n int) []membership.Identity {
	var others []membership.Identity
	for k := range n {
		others = append(others, membership.NewIdentity(membership.IdentityConfig{
			Name: fmt.Sprintf("other-%d", k), PeerAddress: "127.0.0.1:1", Capacity: 100_000,
		}))
	}
	return others
}
