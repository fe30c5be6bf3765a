package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/store"
)

// follower applies the rows of one table of the store, and then their changes.
type follower struct {
	store  store.Store
	table  string
	logger log.Logger
	// active reports whether to follow the table.
	active func() bool
	// known reports whether its rows are known, also from peers; until then the table is read in any case.
	known func() bool
	// settled reports whether the size of the fleet is known, on which it depends whether to follow the table.
	settled func() bool
	// wait is how long a call waits for a change; with 0, a step only catches up.
	wait time.Duration
	// applyAll receives all rows of the table, and applyChanges those that changed since.
	applyAll     func(s store.Snapshot)
	applyChanges func(s store.Snapshot)
	era          *storeEra
	// position is the position of the table up to which its rows were applied; it counts only while loaded is set.
	position   store.Position
	loaded     bool
	tablesRead tally.Counter
	// unconfirmed is set from a read of the whole table until the store has returned changes after it.
	unconfirmed bool
	// failures counts the calls that failed since the last answer with changes.
	failures int
	// lost reports that the last request to the store failed.
	lost     bool
	progress tableProgress
}

// Name returns the service's name.
func (f *follower) Name() string { return "follow_" + f.table }

// Run follows the table until ctx ends.
func (f *follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.known() && !(f.active() && f.settled()) {
			if engine.Sleep(ctx, followCheckInterval) != nil {
				return nil
			}
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			f.progress.applied(f.position, f.loaded)
		}
		if err != nil && f.progress.takeInterrupted() {
			f.loaded = false
			continue
		}
		f.logState(err)
		if err == nil {
			continue
		}
		f.failures++
		// The whole table is read at once when the history is dropped, but not again and again while such reads are stale.
		if fault.KindOf(err) == fault.KindStale && !f.unconfirmed {
			continue
		}
		// The jitter spreads the requests of all instances to a store that has just recovered.
		pause := min(retryPause<<min(f.failures-1, maxBackoffs), maxRetryPause)
		if engine.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			return nil
		}
	}
	return nil
}

// step reads the table once, or waits for its next change and applies it.
//
// Versions are comparable within one era of the store only, so the whole table is read again in each era.
func (f *follower) step(ctx context.Context) error {
	if era, _ := f.era.Current(); era != f.position.Era() {
		f.loaded = false
	}
	if !f.loaded {
		s, err := f.store.All(ctx, f.table)
		if err != nil {
			return err
		}
		f.applyAll(s)
		f.logRead(s)
		f.position = s.Position()
		f.loaded, f.unconfirmed = true, true
		return nil
	}
	ctx, end := f.progress.begin(ctx, clock.Now())
	s, err := f.store.Changes(ctx, f.table, f.position.Version(), f.wait)
	end()
	if err != nil {
		// The store may have returned from an older copy since; a call that waits for a change would not show its era.
		f.loaded = f.wait == 0 && fault.KindOf(err) != fault.KindStale
		return err
	}
	f.failures, f.unconfirmed = 0, false
	f.position = store.NewPosition(f.position.Era(), max(f.position.Version(), s.Version))
	if len(s.Rows) > 0 {
		f.applyChanges(s)
	}
	return nil
}

// logRead counts and logs a read of the whole table.
func (f *follower) logRead(s store.Snapshot) {
	f.tablesRead.Inc(1)
	reason := "call_failed"
	switch {
	case f.position == store.Position{}:
		reason = "start"
	case f.position.Era() != s.Era:
		reason = "store_restored"
	}
	f.log("level", "info", "msg", "table_read", "table", f.table, "position", s.Position().String(), "before", f.position.String(),
		"rows", len(s.Rows), "reason", reason)
}

// logState logs when the store stops answering, and when it answers again.
func (f *follower) logState(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		f.log("level", "warn", "msg", "store_lost", "table", f.table, "position", f.position.String(), "error", err.Error())
	case err == nil && f.lost:
		f.lost = false
		f.log("level", "info", "msg", "store_regained", "table", f.table, "position", f.position.String())
	}
}

func (f *follower) log(keyvals ...any) { logLine(f.logger, keyvals...) }

// logLine writes a line; an error of the logger is dropped, since it cannot be logged.
func logLine(l log.Logger, keyvals ...any) {
	if err := l.Log(keyvals...); err != nil {
		return
	}
}

// ageMillis returns the time from at to now in whole milliseconds, for log lines.
func ageMillis(now, at time.Time) int64 { return now.Sub(at).Milliseconds() }
