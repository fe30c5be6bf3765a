package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
)

func TestStoreIsQueriedBeforeLeaseEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name                         string
		primary, witnessed, replicas time.Duration
		standby, want                bool
	}{
		{name: "the replicas answered just now", witnessed: 100 * time.Millisecond, replicas: 100 * time.Millisecond},
		// A busy member's answer waits behind its requests, which is no reason to query the store.
		{name: "a replica's answer is late", witnessed: 3 * fleet.RenewInterval, replicas: 3 * fleet.RenewInterval},
		{name: "a replica missed a probe", witnessed: fleet.LeaseDuration - 150*time.Millisecond, replicas: fleet.LeaseDuration - 150*time.Millisecond, want: true},
		{name: "the store is the witness already", witnessed: 3 * fleet.RenewInterval, replicas: time.Minute, want: true},
		{name: "the probing instance queries first", witnessed: 3 * fleet.RenewInterval, replicas: time.Minute, standby: true},
		{name: "the probing instance has not queried", witnessed: fleet.LeaseDuration - 50*time.Millisecond, replicas: time.Minute, standby: true, want: true},
		{name: "the primary does not answer", primary: fleet.LeaseDuration, witnessed: time.Minute, replicas: time.Minute},
	} {
		if got := fleet.NeedsStoreWitness(now, ago(c.primary), ago(c.witnessed), ago(c.replicas), c.standby); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
