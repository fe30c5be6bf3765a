package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/store"
)

// Duty gives tests the duty of promotions, which has no exported form.
type Duty struct{ duty *duty }

// NewDuty returns one instance's side of the duty.
func NewDuty(s store.Store, name string, now func() time.Time) *Duty {
	return &Duty{duty: newDuty(dutyConfig{Store: s, Name: name, Clock: now})}
}

// Claim takes or renews the duty.
func (d *Duty) Claim(ctx context.Context, name string, term group.Term) error {
	return d.duty.Claim(ctx, name, term)
}

// Held returns the token while the duty is held.
func (d *Duty) Held() (uint64, bool) { return d.duty.Held() }

// Promoting reports whether a promotion past term may be under way.
func Promoting(s store.Snapshot, name string, term group.Term) bool { return promoting(s, name, term) }

// DutyTable is the table of the duty's rows.
const DutyTable = dutyTable

// DutyLease is how long a duty lasts for others, and IntentSlack how long its order may still take effect after that.
const (
	DutyLease   = dutyLease
	IntentSlack = intentSlack
	DutyMargin  = dutyMargin
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
