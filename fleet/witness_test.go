package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
)

func TestTheStoreIsAskedBeforeTheLeaseEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name                         string
		primary, witnessed, replicas time.Duration
		standby, want                bool
	}{
		{name: "the replicas answered just now", witnessed: 100 * time.Millisecond, replicas: 100 * time.Millisecond},
		// The pattern: a member is busy, and its answer waits behind its work. That is no reason to ask the store.
		{name: "a replica's turn is late", witnessed: 3 * fleet.RenewEvery, replicas: 3 * fleet.RenewEvery},
		{name: "a replica's turn was missed", witnessed: fleet.Lease - 150*time.Millisecond, replicas: fleet.Lease - 150*time.Millisecond, want: true},
		{name: "the store is the witness already", witnessed: 3 * fleet.RenewEvery, replicas: time.Minute, want: true},
		{name: "the probing instance asks first", witnessed: 3 * fleet.RenewEvery, replicas: time.Minute, standby: true},
		{name: "the probing instance has not asked", witnessed: fleet.Lease - 50*time.Millisecond, replicas: time.Minute, standby: true, want: true},
		{name: "the primary does not answer", primary: fleet.Lease, witnessed: time.Minute, replicas: time.Minute},
	} {
		if got := fleet.NeedsStore(now, ago(c.primary), ago(c.witnessed), ago(c.replicas), c.standby); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
