package fleet_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/fleet"
)

// Guards against a check of connection limits that differs from the choice of homes, for 1 to 300 instances and members
// with an unknown number of slots.
func TestConnectionsNeededIsTheLeastForTheHomes(t *testing.T) {
	for n := 1; n <= 300; n++ {
		needed, want := fleet.ConnectionsNeeded(n), min(n, 4)
		if homes, _ := fleet.HomeCount(needed, 0, n, 0); homes < want {
			t.Errorf("%d instances with %d connections: %d homes, want %d or more", n, needed, homes, want)
		}
		if homes, share := fleet.HomeCount(needed-1, 0, n, 0); n > 1 && homes >= want && share >= 3 {
			t.Errorf("%d instances with %d connections already have %d homes of %d", n, needed-1, homes, share)
		}
	}
	if got := fleet.ConnectionsNeeded(0); got != fleet.ConnectionsNeeded(300) {
		t.Errorf("an unknown number of instances needs %d connections, want as many as a large fleet", got)
	}
}
