package fleet

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/store"
)

// HomeCount returns how many of n instances are homes of a group, and how many connections to each member a home holds.
func HomeCount(connections, slots, n, dead int) (homes, share int) {
	return homeCount(connections, slots, n, dead)
}

// JoinComplete reports whether an instance can stop waiting for its peers.
func JoinComplete(alive, registered int, age, stable time.Duration) bool {
	return joinComplete(alive, registered, age, stable)
}

// Registration returns the row that registers an instance.
func Registration(self membership.Identity) (store.Row, error) { return encodeRegistration(self) }

// RegisteredIdentity returns the identity that a row registers.
func RegisteredIdentity(row store.Row) (membership.Identity, bool) { return decodeRegistration(row) }

// Presumed returns the instances that an instance presumes alive which expects the given ones until a time and has heard
// from those of heard.
func Presumed(now, until time.Time, expected, heard []membership.Identity) []membership.Identity {
	names := map[string]bool{}
	for _, identity := range heard {
		names[identity.Name()] = true
	}
	e := expectations{identities: expected, until: until}
	return append(heard[:len(heard):len(heard)], e.missing(now, func(name string) bool { return names[name] })...)
}

// StoreCheckChance returns the chance that one of n instances checks the store at a tick.
func StoreCheckChance(n int) float64 { return storeCheckChance(n) }

// EndpointCheckChance returns the chance that a check of one of n instances includes the list of endpoints.
func EndpointCheckChance(n int) float64 { return endpointCheckChance(n) }

// StoreCheckDue reports whether one of n instances checks the store.
func StoreCheckDue(sinceLast time.Duration, sourceLost bool, n int, random float64) bool {
	return storeCheckDue(sinceLast, sourceLost, n, random)
}

// Times of the checks of the store.
const (
	StoreCheckInterval = storeCheckInterval
	StoreCheckTick     = storeCheckTick
)

// MaxJoinWait is the longest time that an instance waits to discover its peers.
const MaxJoinWait = maxJoinWait

// NeedsStoreWitness reports whether to query the store as a witness.
func NeedsStoreWitness(now, primary, witnessed, replicas time.Time, standby bool) bool {
	return needsStoreWitness(now, primary, witnessed, replicas, standby)
}

// Times of the leases of primaries.
const (
	LeaseDuration = leaseDuration
	RenewInterval = renewInterval
)

// Directory gives tests access to the configuration in force.
type Directory[L Link[L]] struct{ directory *directory[L] }

// NewDirectory returns an empty directory whose lookup of a group calls lookup and finds none.
func NewDirectory[L Link[L]](lookup func()) *Directory[L] {
	return &Directory[L]{directory: &directory[L]{group: func(string) *engine.Group[L] {
		lookup()
		return nil
	}}}
}

// Apply puts a configuration into force.
func (d *Directory[L]) Apply(doc Document) { d.directory.Apply(doc) }

// Group returns the configuration of a group.
func (d *Directory[L]) Group(name string) (GroupSettings, bool) { return d.directory.Group(name) }

// ContractTerms looks up a database, and returns only the error.
func (d *Directory[L]) ContractTerms(database string) error {
	_, err := d.directory.ContractTerms(database)
	return err
}

// ListedEndpoint gives tests access to an endpoint's newest entry.
type ListedEndpoint struct{ listed *listedEndpoint }

// ReplacedBy returns the endpoint with a newer entry, read at now.
func (l ListedEndpoint) ReplacedBy(e Entry, at store.Position, now time.Time) ListedEndpoint {
	return ListedEndpoint{listed: l.listed.replacedBy(e, at, now)}
}

// Leaving reports whether the endpoint is about to stop.
func (l ListedEndpoint) Leaving(now time.Time) bool { return l.listed.leaving(now) }

// RemovalGrace is how long an endpoint without an entry is kept.
const RemovalGrace = removalGrace

// Follow follows a table of a store until ctx ends.
func Follow(ctx context.Context, s store.Store, table string) error {
	f := &follower{
		store: s, table: table, logger: log.NewNopLogger(), wait: followWait, era: newStoreEra(), tablesRead: tally.NoopScope.Counter("reads"),
		active: func() bool { return true }, known: func() bool { return true }, settled: func() bool { return true }, applyAll: func(store.Snapshot) {}, applyChanges: func(store.Snapshot) {},
	}
	return f.Run(ctx)
}

// EraTracker gives tests access to the tracking of the store's era.
type EraTracker struct{ era *storeEra }

// NewEraTracker returns a tracker, and a store whose answers it tracks.
func NewEraTracker(s store.Store) (EraTracker, store.Store) {
	e := newStoreEra()
	return EraTracker{era: e}, trackedStore{Store: s, era: e, observe: func(era uint64) { e.Observe(era) }}
}

// LastsFor reports whether the era has not risen within d before now.
func (t EraTracker) LastsFor(d time.Duration, now time.Time) bool { return t.era.LastsFor(d, now) }

// Hint records the era that a peer reported.
func (t EraTracker) Hint(era uint64) { t.era.Hint(era) }

// Current returns the newest era.
func (t EraTracker) Current() uint64 {
	era, _ := t.era.Current()
	return era
}

// RewriteSpread returns the time over which n instances spread what they write after the store's return.
func RewriteSpread(n int) time.Duration { return rewriteSpread(n) }

// ReregistrationTime returns how long after the store's return registrations may be missing in a fleet of n instances.
func ReregistrationTime(n int) time.Duration { return reregistrationTime(n) }

// ReadAtStart runs a follower of a table on an instance that need not follow it, until ctx ends.
func ReadAtStart(ctx context.Context, s store.Store, table string) error {
	known := false
	f := &follower{
		store: s, table: table, logger: log.NewNopLogger(), wait: followWait, era: newStoreEra(), tablesRead: tally.NoopScope.Counter("reads"),
		active: func() bool { return false }, known: func() bool { return known }, settled: func() bool { return true },
		applyAll: func(store.Snapshot) { known = true }, applyChanges: func(store.Snapshot) {},
	}
	return f.Run(ctx)
}

// CatchUp returns a function that catches up with a table of s as a check of the store does, and passes on what it reads.
func CatchUp(s store.Store, table string, apply func(store.Snapshot)) (step func(context.Context) error) {
	f := &follower{
		store: s, table: table, logger: log.NewNopLogger(), era: newStoreEra(), tablesRead: tally.NoopScope.Counter("reads"),
		applyAll: apply, applyChanges: apply,
	}
	return f.step
}

// NewCoalescer gives tests access to the coalescer.
func NewCoalescer(pause time.Duration) *coalescer { return newCoalescer(pause) }

// UnconfirmedFor returns how long the store has not confirmed its era.
func (t *EraTracker) UnconfirmedFor(now time.Time) time.Duration { return t.era.UnconfirmedFor(now) }

// NewLenders gives tests access to the choice of the instances from which quota tokens are borrowed.
var NewLenders = newLenders

// ProofDue gives tests access to the decision whether to confirm the keys with the store.
var ProofDue = proofDue

// RenewalAge gives tests access to the age at which an instance that follows the store renews the proof.
var RenewalAge = renewalAge

// Keys gives tests access to the identification of client accounts.
type Keys[L Link[L]] struct{ instance *Instance[L] }

// NewKeys returns the identification of client accounts with a bound on the age of the proof, without a configuration.
func NewKeys[L Link[L]](bound time.Duration) Keys[L] {
	return Keys[L]{instance: &Instance[L]{directory: &directory[L]{}, freshness: account.NewFreshness(bound), node: peer.NewNode(peer.Config{})}}
}

// Apply puts a configuration into force, and records the proof that it was the newest one as of a time.
func (k Keys[L]) Apply(doc Document, asOf time.Time) {
	k.instance.directory.Apply(doc)
	k.instance.freshness.Confirm(asOf)
}

// Identify returns the account that holds a key.
func (k Keys[L]) Identify(database string, key account.Key) (string, error) {
	return k.instance.Identify(database, key)
}

// SetAccountHomes makes an instance expect others, which are homes of its groups from then on.
func SetAccountHomes[L Link[L]](i *Instance[L], doc Document, expected []membership.Identity) {
	i.directory.Apply(doc)
	i.expectations = expectations{identities: expected, until: time.Now().Add(time.Hour)}
	i.homesByGroup = nil
}

// ApplyDocument puts a configuration into force.
func ApplyDocument[L Link[L]](i *Instance[L], doc Document) { i.directory.Apply(doc) }

// AccountHomes returns the homes of a group in the order in which an account prefers them.
func AccountHomes[L Link[L]](i *Instance[L], group, account string) []membership.Identity {
	return i.accountHomes(group, account)
}

// HomesOf returns the homes of a group.
func HomesOf[L Link[L]](i *Instance[L], group string) []membership.Identity { return i.homes(group) }

// KeyProof gives tests access to the proof of the keys of an instance.
type KeyProof[L Link[L]] struct {
	instance *Instance[L]
	service  *keyProof[L]
}

// NewKeyProof returns the proof of the keys of an instance.
func NewKeyProof[L Link[L]](i *Instance[L]) KeyProof[L] {
	return KeyProof[L]{instance: i, service: &keyProof[L]{instance: i}}
}

// Tick asks the store if that is due at now.
func (k KeyProof[L]) Tick(ctx context.Context, now time.Time) {
	if k.service.due(now) {
		k.service.triedAt = now
		k.service.renew(ctx)
	}
}

// Confirm asks the store once.
func (k KeyProof[L]) Confirm(ctx context.Context) { k.instance.confirmKeys(ctx) }

// Read reads the configuration from the store.
func (k KeyProof[L]) Read(ctx context.Context) error { return k.instance.readConfiguration(ctx) }

// FollowsStore reports whether the instance follows the store.
func (k KeyProof[L]) FollowsStore() bool { return k.instance.followsStore() }

// Times of the proofs of keys.
const (
	KeyProofTick     = keyProofTick
	KeyProofInterval = keyProofInterval
)

// FleetRestarted gives tests access to the detection of a restart of all instances.
var FleetRestarted = fleetRestarted

// InstanceTable lists the registered instances.
const InstanceTable = instanceTable

// Register registers an instance in its store.
func Register[L Link[L]](ctx context.Context, i *Instance[L]) error {
	row, err := encodeRegistration(i.node.Self())
	if err == nil {
		(&registration[L]{instance: i, row: row}).register(ctx, nil)
	}
	return err
}

// Watch gives tests access to the groups that an instance watches.
type Watch[L Link[L]] struct{ instance *Instance[L] }

// NewWatch returns the watch of an instance that knows its fleet; the watched groups run until ctx ends.
func NewWatch[L Link[L]](ctx context.Context, i *Instance[L], doc Document, listed Entry) Watch[L] {
	i.directory.Apply(doc)
	i.hasJoined.Store(true)
	i.members.ctx = ctx
	i.members.Put(listed, store.NewPosition(0, 1))
	return Watch[L]{instance: i}
}

// Leave makes others the homes of all groups, as of now, and Return makes this instance a home again.
func (w Watch[L]) Leave(now time.Time, others []membership.Identity) {
	w.expect(others)
	w.instance.members.stopFormerHomes(now)
}

// Return makes this instance a home of all groups.
func (w Watch[L]) Return(now time.Time) {
	w.expect(nil)
	w.instance.members.stopFormerHomes(now)
}

func (w Watch[L]) expect(others []membership.Identity) {
	w.instance.mu.Lock()
	w.instance.expectations = expectations{identities: others, until: clock.Now().Add(time.Hour)}
	w.instance.homesByGroup = nil
	w.instance.mu.Unlock()
}

// StopFormerHomes stops the watches that are due at now.
func (w Watch[L]) StopFormerHomes(now time.Time) { w.instance.members.stopFormerHomes(now) }

// Group returns a group that the instance watches, or nil.
func (w Watch[L]) Group(name string) *engine.Group[L] { return w.instance.members.group(name) }

// RunQuotas runs the quotas of an instance that knows its fleet, until ctx ends.
func RunQuotas[L Link[L]](ctx context.Context, i *Instance[L]) error {
	i.hasJoined.Store(true)
	i.freshness.Confirm(clock.Now())
	return i.quotas.Run(ctx)
}

// MissingEndpoints gives tests access to the record of endpoints whose entries were dropped.
type MissingEndpoints = missingEndpoints

// FailoverConfig returns the configuration of the failover machine of a group on an instance.
var FailoverConfig = failoverConfig
