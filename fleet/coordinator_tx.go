package fleet

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/store"
)

// maxTransactionEntries is the most entries that one transaction of the store may have, conditions included.
const maxTransactionEntries = 100

// concurrentWriteError marks a claim that failed because another instance wrote the row; such a claim is retried.
type concurrentWriteError struct{ error }

func isConcurrentWrite(err error) bool {
	var conflict concurrentWriteError
	return errors.As(err, &conflict)
}

// recordTx collects the rows of a transaction on coordinatorTable.
type recordTx struct {
	tx store.Tx
	// err is the first error of the encoding.
	err error
}

// expect requires that a row is as in the snapshot.
func (t *recordTx) expect(s store.Snapshot, key string) {
	row, _ := s.Row(key)
	t.tx.Expect = append(t.tx.Expect, store.Row{Table: coordinatorTable, Key: key, Version: row.Version})
}

// upsert writes a row.
func (t *recordTx) upsert(key string, value any) {
	text, err := json.Marshal(value)
	if t.err == nil {
		t.err = err
	}
	t.tx.Upserts = append(t.tx.Upserts, store.Row{Table: coordinatorTable, Key: key, Value: text})
}

// upsertEra records the era of the store unless the record has it.
func (t *recordTx) upsertEra(record coordinatorRecord) {
	if s := record.snapshot; record.era.Era != s.Era {
		t.upsert(eraKey, eraRow{Era: s.Era, SinceMs: s.Now.Milliseconds()})
	}
}

// commit applies the transaction in an era of the store.
//
// It fails with a concurrentWriteError if another instance wrote one of the expected
// rows, with KindOutcomeUnknown if the store has left the era, and with the errors of
// the store.
func (t *recordTx) commit(ctx context.Context, s store.Store, era uint64) error {
	if t.err != nil {
		return t.err
	}
	if len(t.tx.Expect)+len(t.tx.Upserts) > maxTransactionEntries {
		return fault.New(fault.Config{
			Kind:    fault.KindUnavailable,
			Message: "too many promotions are in progress to be written again in one transaction",
			Remedy:  "no action needed; the lease is claimed once they have ended",
		})
	}
	committed, err := s.Commit(ctx, t.tx)
	switch {
	case fault.KindOf(err) == fault.KindConflict:
		return concurrentWriteError{err}
	case err != nil:
		return err
	case committed.Era != era:
		return restoredError(fault.KindOutcomeUnknown, nil)
	}
	return nil
}
