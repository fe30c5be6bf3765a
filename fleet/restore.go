package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
)

const (
	// minRewriteSpread is the least time over which the instances of a fleet spread what they write after the store's return.
	minRewriteSpread = 500 * time.Millisecond
	// rewriteInterval is the least mean time between two of these writes: they leave room for those of the operator and the
	// endpoints, who write again at the same time.
	rewriteInterval = 10 * time.Millisecond
	// rewriteTimeout bounds one such call.
	rewriteTimeout = time.Second
	// minReregistrationTime is the least time after the store's return in which registrations may be missing.
	minReregistrationTime = 2 * time.Second
)

// rewriteSpread returns the time over which n instances spread what they write after the store's return.
func rewriteSpread(n int) time.Duration {
	return max(minRewriteSpread, time.Duration(n)*rewriteInterval)
}

// reregistrationTime returns how long after the store's return registrations that it has lost may be missing in a fleet of n
// instances.
func reregistrationTime(n int) time.Duration {
	return max(minReregistrationTime, rewriteSpread(n)+minRewriteSpread+rewriteTimeout)
}

// rewritePause waits for a random time, so that the instances of the fleet write one after the other; it fails if ctx ends.
func (i *Instance[L]) rewritePause(ctx context.Context) error {
	alive, _ := i.counts()
	return engine.Sleep(ctx, rand.N(rewriteSpread(alive)))
}

// leaseRestorer writes the coordinator lease again in each era of the store if this instance holds it, and otherwise records
// the beginning of the era if this instance follows the store.
type leaseRestorer[L Link[L]] struct {
	instance *Instance[L]
}

// Name returns the service's name.
func (r *leaseRestorer[L]) Name() string { return "lease_restorer" }

// Run acts in each era until ctx ends.
func (r *leaseRestorer[L]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		era, lasting := r.instance.era.Current()
		if era > 0 && !r.restore(ctx, lasting) {
			continue
		}
		select {
		case <-lasting.Done():
		case <-ctx.Done():
		}
	}
	return nil
}

// restore calls the coordinator lease until it has been restored, and reports false if the era or ctx ended before.
func (r *leaseRestorer[L]) restore(ctx, lasting context.Context) bool {
	i := r.instance
	if _, held := i.coordinator.Held(); !held && i.rewritePause(ctx) != nil {
		return false
	}
	for ctx.Err() == nil && lasting.Err() == nil {
		if _, held := i.coordinator.Held(); !held && !i.followsStore() {
			return true
		}
		callCtx, cancel := context.WithTimeout(ctx, rewriteTimeout)
		err := i.coordinator.Restore(callCtx)
		cancel()
		if err == nil {
			token, held := i.coordinator.Held()
			logLine(i.cfg.Logger, "level", "info", "msg", "duty_restored", "held", held, "token", token)
			return true
		}
		logLine(i.cfg.Logger, "level", "info", "msg", "duty_not_restored", "error", err.Error())
		if engine.Sleep(ctx, retryPause/2+rand.N(retryPause)) != nil {
			return false
		}
	}
	return false
}
