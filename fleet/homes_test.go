package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
)

func TestHomeCountDependsOnConnectionsAndSlots(t *testing.T) {
	for _, c := range []struct {
		name                  string
		connections, slots, n int
		dead                  int
		homes, share          int
	}{
		{"all instances of a small fleet", 30, 2, 7, 0, 7, 3},
		{"too many instances for the slots", 151, 3, 48, 0, 4, 34},
		{"no more than the slots", 53, 6, 78, 0, 6, 8},
		{"more homes than slots where slots are few", 151, 3, 69, 0, 4, 34},
		{"few connections", 20, 16, 300, 0, 3, 6},
		{"unknown number of slots", 53, 0, 78, 0, 8, 6},
		{"fewer connections than one home needs", 3, 4, 50, 0, 1, 2},
		{"a small fleet of which some were lost", 34, 5, 7, 2, 7, 3},
		{"the smaller side of a partition of a small fleet", 34, 5, 4, 5, 4, 5},
		// Guards against connections of 20 homes, which the instances that return add to.
		{"as a partition of a large fleet ends", 66, 6, 20, 56, 6, 10},
	} {
		homes, share := fleet.HomeCount(c.connections, c.slots, c.n, c.dead)
		if homes != c.homes || share != c.share {
			t.Errorf("%s: %d homes of %d, want %d of %d", c.name, homes, share, c.homes, c.share)
		}
		if c.n > c.homes && homes*share > c.connections {
			t.Errorf("%s: the homes together hold %d of %d connections", c.name, homes*share, c.connections)
		}
	}
}

// Guards against instances that act as homes too early. After a power failure of all instances, each discovers the others
// one by one; from the few that it knows first, it would compute that it is a home of every group, and all would dial
// every member.
func TestInstanceWaitsForRegisteredInstances(t *testing.T) {
	for _, c := range []struct {
		name              string
		alive, registered int
		age, stable       time.Duration
		want              bool
	}{
		{"knows two of many", 2, 78, 100 * time.Millisecond, 0, false},
		{"knows two of many, and found no other lately", 2, 78, time.Second, time.Second, false},
		{"knows most", 60, 78, 100 * time.Millisecond, 0, true},
		{"is the only instance", 1, 1, 0, 0, true},
		{"registrations unknown, and more instances are found", 5, 0, time.Second, 100 * time.Millisecond, false},
		// The store is slow because all instances start at once.
		{"registrations unknown, and no more instances are found", 69, 0, time.Second, 400 * time.Millisecond, true},
		{"registrations unknown, and no instance is found", 1, 0, time.Second, time.Second, false},
		{"has waited long enough", 2, 78, fleet.MaxJoinWait, 0, true},
	} {
		if got := fleet.JoinComplete(c.alive, c.registered, c.age, c.stable); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
