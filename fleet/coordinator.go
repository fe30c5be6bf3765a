package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

// Rows of the store that record the promotion coordinator and the promotions in progress.
const (
	coordinatorTable = "monsoontiller"
	coordinatorKey   = "duty/promotion"
	// intentKeyPrefix starts the keys of the intent rows, one for each group.
	intentKeyPrefix = "intent/"
)

// intentRow is a write-ahead record: a promotion of a group to Term may be in progress.
type intentRow struct {
	Term uint64 `json:"term"`
	// UntilMs is when the promotion can no longer be ordered, on the store's clock.
	UntilMs int64 `json:"until_ms"`
}

// intentSlack is how long after the end of an intent its promotion order may still take effect.
const intentSlack = 1500 * time.Millisecond

// promotionInProgress reports whether a promotion of a group to a term above term may be in progress, given a snapshot of
// coordinatorTable.
func promotionInProgress(s store.Snapshot, name string, term group.Term) bool {
	row, ok := s.Row(intentKeyPrefix + name)
	if !ok {
		return false
	}
	var intent intentRow
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		// An intent that cannot be decoded may belong to a promotion in progress.
		return true
	}
	return group.Term(intent.Term) > term && s.Now < time.Duration(intent.UntilMs)*time.Millisecond+intentSlack
}

// coordinatorRow records which instance holds the coordinator lease.
type coordinatorRow struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// UntilMs is when the lease ends, on the store's clock.
	UntilMs int64 `json:"until_ms"`
}

// coordinatorLeaseConfig describes one instance's access to the coordinator lease.
type coordinatorLeaseConfig struct {
	Store store.Store
	Name  string
	Clock func() time.Time
}

// coordinatorLease is the right to order promotions, which one instance, the promotion coordinator, holds at a time; it is
// safe for concurrent use.
//
// For the other instances the lease ends on the store's clock. The holder ends it earlier, on its own clock and counted
// from before it sent the transaction. The fencing token increases whenever the holder changes.
type coordinatorLease struct {
	cfg coordinatorLeaseConfig
	// claimMu serialises claims, which read the row and then write it.
	claimMu   sync.Mutex
	mu        sync.Mutex
	token     uint64
	heldUntil time.Time
}

func newCoordinatorLease(cfg coordinatorLeaseConfig) *coordinatorLease {
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	return &coordinatorLease{cfg: cfg}
}

// Held returns the fencing token of the lease, and reports whether this instance may order promotions now.
func (l *coordinatorLease) Held() (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.cfg.Clock().Before(l.heldUntil)
}

// Claim acquires or renews the lease for a promotion of a group to a term, and records an intent for this promotion.
//
// It fails with KindConflict while another instance holds the lease, and with
// KindUnavailable when the store does not return the holder. It makes claimTries
// tries if the outcome of a write is unknown or another instance wrote the row;
// the error of the last try is then KindOutcomeUnknown or a concurrentWriteError.
func (l *coordinatorLease) Claim(ctx context.Context, name string, term group.Term) error {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	var err error
	for range claimTries {
		err = l.claim(ctx, name, term)
		if fault.KindOf(err) != fault.KindOutcomeUnknown && !isConcurrentWrite(err) {
			return err
		}
	}
	return err
}

// concurrentWriteError marks a claim that failed because another instance wrote the row; such a claim is retried.
type concurrentWriteError struct{ error }

func isConcurrentWrite(err error) bool {
	var conflict concurrentWriteError
	return errors.As(err, &conflict)
}

// claim reads the row, and writes it if no other instance holds the lease.
func (l *coordinatorLease) claim(ctx context.Context, name string, term group.Term) error {
	sentAt := l.cfg.Clock()
	s, err := l.cfg.Store.All(ctx, coordinatorTable)
	if err != nil {
		return err
	}
	row, found := s.Row(coordinatorKey)
	var current coordinatorRow
	if found {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return fault.New(fault.Config{
				Kind:    fault.KindUnavailable,
				Message: "the row of the promotion coordinator cannot be decoded",
				Remedy:  "remove the row " + coordinatorKey + " of the table " + coordinatorTable,
				Cause:   err,
			})
		}
	}
	next := coordinatorRow{Holder: l.cfg.Name, Token: current.Token, UntilMs: (s.Now + coordinatorLeaseDuration).Milliseconds()}
	switch {
	case current.Holder == l.cfg.Name:
	case found && s.Now.Milliseconds() < current.UntilMs:
		return fault.New(fault.Config{
			Kind:    fault.KindConflict,
			Message: current.Holder + " holds the lease of the promotion coordinator",
			Remedy:  "no action needed; it orders the promotion, or its lease ends within seconds",
		})
	default:
		next.Token++
	}
	intent := intentRow{Term: uint64(term), UntilMs: next.UntilMs}
	return l.write(ctx, sentAt, row, next, store.Row{Table: coordinatorTable, Key: intentKeyPrefix + name}, intent)
}

// write commits the coordinator row and the intent in one transaction, and then updates the lease that this instance holds.
func (l *coordinatorLease) write(ctx context.Context, sentAt time.Time, row store.Row, next coordinatorRow, intentRecord store.Row, intent intentRow) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	if intentRecord.Value, err = json.Marshal(intent); err != nil {
		return err
	}
	_, err = l.cfg.Store.Commit(ctx, store.Tx{
		Expect:  []store.Row{{Table: coordinatorTable, Key: coordinatorKey, Version: row.Version}},
		Upserts: []store.Row{{Table: coordinatorTable, Key: coordinatorKey, Value: value}, intentRecord},
	})
	if fault.KindOf(err) == fault.KindConflict {
		return concurrentWriteError{err}
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = next.Token
	l.heldUntil = sentAt.Add(coordinatorLeaseDuration - coordinatorLeaseMargin)
	return nil
}
