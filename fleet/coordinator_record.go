package fleet

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
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
	// eraKey is the key of the row that records the beginning of the store's era.
	eraKey = "store_era"
)

// intentRow is a write-ahead record: a promotion of a group to Term may be in progress.
type intentRow struct {
	Term uint64 `json:"term"`
	// UntilMs is when the promotion can no longer be ordered, on the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Ordered is the newest term to which a promotion was ordered, or may have been, or 0; the store does not confirm earlier
	// terms again, unless the newest of Orders has put their primary in place.
	Ordered uint64 `json:"ordered,omitempty"`
	// Attempt is the attempt that claimed Term, or "" in rows of builds that do not record it.
	Attempt string `json:"attempt,omitempty"`
	// Orders are the promotions that were ordered, oldest first, since the effect of one was last known; it is empty in rows
	// of builds that do not record them.
	Orders []orderRow `json:"orders,omitempty"`
	// Order tells whether Attempt may have ordered a promotion that is not among Orders.
	Order orderState `json:"order,omitempty"`
}

// orderState tells whether the attempt that claimed an intent may have ordered a promotion that is not recorded.
type orderState string

const (
	// orderByClock is the state of a row whose order is recorded, and of builds that record no state: an order that is not
	// recorded can be sent until UntilMs.
	orderByClock orderState = ""
	// orderPossible means that the attempt may have ordered a promotion to Term, which Ordered counts, however long ago.
	orderPossible orderState = "possible"
	// orderNone means that the attempt has ended without an order.
	orderNone orderState = "none"
)

// orderRow records an order to promote an endpoint to one of the terms after After up to Term.
type orderRow struct {
	Endpoint string `json:"endpoint"`
	After    uint64 `json:"after"`
	Term     uint64 `json:"term"`
	// Settled means that the order can have no effect any more.
	Settled bool `json:"settled,omitempty"`
}

// failoverOrders returns the recorded orders; a term without a recorded endpoint is an order for an unknown one.
func (r intentRow) failoverOrders() []failover.Order {
	var orders []failover.Order
	for _, o := range r.Orders {
		orders = append(orders, failover.Order{Endpoint: o.Endpoint, After: group.Term(o.After), Term: group.Term(o.Term), Settled: o.Settled})
	}
	if last := len(orders) - 1; r.Ordered > 0 && (last < 0 || orders[last].Term < group.Term(r.Ordered)) {
		orders = append(orders, failover.Order{Term: group.Term(r.Ordered)})
	}
	return orders
}

// withOrders returns the row with the given orders, the last of which is the newest.
func (r intentRow) withOrders(orders []failover.Order) intentRow {
	r.Orders = nil
	for _, o := range orders {
		r.Orders = append(r.Orders, orderRow{Endpoint: o.Endpoint, After: uint64(o.After), Term: uint64(o.Term), Settled: o.Settled})
		r.Ordered = max(r.Ordered, uint64(o.Term))
	}
	return r
}

// recordedTerm returns the newest term of an order in the row other than that which its attempt may have sent.
func (r intentRow) recordedTerm() uint64 {
	last := len(r.Orders) - 1
	switch {
	case r.Order != orderPossible:
		return r.Ordered
	case last >= 0:
		return r.Orders[last].Term
	}
	return 0
}

// withoutOrder returns the row of an attempt that has ended without an order.
func (r intentRow) withoutOrder() intentRow {
	r.Ordered = r.recordedTerm()
	r.Order = orderNone
	return r
}

// withOrderOf returns the row of another attempt with an order of which that attempt knows nothing.
func (r intentRow) withOrderOf(o failover.Order) intentRow {
	r.Orders = append(slices.Clone(r.Orders), orderRow{Endpoint: o.Endpoint, After: uint64(o.After), Term: uint64(o.Term)})
	r.Ordered = max(r.Ordered, uint64(o.Term))
	return r
}

// claimedBy returns the row after a claim, given the snapshot that holds the row, and whether the same instance has claimed it.
//
// The claimed term is above those that earlier orders may have used, and above that of an
// attempt of another instance that may still be in progress: no promise to it is another's.
// An order of that attempt which is not recorded remains as one for an unknown member.
// From the claim on, the row counts an order to the claimed term: the attempt may send it
// while the store does not answer.
func (r intentRow) claimedBy(c claimRequest, s store.Snapshot, sameHolder bool) (intentRow, error) {
	if r.Attempt == c.attempt && group.Term(r.Term) == c.term {
		return r, nil
	}
	if c.renew && r.Term != 0 {
		return intentRow{}, claimedByOtherError(c.group)
	}
	next := intentRow{Term: uint64(c.term), Attempt: c.attempt, Order: orderPossible}.withOrders(r.failoverOrders())
	if r.Ordered > 0 {
		next.Term = max(next.Term, r.Ordered+1)
	}
	if _, ended := remainingTime(s, r.UntilMs+intentSlack.Milliseconds()); !ended && !sameHolder {
		next.Term = max(next.Term, r.Term+1)
	}
	next.Ordered = next.Term
	return next, nil
}

// mayBeOrdered reports whether the attempt that claimed the row may have ordered a promotion that is not recorded.
func (r intentRow) mayBeOrdered() bool {
	return r.Order == orderPossible || r.Order == orderByClock && r.Term > r.Ordered
}

// ended reports whether the attempt that claimed the row can send no order from now on, given the snapshot that holds the row.
func (r intentRow) ended(s store.Snapshot) bool {
	_, ended := remainingTime(s, r.UntilMs+intentSlack.Milliseconds())
	return ended || r.Order == orderNone
}

// supersedes reports whether a promotion was ordered that a primary of a term does not survive, and returns the last term
// that the attempt which put the primary in place may have used.
func (r intentRow) supersedes(primary string, term group.Term) (superseded bool, used group.Term) {
	orders := r.failoverOrders()
	if len(orders) == 0 {
		return false, term
	}
	newest := orders[len(orders)-1]
	if newest.Leads(primary, term) {
		return false, newest.Term
	}
	return newest.Term > term || newest.Term == term && newest.Endpoint != "", term
}

// intentSlack is how long after the end of an intent its promotion order may still take effect.
const intentSlack = 1500 * time.Millisecond

// coordinatorRow records which instance holds the coordinator lease.
type coordinatorRow struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// UntilMs is when the lease ends, on the store's clock.
	UntilMs int64 `json:"until_ms"`
	// Era is the era of the store in which the row was written, or 0 if the store reported none.
	Era uint64 `json:"era,omitempty"`
	// Complete reports that no intent of an earlier era is missing from the store.
	Complete bool `json:"complete,omitempty"`
}

// eraRow records that an instance saw the store in an era.
type eraRow struct {
	Era uint64 `json:"era"`
	// SinceMs is when the row was written, on the store's clock.
	SinceMs int64 `json:"since_ms"`
}

// tokenEraBits is the number of low bits of a fencing token that count the holders within an era. The era in the bits above
// keeps the tokens increasing when the store has lost the newest ones.
const tokenEraBits = 32

// coordinatorRecord is the decoded content of coordinatorTable.
type coordinatorRecord struct {
	snapshot store.Snapshot
	// row and eraRow hold the versions of the rows; they are zero for rows that do not exist.
	row, eraRow store.Row
	current     coordinatorRow
	era         eraRow
}

// decodeCoordinator decodes a snapshot of coordinatorTable; it fails with KindUnavailable if a row cannot be decoded.
func decodeCoordinator(s store.Snapshot) (coordinatorRecord, error) {
	r := coordinatorRecord{snapshot: s}
	for _, part := range []struct {
		key   string
		row   *store.Row
		value any
	}{
		{coordinatorKey, &r.row, &r.current},
		{eraKey, &r.eraRow, &r.era},
	} {
		row, found := s.Row(part.key)
		if !found {
			continue
		}
		*part.row = row
		if err := json.Unmarshal(row.Value, part.value); err != nil {
			return r, undecodableError(part.key, err)
		}
	}
	if len(r.row.Value) > 0 && (r.current.Token == 0 || r.current.Token >= maxToken) {
		return r, undecodableError(coordinatorKey, errTokenOutOfRange)
	}
	return r, nil
}

// maxToken is above every fencing token that a holder can have used; the next one after it would not be higher.
const maxToken = 1 << 63

// errTokenOutOfRange means that the row of the lease holds no fencing token: it is not a row that a holder has written, and the
// newest token is not known.
var errTokenOutOfRange = errors.New("its fencing token is out of range")

// lastsFor reports whether the store's era has certainly lasted for d, or is the only one.
func (r coordinatorRecord) lastsFor(d time.Duration) bool {
	since := time.Duration(r.era.SinceMs) * time.Millisecond
	return r.snapshot.Era == 0 || r.era.Era == r.snapshot.Era && r.snapshot.Now-since >= d
}

// claimsKnown reports whether no claim that the store has lost can be in force: the lease was written in this era, or every
// lease of earlier eras has ended.
func (r coordinatorRecord) claimsKnown() bool {
	return r.current.Era == r.snapshot.Era || r.lastsFor(coordinatorLeaseDuration)
}

// intentsKnown reports whether no intent that the store has lost can be in force: the holder of the lease at the store's
// return has written them again, or all of them have ended.
func (r coordinatorRecord) intentsKnown() bool {
	return r.current.Era == r.snapshot.Era && r.current.Complete || r.lastsFor(coordinatorLeaseDuration+intentSlack)
}

// heldByOther reports whether the lease of an instance other than name has not ended. Rows without an era are
// written by builds that know none.
func (r coordinatorRecord) heldByOther(name string) bool {
	sameEra := r.current.Era == r.snapshot.Era || r.current.Era == 0
	_, ended := remainingTime(r.snapshot, r.current.UntilMs)
	return r.current.Holder != "" && r.current.Holder != name && sameEra && !ended
}

// remainingTime returns the time from a snapshot to an end on the store's clock, and whether the end has passed.
//
// The clock may have gone back with the rows. A claim or an intent that seems to last
// longer than the longest one is of an earlier era, and has ended by the time that
// claims and intents are known again.
func remainingTime(s store.Snapshot, untilMs int64) (remaining time.Duration, ended bool) {
	remaining = time.Duration(untilMs)*time.Millisecond - s.Now
	return remaining, remaining <= 0 || remaining > coordinatorLeaseDuration+intentSlack
}

// nextToken returns the fencing token of a claim by name, which does not hold the lease now.
func (r coordinatorRecord) nextToken(name string) uint64 {
	if r.current.Holder == name && r.current.Era == r.snapshot.Era {
		return r.current.Token
	}
	return max(r.snapshot.Era<<tokenEraBits, r.current.Token) + 1
}

// expectations returns the conditions under which the record is still current.
func (r coordinatorRecord) expectations() []store.Row {
	expect := []store.Row{{Table: coordinatorTable, Key: coordinatorKey, Version: r.row.Version}}
	if r.snapshot.Era > 0 {
		expect = append(expect, store.Row{Table: coordinatorTable, Key: eraKey, Version: r.eraRow.Version})
	}
	return expect
}

// decodeIntent returns the row and the intent of a group, or zero values if there is none; it fails with KindUnavailable if
// the row cannot be decoded.
func decodeIntent(s store.Snapshot, name string) (row store.Row, intent intentRow, err error) {
	row, found := s.Row(intentKeyPrefix + name)
	if !found {
		return row, intent, nil
	}
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		return row, intent, undecodableError(intentKeyPrefix+name, err)
	}
	return row, intent, nil
}

func undecodableError(key string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "a row of the promotion coordinator cannot be decoded",
		Remedy:  "restore the row " + key + " of the table " + coordinatorTable + "; a fencing token must be above those in the log (duty_claimed)",
		Cause:   cause,
	})
}

// promotionInProgress reports whether a promotion that replaces the primary of a group's term may be in progress or has been
// ordered, given a snapshot of coordinatorTable.
func promotionInProgress(s store.Snapshot, name string, term group.Term, primary string) bool {
	if record, err := decodeCoordinator(s); err != nil || !record.intentsKnown() {
		// The record of a promotion in progress may be lost.
		return true
	}
	_, intent, err := decodeIntent(s, name)
	if err != nil {
		// An intent that cannot be decoded may belong to a promotion in progress.
		return true
	}
	superseded, used := intent.supersedes(primary, term)
	return superseded || group.Term(intent.Term) > used && !intent.ended(s)
}

// promotionOverdue reports whether a promotion replaces the primary of a group's term and nobody completes it, given a snapshot
// of coordinatorTable: the time of its attempt has passed.
func promotionOverdue(s store.Snapshot, name string, term group.Term, primary string) bool {
	record, err := decodeCoordinator(s)
	if err != nil || !record.intentsKnown() {
		return false
	}
	_, intent, err := decodeIntent(s, name)
	superseded, _ := intent.supersedes(primary, term)
	_, ended := remainingTime(s, intent.UntilMs+intentSlack.Milliseconds())
	return err == nil && superseded && ended
}
