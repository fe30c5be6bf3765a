package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
)

const (
	// maxEraAge is the age of the store's last answer at which its era is confirmed: it leaves half of the time in which
	// the rows of the fleet must be written again after the store's return.
	maxEraAge = 750 * time.Millisecond
	// eraCheckTick is the interval at which that age is checked, and noEraTick that interval while the store reports no eras.
	eraCheckTick = 250 * time.Millisecond
	noEraTick    = 2 * time.Second
	// eraCheckTimeout bounds a call that confirms the era.
	eraCheckTimeout = time.Second
)

// eraCheck confirms the store's era on an instance that follows the store.
//
// A call that waits for changes shows the era only when it ends, and a store may keep
// such calls across its return from an older copy. While other calls are answered, or
// where the store reports no eras, no call is made.
type eraCheck[L Link[L]] struct {
	instance *Instance[L]
}

// Name returns the service's name.
func (c *eraCheck[L]) Name() string { return "era_check" }

// Run checks the age of the store's last answer at every tick until ctx ends.
func (c *eraCheck[L]) Run(ctx context.Context) error {
	for {
		tick := eraCheckTick
		if era, _ := c.instance.era.Current(); era == 0 {
			tick = noEraTick
		}
		if engine.Sleep(ctx, tick) != nil {
			return nil
		}
		if c.instance.followsStore() && c.instance.era.UnconfirmedFor(clock.Now()) >= maxEraAge {
			c.check(ctx)
		}
	}
}

// check reads a small table; the store's answer carries the era.
func (c *eraCheck[L]) check(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, eraCheckTimeout)
	defer cancel()
	if _, err := c.instance.cfg.Store.All(ctx, coordinatorTable); err != nil {
		logLine(c.instance.cfg.Logger, "level", "info", "msg", "era_not_confirmed", "error", err.Error())
	}
}
