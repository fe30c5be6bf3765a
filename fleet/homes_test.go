package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
)

func TestHomesFollowConnectionsAndSlots(t *testing.T) {
	for _, c := range []struct {
		name                  string
		connections, slots, n int
		homes, share          int
	}{
		{"all instances of a small fleet", 30, 2, 7, 7, 3},
		{"too many instances for the slots", 151, 3, 48, 4, 34},
		{"no more than the slots", 53, 6, 78, 6, 8},
		{"several for few slots", 151, 3, 69, 4, 34},
		{"as the connections allow", 20, 16, 300, 3, 6},
		{"slots not known", 53, 0, 78, 8, 6},
		{"hardly any connections", 3, 4, 50, 1, 2},
	} {
		homes, share := fleet.HomeCount(c.connections, c.slots, c.n)
		if homes != c.homes || share != c.share {
			t.Errorf("%s: %d homes of %d, want %d of %d", c.name, homes, share, c.homes, c.share)
		}
		if c.n > c.homes && homes*share > c.connections {
			t.Errorf("%s: the homes together hold %d of %d connections", c.name, homes*share, c.connections)
		}
	}
}

// The pattern: all instances lose power at once. Each meets the others one by one, and with the few that it knows
// first it would be a home of every group, so that all would dial every member.
func TestAnInstanceWaitsForThoseThatAreRegistered(t *testing.T) {
	for _, c := range []struct {
		name              string
		alive, registered int
		age, quiet        time.Duration
		want              bool
	}{
		{"has met two of many", 2, 78, 100 * time.Millisecond, 0, false},
		{"has met two of many and no other lately", 2, 78, time.Second, time.Second, false},
		{"has met most", 60, 78, 100 * time.Millisecond, 0, true},
		{"is the only one", 1, 1, 0, 0, true},
		{"the store did not tell, and more are found", 5, 0, time.Second, 100 * time.Millisecond, false},
		// The pattern: the store is slow as all start again.
		{"the store did not tell, and no more are found", 69, 0, time.Second, 400 * time.Millisecond, true},
		{"the store did not tell, and nobody is found", 1, 0, time.Second, time.Second, false},
		{"has waited long enough", 2, 78, fleet.SettleTime, 0, true},
	} {
		if got := fleet.KnowsFleet(c.alive, c.registered, c.age, c.quiet); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
