package store

import (
	"context"
	"time"
)

// Row is one row of a table.
type Row struct {
	Table string
	Key   string
	Value []byte
	// Version is that of the transaction that wrote the row; 0 in a condition means that the row does not exist.
	Version uint64
	// Deleted marks a change that removed the row.
	Deleted bool
}

// Snapshot is rows as of one version of the store.
type Snapshot struct {
	Rows    []Row
	Version uint64
	// Now is the store's steady clock, from an origin of its own.
	Now time.Duration
}

// Row returns the row of that key; ok is false when the snapshot has none.
func (s Snapshot) Row(key string) (row Row, ok bool) {
	for _, r := range s.Rows {
		if r.Key == key && !r.Deleted {
			return r, true
		}
	}
	return Row{}, false
}

// Tx is a transaction: it applies all of its changes if every row in Expect has its version, or nothing.
type Tx struct {
	Expect  []Row
	Upserts []Row
	Remove  []Row
}

// Store keeps rows; it is safe for concurrent use.
type Store interface {
	// All returns every row of a table; it fails with KindUnavailable.
	All(ctx context.Context, table string) (Snapshot, error)
	// Changes waits until a table changes after version, or for a bounded time, and returns the changed rows in order.
	//
	// It fails with KindStale when that part of the history is gone, and with KindUnavailable.
	Changes(ctx context.Context, table string, version uint64) (Snapshot, error)
	// Commit runs a transaction.
	//
	// It fails with KindConflict when a condition does not hold, with KindUnavailable
	// when nothing was done, and with KindOutcomeUnknown when it may have been done
	// or may yet be.
	Commit(ctx context.Context, tx Tx) (Snapshot, error)
}
