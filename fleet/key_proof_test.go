package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
)

// TestProofDue guards against two loads on the store: every instance of a fleet that confirms the keys though the proof
// reaches it from peers, and every instance that repeats its call at a high rate while the store is down.
func TestProofDue(t *testing.T) {
	for _, tc := range []struct {
		name         string
		sinceLast    time.Duration
		follows, old bool
		failures     int
		want         bool
	}{
		{"follower renews every second", time.Second, true, false, 0, true},
		{"follower has just asked", 500 * time.Millisecond, true, false, 0, false},
		{"others wait for the proof of a peer", time.Hour, false, false, 0, false},
		{"others ask once their proof is old", 600 * time.Millisecond, false, true, 0, true},
		{"others ask no more once a peer has brought a proof", time.Hour, false, false, 3, false},
		{"backs off during an outage", time.Second, false, true, 3, false},
		{"asks during an outage", 2 * time.Second, false, true, 9, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := fleet.ProofDue(tc.sinceLast, tc.follows, tc.old, tc.failures); got != tc.want {
				t.Errorf("due = %v, want %v", got, tc.want)
			}
		})
	}
}
