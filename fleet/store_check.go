package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
)

const (
	// storeCheckInterval is the mean time between two checks of the store by any of the instances that do not follow it:
	// several fit into the shortest bound on how late a configuration may come into force, even if the store turns some
	// instances away.
	storeCheckInterval = 250 * time.Millisecond
	// storeCheckTick is the mean time between two draws of one instance.
	storeCheckTick = time.Second
	// endpointCheckShare is the share of the checks that include the list of endpoints, which may be older than the
	// configuration: a leaving endpoint serves for several seconds.
	endpointCheckShare = 0.25
	// sourceLostInterval is the least time between two checks of an instance whose source of evidence fails: several fit
	// into the bound on how late a configuration may come into force, and in a partition such instances are many.
	sourceLostInterval = 2 * time.Second
)

// storeCheck reads the store now and then on an instance that does not follow it.
//
// In a large fleet a few instances follow the store for all. If the store, or a partition,
// turns away just these, the others would learn of no change, although they could read
// it. The checks of all instances together have a constant rate; what one of them
// finds spreads with the heartbeats. An instance whose source of evidence does not
// answer may be separated from the others, and checks the store at once.
type storeCheck[L Link[L]] struct {
	instance *Instance[L]
	// configuration and endpoints catch up with their tables: only the first check reads a whole table.
	configuration, endpoints *follower
	// checkedAt is when this instance last checked the store.
	checkedAt time.Time
}

func newStoreCheck[L Link[L]](i *Instance[L]) *storeCheck[L] {
	return &storeCheck[L]{instance: i, configuration: i.configurationFollower(0), endpoints: i.endpointFollower(0)}
}

// Name returns the service's name.
func (c *storeCheck[L]) Name() string { return "store_check" }

// Run checks the store until ctx ends.
func (c *storeCheck[L]) Run(ctx context.Context) error {
	for {
		sourceLost := false
		select {
		case <-time.After(storeCheckTick/2 + rand.N(storeCheckTick)):
		case <-c.instance.sourceLost:
			sourceLost = true
		case <-ctx.Done():
			return nil
		}
		alive, _ := c.instance.counts()
		now := clock.Now()
		if c.instance.followsStore() || !storeCheckDue(now.Sub(c.checkedAt), sourceLost, alive, rand.Float64()) {
			continue
		}
		c.checkedAt = now
		// A recent proof of the keys shows that the configuration is the newest.
		if !c.instance.keysProvedRecently(now) {
			c.check(ctx, c.configuration)
		}
		if sourceLost || rand.Float64() < endpointCheckShare {
			c.check(ctx, c.endpoints)
		}
	}
}

// storeCheckDue reports whether one of n instances checks the store, given the time since its last check, whether its source
// of evidence has just failed, and a random number below 1.
func storeCheckDue(sinceLast time.Duration, sourceLost bool, n int, random float64) bool {
	if sourceLost {
		return sinceLast >= sourceLostInterval
	}
	return random < storeCheckChance(n)
}

// storeCheckChance returns the chance that one of n instances checks the store at a tick.
func storeCheckChance(n int) float64 {
	return min(1, storeCheckTick.Seconds()/(storeCheckInterval.Seconds()*float64(max(1, n))))
}

// check reads what has changed in a table since its last check, and applies it.
func (c *storeCheck[L]) check(ctx context.Context, table *follower) {
	if err := table.step(ctx); err != nil {
		logLine(c.instance.cfg.Logger, "level", "info", "msg", "store_check_failed", "table", table.table, "error", err.Error())
	}
}
