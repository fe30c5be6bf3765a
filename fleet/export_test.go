package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

// CoordinatorLease gives tests access to the coordinator lease.
type CoordinatorLease struct{ lease *coordinatorLease }

// NewCoordinatorLease returns one instance's access to the lease.
func NewCoordinatorLease(s store.Store, name string, now func() time.Time) *CoordinatorLease {
	return &CoordinatorLease{lease: newCoordinatorLease(coordinatorLeaseConfig{Store: s, Name: name, Clock: now})}
}

// Claim acquires or renews the lease.
func (d *CoordinatorLease) Claim(ctx context.Context, name string, term group.Term) error {
	return d.lease.Claim(ctx, name, term)
}

// Held returns the fencing token, and reports whether the lease is held.
func (d *CoordinatorLease) Held() (uint64, bool) { return d.lease.Held() }

// PromotionInProgress reports whether a promotion to a term above term may be in progress.
func PromotionInProgress(s store.Snapshot, name string, term group.Term) bool {
	return promotionInProgress(s, name, term)
}

// CoordinatorTable is the table of the coordinator's rows.
const CoordinatorTable = coordinatorTable

// Times of the coordinator lease and of the intents of promotions.
const (
	CoordinatorLeaseDuration = coordinatorLeaseDuration
	IntentSlack              = intentSlack
	CoordinatorLeaseMargin   = coordinatorLeaseMargin
)

// HomeCount returns how many of n instances hold connections to members, and how many each.
func HomeCount(connections, slots, n int) (homes, share int) { return homeCount(connections, slots, n) }

// KnowsFleet reports whether an instance has waited long enough to be a home.
func KnowsFleet(alive, registered int, age, quiet time.Duration) bool {
	return knowsFleet(alive, registered, age, quiet)
}

// SettleTime is how long an instance at most waits to meet the others.
const SettleTime = settleTime

// NeedsStore reports whether to ask the store as a witness.
func NeedsStore(now, primary, witnessed, replicas time.Time, standby bool) bool {
	return needsStore(now, primary, witnessed, replicas, standby)
}

// Lease is how long the primary may be used after it was confirmed, and RenewEvery how often its evidence is renewed.
const (
	Lease      = lease
	RenewEvery = renewEvery
)

// Directory gives tests the configuration in force, which has no exported form.
type Directory[L Link[L]] struct{ directory *directory[L] }

// NewDirectory returns an empty directory that calls lookup as it looks for a group, and finds none.
func NewDirectory[L Link[L]](lookup func()) *Directory[L] {
	return &Directory[L]{directory: &directory[L]{group: func(string) *engine.Group[L] {
		lookup()
		return nil
	}}}
}

// Apply brings a configuration into force.
func (d *Directory[L]) Apply(doc Document) { d.directory.Apply(doc) }

// Group returns what the configuration says of a group.
func (d *Directory[L]) Group(name string) (GroupTerms, bool) { return d.directory.Group(name) }

// Terms looks a database up.
func (d *Directory[L]) Terms(database string) error {
	_, err := d.directory.Terms(database)
	return err
}
