package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/store"
)

const (
	// storeCheckInterval is the mean time between two checks of the store by any of the instances that do not follow it:
	// several fit into the shortest bound on how late a configuration may come into force, even if the store turns some
	// instances away.
	storeCheckInterval = 250 * time.Millisecond
	// storeCheckTick is the mean time between two draws of one instance.
	storeCheckTick = time.Second
	// endpointCheckShare is the share of the checks that include the list of endpoints, which may be older than the
	// configuration: a leaving endpoint serves for several seconds. In a fleet of a few instances it is higher, so that all of
	// them together include it in as many checks.
	endpointCheckShare = 0.25
	// storeCheckTimeout bounds a call of a check: a store that is a hundred times slower than usual answers within it. If the
	// answer of one check is lost, the next one still ends within the bound that counts from the end of the outage.
	storeCheckTimeout = time.Second
	// sourceLostInterval is the least time between two checks of an instance whose source of evidence fails: several fit
	// into the bound on how late a configuration may come into force, and in a partition such instances are many.
	sourceLostInterval = 2 * time.Second
)

// storeCheck asks the store now and then whether this instance has missed a change.
//
// An instance that follows the store waits for changes. If the answer to such a call is lost, the call waits on, although the
// store answers every other one. In a large fleet a few instances follow the store for all. If the store, or a partition,
// turns away just these, the others would learn of no change, although they could read
// it. The checks of all instances together have a constant rate; what one of them
// finds spreads with the heartbeats, and an instance that knows no other checks at every tick. An instance whose source of
// evidence does not answer may be separated from the others, and checks the store at once.
type storeCheck[L Link[L]] struct {
	instance                 *Instance[L]
	configuration, endpoints *checkedTable
	// checkedAt is when this instance last checked the store.
	checkedAt time.Time
}

// checkedTable is a table that is checked.
type checkedTable struct {
	// following waits for changes while this instance follows the store.
	following *follower
	// check catches up with the table: only the first check reads a whole table.
	check *follower
	// changed is the position of the newest row that a check has read as changed.
	changed store.Position
}

func newStoreCheck[L Link[L]](i *Instance[L], configuration, endpoints *follower) *storeCheck[L] {
	return &storeCheck[L]{
		instance:      i,
		configuration: newCheckedTable(configuration, i.configurationFollower(0)),
		endpoints:     newCheckedTable(endpoints, i.endpointFollower(0)),
	}
}

// newCheckedTable returns a table that check catches up with.
func newCheckedTable(following, check *follower) *checkedTable {
	t := &checkedTable{following: following, check: check}
	apply := check.applyChanges
	check.applyChanges = func(s store.Snapshot) {
		for _, row := range s.Rows {
			if at := store.NewPosition(s.Era, row.Version); at.After(t.changed) {
				t.changed = at
			}
		}
		apply(s)
	}
	return t
}

// missed reports whether a change that an earlier check has read has not reached the call that waits for changes.
func (t *checkedTable) missed() bool {
	position, loaded := t.following.progress.Position()
	return loaded && t.changed.After(position)
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
		if !storeCheckDue(now.Sub(c.checkedAt), sourceLost, alive, rand.Float64()) {
			continue
		}
		c.checkedAt = now
		// A recent proof of the keys shows that the configuration is the newest.
		if !c.instance.keysProvedRecently(now) {
			c.check(ctx, c.configuration)
		}
		if sourceLost || rand.Float64() < endpointCheckChance(alive) {
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

// endpointCheckChance returns the chance that a check of one of n instances includes the list of endpoints.
func endpointCheckChance(n int) float64 { return max(endpointCheckShare, 1/float64(max(1, n))) }

// check reads what has changed in a table since its last check, and applies it.
//
// On an instance that follows the store, it does so only while a call has waited for changes for a tick, and ends that call if
// it has missed a change.
func (c *storeCheck[L]) check(ctx context.Context, t *checkedTable) {
	if c.instance.followsStore() && t.following.progress.WaitingFor(clock.Now()) < storeCheckTick {
		return
	}
	if c.instance.followsStore() && t.missed() && t.following.progress.Interrupt() {
		c.instance.meters.missed.Inc(1)
		logLine(c.instance.cfg.Logger, "level", "warn", "msg", "store_answer_missed", "table", t.check.table, "changed", t.changed.String())
	}
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	t.check.resumeFrom(&t.following.progress)
	if err := t.check.step(ctx); err != nil {
		logLine(c.instance.cfg.Logger, "level", "info", "msg", "store_check_failed", "table", t.check.table, "error", err.Error())
	}
}

// resumeFrom continues where another follower of the table has come to, unless this one is as far.
func (f *follower) resumeFrom(p *tableProgress) {
	if position, ok := p.Position(); ok && (!f.loaded || position.After(f.position)) {
		f.position, f.loaded = position, true
	}
}
