package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

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
	// intents holds, by group, the intents that the store held at the last claim, which are written again if it loses them.
	intents map[string]heldIntent
	// complete reports that no other intent was in force at the last claim.
	complete bool
}

// heldIntent is an intent with its end on this instance's clock.
type heldIntent struct {
	term    uint64
	until   time.Time
	ordered uint64
}

// row returns the row of the intent, given a time on the store's clock and the same time on this instance's clock.
func (h heldIntent) row(now time.Duration, local time.Time) intentRow {
	return intentRow{Term: h.term, UntilMs: (now + h.until.Sub(local)).Milliseconds(), Ordered: h.ordered}
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

// claim reads the record, and writes it if no other instance holds the lease.
func (l *coordinatorLease) claim(ctx context.Context, name string, term group.Term) error {
	sentAt := l.cfg.Clock()
	s, err := l.cfg.Store.All(ctx, coordinatorTable)
	if err != nil {
		return err
	}
	record, err := decodeCoordinator(s)
	if err != nil {
		return err
	}
	_, held := l.Held()
	switch {
	case !record.claimsKnown() && !held:
		if err := l.recordEra(ctx, record); err != nil {
			return err
		}
		return fault.New(fault.Config{
			Kind:    fault.KindConflict,
			Message: "the store has returned from an older copy, and another instance may hold the lease of the promotion coordinator",
			Remedy:  "no action needed; it is claimed once every lost claim has ended, which takes seconds",
		})
	case record.heldByOther(l.cfg.Name):
		return fault.New(fault.Config{
			Kind:    fault.KindConflict,
			Message: record.current.Holder + " holds the lease of the promotion coordinator",
			Remedy:  "no action needed; it orders the promotion, or its lease ends within seconds",
		})
	}
	intents := l.liveIntents(sentAt, record)
	_, before, err := decodeIntent(s, name)
	if err != nil {
		return err
	}
	intents[name] = heldIntent{
		term: uint64(term), until: sentAt.Add(coordinatorLeaseDuration), ordered: max(before.Ordered, intents[name].ordered),
	}
	return l.write(ctx, sentAt, record, intents, name)
}

// Restore writes the lease and the intents again if this instance holds the lease and the store has lost them, and records
// the beginning of the store's era.
//
// It fails with the errors of Claim.
func (l *coordinatorLease) Restore(ctx context.Context) error {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	sentAt := l.cfg.Clock()
	s, err := l.cfg.Store.All(ctx, coordinatorTable)
	if err != nil {
		return err
	}
	record, err := decodeCoordinator(s)
	if err != nil {
		return err
	}
	if _, held := l.Held(); held && s.Era > 0 && record.current.Era != s.Era && !record.heldByOther(l.cfg.Name) {
		return l.write(ctx, sentAt, record, l.liveIntents(sentAt, record))
	}
	return l.recordEra(ctx, record)
}

// RecordOrder records that the promotion of a group to a term was ordered, in the intent of this promotion; it does not
// block claims.
//
// It fails with the errors of Claim.
func (l *coordinatorLease) RecordOrder(ctx context.Context, name string, term group.Term) error {
	s, err := l.cfg.Store.All(ctx, coordinatorTable)
	if err != nil {
		return err
	}
	row, intent, err := decodeIntent(s, name)
	if err != nil || group.Term(intent.Ordered) >= term {
		return err
	}
	intent.Ordered = uint64(term)
	tx := recordTx{tx: store.Tx{Expect: []store.Row{{Table: coordinatorTable, Key: intentKeyPrefix + name, Version: row.Version}}}}
	tx.upsert(intentKeyPrefix+name, intent)
	if err := tx.commit(ctx, l.cfg.Store, s.Era); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if held, ok := l.intents[name]; ok {
		held.ordered = uint64(term)
		l.intents[name] = held
	}
	return nil
}

// recordEra records the store's era, from which on lost claims are waited out, unless an instance has done so.
func (l *coordinatorLease) recordEra(ctx context.Context, record coordinatorRecord) error {
	if record.era.Era == record.snapshot.Era {
		return nil
	}
	tx := recordTx{tx: store.Tx{Expect: record.expectations()}}
	tx.upsertEra(record)
	return tx.commit(ctx, l.cfg.Store, record.snapshot.Era)
}

// liveIntents returns the intents that have not ended: those of the record, and those of the last claim that the store lost.
func (l *coordinatorLease) liveIntents(now time.Time, record coordinatorRecord) map[string]heldIntent {
	intents := map[string]heldIntent{}
	for _, row := range record.snapshot.Rows {
		name, isIntent := strings.CutPrefix(row.Key, intentKeyPrefix)
		var intent intentRow
		if !isIntent || json.Unmarshal(row.Value, &intent) != nil {
			continue
		}
		if remaining, ended := remainingTime(record.snapshot, intent.UntilMs+intentSlack.Milliseconds()); !ended {
			intents[name] = heldIntent{term: intent.Term, until: now.Add(remaining - intentSlack), ordered: intent.Ordered}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, lost := range l.intents {
		if known, ok := intents[name]; now.Before(lost.until.Add(intentSlack)) && (!ok || known.term < lost.term) {
			intents[name] = lost
		}
	}
	return intents
}

// write commits the lease with the intents of the named groups, or with all of them if the store has lost some, and then
// updates the lease that this instance holds.
func (l *coordinatorLease) write(ctx context.Context, sentAt time.Time, record coordinatorRecord, intents map[string]heldIntent, groups ...string) error {
	token, held := l.Held()
	if !held {
		token = record.nextToken(l.cfg.Name)
	}
	lost := record.current.Era != record.snapshot.Era
	if lost {
		groups = slices.Collect(maps.Keys(intents))
	}
	now := record.snapshot.Now
	row := coordinatorRow{
		Holder: l.cfg.Name, Token: token, UntilMs: (now + coordinatorLeaseDuration).Milliseconds(), Era: record.snapshot.Era,
		Complete: record.intentsKnown() || lost && held && l.completeIntents(),
	}
	tx := recordTx{tx: store.Tx{Expect: record.expectations()}}
	tx.upsert(coordinatorKey, row)
	for _, name := range groups {
		tx.expect(record.snapshot, intentKeyPrefix+name)
		tx.upsert(intentKeyPrefix+name, intents[name].row(now, sentAt))
	}
	tx.upsertEra(record)
	if err := tx.commit(ctx, l.cfg.Store, record.snapshot.Era); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token = token
	l.heldUntil = sentAt.Add(coordinatorLeaseDuration - coordinatorLeaseMargin)
	l.intents, l.complete = intents, row.Complete
	return nil
}

func (l *coordinatorLease) completeIntents() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}
