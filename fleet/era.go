package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/store"
)

// storeEra tracks the store's era; it is safe for concurrent use.
//
// Only the store's own answers raise it, so that an instance which reports a wrong era cannot make others drop the
// store's answers. The report of a peer is a hint to ask the store.
type storeEra struct {
	mu sync.Mutex
	// answered reports that the store has answered; the first era may be 0.
	answered bool
	// answeredAt is when the store last answered.
	answeredAt time.Time
	current    uint64
	hinted     uint64
	// raisedAt is when this instance saw the era rise, or zero while it has seen one era only.
	raisedAt time.Time
	// lasting is cancelled by end, and replaced, when the era rises or may have risen.
	lasting context.Context
	end     context.CancelFunc
}

func newStoreEra() *storeEra {
	e := &storeEra{}
	e.lasting, e.end = context.WithCancel(context.Background())
	return e
}

// Observe records the era of an answer of the store. It reports whether the era is above that of all earlier answers, and
// whether it is not the first one, so that the store has returned from an older copy.
func (e *storeEra) Observe(era uint64) (raised, restored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	raised = era > e.current
	restored = raised && e.answered
	e.answered = true
	e.answeredAt = clock.Now()
	if !raised {
		return false, false
	}
	e.current = era
	if restored {
		e.raisedAt = clock.Now()
	}
	e.endLocked()
	return true, restored
}

// Hint records the era that a peer reported, and reports whether it is above all that are known.
func (e *storeEra) Hint(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current || era <= e.hinted {
		return false
	}
	e.hinted = era
	e.endLocked()
	return true
}

func (e *storeEra) endLocked() {
	e.end()
	e.lasting, e.end = context.WithCancel(context.Background())
}

// Current returns the newest era, or 0 if the store reports none, and a context that ends when the era rises or
// may have risen.
func (e *storeEra) Current() (era uint64, lasting context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.lasting
}

// UnconfirmedFor returns how long the store has not confirmed its era by an answer; it is 0 if the store reports no eras.
func (e *storeEra) UnconfirmedFor(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == 0 {
		return 0
	}
	return now.Sub(e.answeredAt)
}

// LastsFor reports whether the era has not risen within d before now, as far as this instance has seen.
func (e *storeEra) LastsFor(d time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.raisedAt.IsZero() || now.Sub(e.raisedAt) >= d
}

// trackedStore is a store whose answers of earlier eras are dropped.
//
// Such an answer describes rows that the store may have lost since.
type trackedStore struct {
	store.Store
	era *storeEra
	// observe receives the era of each answer.
	observe func(era uint64)
}

// All returns every row of a table; an answer of an earlier era fails with KindUnavailable.
func (s trackedStore) All(ctx context.Context, table string) (store.Snapshot, error) {
	snapshot, err := s.Store.All(ctx, table)
	if s.outdated(snapshot, err) {
		return store.Snapshot{}, restoredError(fault.KindUnavailable, nil)
	}
	return snapshot, err
}

// Changes waits until a table changes after version, and returns the changed rows; it fails with KindStale once the era
// has risen, or may have risen, since the call.
func (s trackedStore) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Snapshot, error) {
	_, lasting := s.era.Current()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(lasting, cancel)
	defer stop()
	snapshot, err := s.Store.Changes(ctx, table, version, wait)
	s.track(snapshot, err)
	if lasting.Err() != nil {
		return store.Snapshot{}, restoredError(fault.KindStale, err)
	}
	return snapshot, err
}

// Commit applies a transaction; an answer of an earlier era fails with KindOutcomeUnknown.
func (s trackedStore) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	snapshot, err := s.Store.Commit(ctx, tx)
	if s.outdated(snapshot, err) {
		return store.Snapshot{}, restoredError(fault.KindOutcomeUnknown, err)
	}
	return snapshot, err
}

// track records the era of an answer; an error without an era may mean that there was none.
func (s trackedStore) track(snapshot store.Snapshot, err error) {
	if err == nil || snapshot.Era > 0 {
		s.observe(snapshot.Era)
	}
}

// outdated records the era of an answer, and reports whether it is an earlier one; an answer without an era never is.
func (s trackedStore) outdated(snapshot store.Snapshot, err error) bool {
	s.track(snapshot, err)
	current, _ := s.era.Current()
	return snapshot.Era != 0 && snapshot.Era < current
}

func restoredError(kind fault.Kind, cause error) error {
	return fault.New(fault.Config{
		Kind:    kind,
		Message: "the store has returned from an older copy since",
		Remedy:  "no action needed; the rows are read again",
		Cause:   cause,
	})
}

// observeEra records the era of an answer of the store.
func (i *Instance[L]) observeEra(era uint64) {
	raised, restored := i.era.Observe(era)
	if !raised {
		return
	}
	i.meters.era.Update(float64(era))
	message := "store_era_known"
	if restored {
		message = "store_restored"
		i.meters.restored.Inc(1)
	}
	logLine(i.cfg.Logger, "level", "info", "msg", message, "era", era)
}

// hintEra asks the store for its era if a peer reports one that is not known.
func (i *Instance[L]) hintEra(era uint64, source string) {
	if i.era.Hint(era) {
		logLine(i.cfg.Logger, "level", "info", "msg", "store_era_hinted", "era", era, "source", source)
	}
}
