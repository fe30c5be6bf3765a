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
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

// coordinatorLeaseConfig describes one instance's access to the coordinator lease.
type coordinatorLeaseConfig struct {
	Store store.Store
	Name  string
	Clock func() time.Time
	// Others returns the number of the other instances believed alive; nil means that there are none.
	Others func() int
}

// coordinatorLease is the right to order promotions, which one instance, the promotion coordinator, holds at a time; it is
// safe for concurrent use.
//
// For the other instances the lease ends on the store's clock. The holder ends it earlier, on its own clock and counted
// from before it sent the transaction. The fencing token increases whenever the holder changes.
type coordinatorLease struct {
	cfg coordinatorLeaseConfig
	// reach tells whether this instance can perform the duty.
	reach apiReach
	// claimMu serialises claims, which read the row and then write it.
	claimMu   sync.Mutex
	mu        sync.Mutex
	token     uint64
	heldUntil time.Time
	// intents holds, by group, the intents that the store held at the last claim, which are written again if it loses them.
	intents map[string]heldIntent
	// intentsEra is the era of the store at that claim.
	intentsEra uint64
	// complete reports that no other intent was in force at the last claim.
	complete bool
	// attempts holds, by group, the attempts of this process whose end the store may not hold, oldest first.
	attempts map[string][]*claimedAttempt
}

// heldIntent is an intent with its end on this instance's clock.
type heldIntent struct {
	intent intentRow
	until  time.Time
}

// row returns the row of the intent, given a time on the store's clock and the same time on this instance's clock.
func (h heldIntent) row(now time.Duration, local time.Time) intentRow {
	row := h.intent
	row.UntilMs = (now + h.until.Sub(local)).Milliseconds()
	return row
}

// claimRequest describes a claim of the lease for an attempt to promote a member of a group.
type claimRequest struct {
	group   string
	attempt string
	// term is the least term to claim.
	term group.Term
	// renew requires that the attempt has claimed term before and that no other has claimed the group since.
	renew bool
}

// claimed is the result of a claim.
type claimed struct {
	// term is the claimed term: the first one from that of the request on that no earlier attempt may use.
	term group.Term
	// orders are the promotions that earlier attempts have recorded, oldest first.
	orders []failover.Order
	// interrupted reports that an attempt of another process claimed a term for which it recorded no order.
	interrupted bool
}

func newCoordinatorLease(cfg coordinatorLeaseConfig) *coordinatorLease {
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	return &coordinatorLease{cfg: cfg, attempts: map[string][]*claimedAttempt{}}
}

// Held returns the fencing token of the lease, and reports whether this instance may order promotions now.
func (l *coordinatorLease) Held() (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.cfg.Clock().Before(l.heldUntil)
}

// OrderEnded records whether the promotion API answered an order; err is the error of Adapter.Promote.
func (l *coordinatorLease) OrderEnded(err error) { l.reach.record(l.cfg.Clock(), err) }

// HeldUntil returns the fencing token and the end of the lease on this instance's clock, and reports whether it is held now.
func (l *coordinatorLease) HeldUntil() (token uint64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.heldUntil, l.cfg.Clock().Before(l.heldUntil)
}

// Claim acquires or renews the lease for a promotion of a group, and records an intent for this promotion.
//
// It fails with KindConflict while another instance holds the lease, or if another
// attempt has claimed the group since the one that renews it, or if the promotion API
// does not answer this instance while there are others, and with KindUnavailable
// when the store does not return the holder. It makes claimTries tries if the outcome of
// a write is unknown or another instance wrote the row; the error of the last try is then
// KindOutcomeUnknown or a concurrentWriteError.
func (l *coordinatorLease) Claim(ctx context.Context, r claimRequest) (claimed, error) {
	l.claimMu.Lock()
	defer l.claimMu.Unlock()
	attempt, err := l.beginClaim(r)
	if err != nil {
		return claimed{}, err
	}
	var c claimed
	for range claimTries {
		c, err = l.claim(ctx, r)
		l.recordClaimTry(attempt, err)
		if fault.KindOf(err) != fault.KindOutcomeUnknown && !isConcurrentWrite(err) {
			break
		}
	}
	l.endClaim(r, attempt, err)
	return c, err
}

// claim reads the record, and writes it if no other instance holds the lease.
func (l *coordinatorLease) claim(ctx context.Context, r claimRequest) (claimed, error) {
	sentAt := l.cfg.Clock()
	if l.cfg.Others != nil && l.cfg.Others() > 0 && l.reach.yields(sentAt) {
		return claimed{}, yieldError()
	}
	s, err := l.cfg.Store.All(ctx, coordinatorTable)
	if err != nil {
		return claimed{}, err
	}
	record, err := decodeCoordinator(s)
	if err != nil {
		return claimed{}, err
	}
	if err := l.checkClaimable(ctx, record); err != nil {
		return claimed{}, err
	}
	intents := l.liveIntents(sentAt, record)
	_, before, err := decodeIntent(s, r.group)
	if err != nil {
		return claimed{}, err
	}
	if lost, ok := intents[r.group]; ok && lost.intent.Ordered > before.Ordered {
		before = lost.intent
	}
	before, interrupted := l.resolve(r, before)
	intent, err := before.claimedBy(r, s, record.current.Holder == l.cfg.Name)
	if err != nil {
		return claimed{}, err
	}
	result := claimed{term: group.Term(intent.Term), orders: before.failoverOrders(), interrupted: interrupted}
	intents[r.group] = heldIntent{intent: intent, until: sentAt.Add(coordinatorLeaseDuration)}
	return result, l.write(ctx, sentAt, record, intents, r.group)
}

// checkClaimable returns an error if another instance holds the lease, or may hold it.
func (l *coordinatorLease) checkClaimable(ctx context.Context, record coordinatorRecord) error {
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
	return nil
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

// RecordOrders records the promotions that were ordered for a group since the effect of one was last known, before the newest
// of them is sent; it does not block claims.
//
// It fails with KindConflict if another attempt has claimed the group, and otherwise with
// the errors of Claim.
func (l *coordinatorLease) RecordOrders(ctx context.Context, name, attempt string, orders []failover.Order) error {
	var err error
	for range claimTries {
		err = l.recordOrders(ctx, name, attempt, orders)
		if err == nil {
			l.orderRecorded(name, attempt)
		}
		if fault.KindOf(err) != fault.KindOutcomeUnknown && !isConcurrentWrite(err) {
			return err
		}
	}
	return err
}

func (l *coordinatorLease) recordOrders(ctx context.Context, name, attempt string, orders []failover.Order) error {
	s, row, before, err := l.readIntent(ctx, name)
	if err != nil {
		return err
	}
	if before.Attempt != attempt {
		return claimedByOtherError(name)
	}
	if before.Order != orderPossible && slices.Equal(before.failoverOrders(), orders) {
		return nil
	}
	intent := before.withOrders(orders)
	intent.Order = orderByClock
	return l.writeIntent(ctx, s.Era, name, row, intent)
}

// readIntent returns a snapshot of coordinatorTable, and the row and the intent of a group; it fails with KindUnavailable.
func (l *coordinatorLease) readIntent(ctx context.Context, name string) (s store.Snapshot, row store.Row, intent intentRow, err error) {
	if s, err = l.cfg.Store.All(ctx, coordinatorTable); err != nil {
		return s, row, intent, err
	}
	row, intent, err = decodeIntent(s, name)
	return s, row, intent, err
}

// writeIntent replaces the row of a group's intent.
func (l *coordinatorLease) writeIntent(ctx context.Context, era uint64, name string, row store.Row, intent intentRow) error {
	tx := recordTx{tx: store.Tx{Expect: []store.Row{{Table: coordinatorTable, Key: intentKeyPrefix + name, Version: row.Version}}}}
	tx.upsert(intentKeyPrefix+name, intent)
	if err := tx.commit(ctx, l.cfg.Store, era); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if held, ok := l.intents[name]; ok {
		held.intent = intent
		l.intents[name] = held
	}
	return nil
}

func claimedByOtherError(name string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindConflict,
		Message: "another attempt has claimed the promotion of " + name,
		Remedy:  "no action needed; that attempt continues",
	})
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
		remaining, ended := remainingTime(record.snapshot, intent.UntilMs+intentSlack.Milliseconds())
		if !ended && intent.Order != orderNone || intent.Order == orderPossible {
			intents[name] = heldIntent{intent: intent, until: now.Add(remaining - intentSlack)}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.intentsEra == record.snapshot.Era {
		return intents
	}
	for name, lost := range l.intents {
		if known, ok := intents[name]; now.Before(lost.until.Add(intentSlack)) && (!ok || known.intent.Term < lost.intent.Term) {
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
	l.intents, l.intentsEra, l.complete = intents, record.snapshot.Era, row.Complete
	return nil
}

func (l *coordinatorLease) completeIntents() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}
