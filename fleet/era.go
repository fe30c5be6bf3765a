package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/store"
)

// storeEra tracks the store's era, as reported by the store or by a peer; it is safe for concurrent use.
type storeEra struct {
	mu      sync.Mutex
	current uint64
	// raisedAt is when this instance saw the era rise, or zero while it has seen one era only.
	raisedAt time.Time
	// raised is closed and replaced when the era rises.
	raised chan struct{}
}

func newStoreEra() *storeEra { return &storeEra{raised: make(chan struct{})} }

// Observe records an era, and reports whether it is above the last one.
func (e *storeEra) Observe(era uint64) (before uint64, raised bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before = e.current
	if era <= before {
		return before, false
	}
	e.current = era
	if before > 0 {
		e.raisedAt = clock.Now()
	}
	close(e.raised)
	e.raised = make(chan struct{})
	return before, true
}

// Current returns the newest era, or 0 if the store reports none.
func (e *storeEra) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// trackedStore passes the era of each of the store's answers to observe.
type trackedStore struct {
	store.Store
	observe func(era uint64)
}

func (s trackedStore) track(snapshot store.Snapshot, err error) (store.Snapshot, error) {
	s.observe(snapshot.Era)
	return snapshot, err
}

// All returns every row of a table.
func (s trackedStore) All(ctx context.Context, table string) (store.Snapshot, error) {
	return s.track(s.Store.All(ctx, table))
}

// Changes waits until a table changes after version, and returns the changed rows.
func (s trackedStore) Changes(ctx context.Context, table string, version uint64) (store.Snapshot, error) {
	return s.track(s.Store.Changes(ctx, table, version))
}

// Commit applies a transaction.
func (s trackedStore) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	return s.track(s.Store.Commit(ctx, tx))
}

// observeEra records an era that the store or a peer reported.
func (i *Instance[L]) observeEra(era uint64, source string) {
	before, raised := i.era.Observe(era)
	if !raised {
		return
	}
	i.meters.era.Update(float64(era))
	message := "store_era_known"
	if before > 0 {
		message = "store_restored"
		i.meters.restored.Inc(1)
	}
	logLine(i.cfg.Logger, "level", "info", "msg", message, "era", era, "before", before, "source", source)
}
