package fleet

import (
	"context"
	"slices"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
)

// claimedAttempt is an attempt of this process, with what the store does not hold of it.
type claimedAttempt struct {
	id string
	// claiming reports that its claim has not returned. Its row may be in the store if written is set, and may be written
	// later if inDoubt is.
	claiming, written, inDoubt bool
	// orders are the promotions that the attempt and those before it have ordered, or nil if it has sent no order; recorded
	// reports that the store holds them.
	orders   []failover.Order
	recorded bool
	// ended reports that the attempt sends no order from now on.
	ended bool
}

// unsettled reports whether the store has to be told how the attempt has ended, or what it has ordered.
func (a *claimedAttempt) unsettled() bool {
	if a.orders != nil {
		return !a.recorded
	}
	return a.ended && (a.claiming || a.written)
}

// errClaimInProgress means that the end of an attempt cannot be recorded before its claim has returned.
var errClaimInProgress = fault.New(fault.Config{
	Kind:    fault.KindUnavailable,
	Message: "the claim of the attempt has not been answered yet",
	Remedy:  "no action needed; its end is recorded afterwards",
})

// attemptLocked returns the attempt of that name, or nil.
func (l *coordinatorLease) attemptLocked(name, id string) *claimedAttempt {
	for _, a := range l.attempts[name] {
		if a.id == id {
			return a
		}
	}
	return nil
}

// beginClaim returns the attempt that claims; it fails with KindConflict if the attempt has ended.
func (l *coordinatorLease) beginClaim(r claimRequest) (*claimedAttempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attemptLocked(r.group, r.attempt)
	if a == nil {
		a = &claimedAttempt{id: r.attempt}
		l.attempts[r.group] = append(l.attempts[r.group], a)
	}
	if a.ended {
		return nil, claimedByOtherError(r.group)
	}
	a.claiming = true
	return a, nil
}

// recordClaimTry records what one try of a claim may have written.
//
// A row that is written later, since its answer was lost, needs the versions that the try has read: it is lost once a later
// try has succeeded.
func (l *coordinatorLease) recordClaimTry(a *claimedAttempt, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		a.written, a.inDoubt = true, false
	case !isConcurrentWrite(err) && fault.KindOf(err) != fault.KindUnavailable && fault.KindOf(err) != fault.KindConflict:
		a.written, a.inDoubt = true, true
	}
}

// endClaim ends a claim; one that succeeded has made the earlier attempts of its group part of the row.
func (l *coordinatorLease) endClaim(r claimRequest, a *claimedAttempt, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.claiming = false
	if err == nil {
		l.attempts[r.group] = []*claimedAttempt{a}
	}
}

// resolve returns a row with what this process knows of its own attempts, and reports whether an attempt of another process may
// have ordered a promotion that is not recorded.
func (l *coordinatorLease) resolve(r claimRequest, before intentRow) (resolved intentRow, interrupted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := before.Attempt != "" && before.Attempt == r.attempt
	for _, a := range l.attempts[r.group] {
		claimed := before.Attempt != "" && before.Attempt == a.id
		own = own || claimed
		switch {
		case a.id == r.attempt:
		case a.orders != nil && (claimed && before.Order == orderPossible || before.recordedTerm() < newestTerm(a.orders)):
			before = before.withOrders(a.orders)
			before.Order = orderByClock
		case claimed && before.Order == orderPossible:
			before = before.withoutOrder()
		}
	}
	return before, !own && before.mayBeOrdered()
}

func newestTerm(orders []failover.Order) uint64 { return uint64(orders[len(orders)-1].Term) }

// OrderSending records that an attempt is about to send the newest of orders; the function that it returns undoes that, for an
// order that was not sent.
func (l *coordinatorLease) OrderSending(name, attempt string, orders []failover.Order) (undo func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attemptLocked(name, attempt)
	if a == nil {
		a = &claimedAttempt{id: attempt, written: true}
		l.attempts[name] = append(l.attempts[name], a)
	}
	if a.orders != nil {
		return func() {}
	}
	a.orders = slices.Clone(orders)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		a.orders = nil
	}
}

// orderRecorded records that the store holds the orders of an attempt.
func (l *coordinatorLease) orderRecorded(name, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.attemptLocked(name, attempt); a != nil {
		a.recorded = true
	}
}

// End records in memory that an attempt sends no order and makes no claim from now on; Settle records it in the store.
func (l *coordinatorLease) End(name, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[name] = slices.DeleteFunc(l.attempts[name], func(a *claimedAttempt) bool { return a.ended && !a.unsettled() })
	a := l.attemptLocked(name, attempt)
	if a == nil {
		a = &claimedAttempt{id: attempt}
		l.attempts[name] = append(l.attempts[name], a)
	}
	a.ended = true
}

// nextUnsettled returns the oldest attempt of a group that Settle has to record, or nil.
func (l *coordinatorLease) nextUnsettled(name string) *claimedAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts[name] {
		if a.unsettled() {
			settled := *a
			return &settled
		}
	}
	return nil
}

// Settle records in the store what the attempts of a group have ordered, and that those which have ended ordered nothing; it
// reports whether there was anything to record.
//
// Until then the store confirms no primary that an order of theirs would replace. It fails
// with the errors of Claim, and is to be called again then: nobody else knows.
func (l *coordinatorLease) Settle(ctx context.Context, name string) (recorded bool, err error) {
	for a := l.nextUnsettled(name); a != nil; a = l.nextUnsettled(name) {
		if a.claiming {
			return recorded, errClaimInProgress
		}
		if err := l.settle(ctx, name, *a); err != nil {
			return recorded, err
		}
		recorded = true
	}
	return recorded, nil
}

func (l *coordinatorLease) settle(ctx context.Context, name string, a claimedAttempt) error {
	s, row, before, err := l.readIntent(ctx, name)
	if err != nil {
		return err
	}
	if after, changed := a.settle(before); changed {
		if err := l.writeIntent(ctx, s.Era, name, row, after); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if kept := l.attemptLocked(name, a.id); kept != nil {
		kept.recorded = kept.recorded || a.orders != nil
		if a.orders == nil {
			kept.written, kept.inDoubt = false, false
		}
	}
	return nil
}

// settle returns the row of the group's intent with the orders of the attempt, or with its end if it has sent none.
//
// A claim in doubt is written only if the row is as the claim has read it, so the row is
// written again, unchanged.
func (a claimedAttempt) settle(before intentRow) (after intentRow, changed bool) {
	claimed := before.Attempt == a.id
	switch {
	case a.orders != nil && claimed && before.Order == orderPossible:
		after = before.withOrders(a.orders)
		after.Order = orderByClock
		return after, true
	case a.orders != nil && before.recordedTerm() < newestTerm(a.orders):
		return before.withOrderOf(a.orders[len(a.orders)-1]), true
	case a.orders == nil && claimed && before.Order == orderPossible:
		return before.withoutOrder(), true
	}
	return before, a.orders == nil && !claimed && a.inDoubt
}
