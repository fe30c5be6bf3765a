package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
)

// Load: hundreds of instances start, or are declared dead, within a second. An instance that computed its homes after each
// of these changes would have no processor time left for requests.
func TestBurstOfChangesIsHandledTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause, burst, changes = 50 * time.Millisecond, time.Second, 300
		c := fleet.NewCoalescer(pause)
		ctx, cancel := context.WithCancel(t.Context())
		runs := 0
		var lastRun, lastSignal time.Time
		ended := make(chan struct{})
		go func() {
			c.Run(ctx, func() { runs, lastRun = runs+1, time.Now() })
			close(ended)
		}()
		for range changes {
			c.Signal()
			lastSignal = time.Now()
			<-time.After(burst / changes)
		}
		<-time.After(2 * pause)
		cancel()
		<-ended
		if limit := int(burst/pause) + 1; runs > limit {
			t.Errorf("%d changes within %v caused %d computations, want at most %d", changes, burst, runs, limit)
		}
		if lastRun.Before(lastSignal) {
			t.Error("the last change was not followed by a computation")
		}
	})
}
