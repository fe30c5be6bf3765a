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
	// Version is the version of the transaction that wrote the row. In Tx.Expect, 0 requires that the row is absent.
	Version uint64
	// Deleted marks the removal of the row in a list of changes.
	Deleted bool
}

// Snapshot holds the rows, or the changed rows, of a table as of one version of the store.
type Snapshot struct {
	Rows    []Row
	Version uint64
	// Era is the store's era, which rises by one each time that the store returns from an older copy of its rows. It is 0
	// if the store reports none, and where no answer arrived; it is set beside an error that the store answered with.
	Era uint64
	// Now is the reading of the store's monotonic clock, whose origin is arbitrary.
	Now time.Duration
}

// Position returns the position of the snapshot.
func (s Snapshot) Position() Position { return NewPosition(s.Era, s.Version) }

// Row returns the row of key; ok is false when the snapshot has no such row or only its removal.
func (s Snapshot) Row(key string) (row Row, ok bool) {
	for _, r := range s.Rows {
		if r.Key == key && !r.Deleted {
			return r, true
		}
	}
	return Row{}, false
}

// Tx is a transaction. It applies all of its changes if every row in Expect has the given version, and none otherwise.
type Tx struct {
	Expect  []Row
	Upserts []Row
	Remove  []Row
}

// Store keeps rows; it is safe for concurrent use.
type Store interface {
	// All returns every row of a table; it fails with KindUnavailable.
	All(ctx context.Context, table string) (Snapshot, error)
	// Changes waits until a table changes after version, but at most for wait, and returns the changed rows in order; with a
	// wait of 0 it returns at once.
	//
	// It fails with KindStale when the store has dropped changes after version from its history, and with KindUnavailable.
	Changes(ctx context.Context, table string, version uint64, wait time.Duration) (Snapshot, error)
	// Commit applies a transaction.
	//
	// It fails with KindConflict when a condition does not hold, with KindUnavailable
	// when the transaction was not applied, and with KindOutcomeUnknown when it may
	// have been applied or may still be applied later.
	Commit(ctx context.Context, tx Tx) (Snapshot, error)
}
