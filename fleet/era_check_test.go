package fleet_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// Each check of the era is a call that has a price: a store that reports no eras has nothing to confirm, and one that has just
// answered has confirmed its era.
func TestEraIsUnconfirmedOnlyAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name      string
		era       uint64
		later     time.Duration
		want, max time.Duration
	}{
		{"no eras are reported", 0, time.Minute, 0, 0},
		{"the store has just answered", 1, 0, 0, time.Second},
		{"the store answered a minute ago", 1, time.Minute, time.Minute - time.Second, time.Minute},
	} {
		rows := storetest.New()
		rows.SetEra(c.era)
		tracker, tracked := fleet.NewEraTracker(rows)
		if _, err := tracked.All(t.Context(), "servers"); err != nil {
			t.Fatal(err)
		}
		if got := tracker.UnconfirmedFor(clock.Now().Add(c.later)); got < c.want || got > c.max+time.Second {
			t.Errorf("%s: unconfirmed for %v, want %v to %v", c.name, got, c.want, c.max)
		}
	}
}
