package fleet

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/kernel"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/store"
	"github.com/monsoontiller/monsoontiller/tunnel"
)

// Instance is one process of the fleet; it is safe for concurrent use.
type Instance[L Link[L]] struct {
	cfg         Config[L]
	node        *peer.Node
	events      *event.Log
	directory   *directory[L]
	members     *members[L]
	dialer      *endpointDialer[L]
	coordinator *coordinatorLease
	recorder    *recorder
	meters      meters
	invalid     invalidEntries
	era         *storeEra
	permission  leasePermission
	// freshness is the proof that the keys of the client accounts are the newest.
	freshness        *account.Freshness
	configurationRow configurationRow
	quotas           *quotas[L]
	stopping         atomic.Bool
	startedAt        time.Time
	// endpointsListed reports that a complete list of the endpoints is known.
	endpointsListed atomic.Bool
	mu              sync.Mutex
	// homesByGroup caches the homes of each group for the presences with the digest homesDigest.
	homesByGroup map[string]homeSet
	homesDigest  membership.Digest
	// homesUntil is when the homes are computed again though the presences have not changed, or zero.
	homesUntil time.Time
	// homesGeneration is incremented whenever homes are computed.
	homesGeneration uint64
	// deadSince is when this instance first saw each dead instance as dead.
	deadSince map[string]time.Time
	// lostSources are the instances that last failed to return evidence, and sourceLost receives a value when one fails.
	lostSources map[string]bool
	sourceLost  chan struct{}
	// registered is the number of instances that the store listed when this one registered, or 0 if it is not known.
	registered atomic.Int64
	// lastAlive is the number of live instances at the last check, and aliveChangedAt when it last changed; mu guards both.
	lastAlive      int
	aliveChangedAt time.Time
	// hasJoined reports that this instance knows enough of the fleet to act as a home.
	hasJoined atomic.Bool
	// expectsFleet reports that this instance knows the instances that started with it from their registrations.
	expectsFleet atomic.Bool
	// expectations are the instances expected to start, and missing those of them that have not been heard from; mu guards
	// both.
	expectations expectations
	missing      []membership.Identity
}

// New returns an instance that has no configuration and no endpoints until Run.
func New[L Link[L]](cfg Config[L]) *Instance[L] {
	i := &Instance[L]{cfg: cfg, startedAt: clock.Now(), homesByGroup: map[string]homeSet{}, deadSince: map[string]time.Time{}, lostSources: map[string]bool{}, sourceLost: make(chan struct{}, 1)}
	i.meters = newMeters(cfg.Scope)
	i.era = newStoreEra()
	i.freshness = account.NewFreshness(cfg.KeyBound)
	i.quotas = newQuotas(i)
	i.cfg.Store = trackedStore{Store: cfg.Store, era: i.era, observe: i.observeEra}
	i.events = event.NewLog(event.LogConfig{Instance: cfg.Name, OnAdd: i.logEvent})
	i.coordinator = newCoordinatorLease(coordinatorLeaseConfig{Store: i.cfg.Store, Name: cfg.Name, Others: i.otherInstances})
	i.recorder = newRecorder(cfg.Logger, cfg.Scope)
	i.directory = &directory[L]{group: func(name string) *engine.Group[L] { return i.members.group(name) }}
	i.members = newMembers(i)
	i.dialer = &endpointDialer[L]{instance: i, paths: map[string]path{}}
	i.node = peer.NewNode(peer.Config{
		Self: membership.NewIdentity(membership.IdentityConfig{
			Incarnation: uint64(time.Now().UnixNano()),
			Name:        cfg.Name,
			PeerAddress: cfg.PeerListener.Addr().String(),
			DataCentre:  cfg.DataCentre,
			Capacity:    cfg.Capacity,
		}),
		Listener:     cfg.PeerListener,
		Client:       peer.NewClient(nil),
		Server:       peer.NewServer(nil),
		Seeds:        cfg.Seeds,
		Joined:       i.joined,
		Timeout:      peerTimeout,
		IdleInterval: idleHeartbeatInterval,
		Scope:        cfg.Scope,
		Backend:      &backend[L]{instance: i},
		Events:       i.events,
		Logger:       cfg.Logger,
	})
	return i
}

// ContractTerms returns the contract in force for a database, with its group and its retry budget.
func (i *Instance[L]) ContractTerms(database string) (engine.ContractTerms[L], error) {
	return i.directory.ContractTerms(database)
}

// Contract returns the contract of a database, even if this instance is not a home of its group.
func (i *Instance[L]) Contract(database string) (*contract.Contract, bool) {
	return i.directory.Contract(database)
}

// Record counts and logs the outcome of a statement.
func (i *Instance[L]) Record(r engine.Record) { i.recorder.Record(r) }

// Ready reports whether this instance accepts callers.
func (i *Instance[L]) Ready() bool {
	_, known := i.directory.Version()
	return known && i.isRegistered() && i.provesKeys() && i.endpointsListed.Load() && i.knowsFleet() && !i.stopping.Load() && i.watchesHomeGroups()
}

// watchesHomeGroups reports whether this instance watches every group that it is a home of and that has endpoints.
func (i *Instance[L]) watchesHomeGroups() bool {
	for _, name := range i.directory.GroupNames() {
		if i.isHome(name) && i.members.group(name) == nil && i.members.hasEndpoints(name) {
			return false
		}
	}
	return true
}

// Run runs the instance and the given services for callers until ctx ends; the latter stop first.
func (i *Instance[L]) Run(ctx context.Context, callerServices ...kernel.Service) error {
	k := kernel.New()
	tunnels, err := tunnel.NewServer(tunnel.ServerConfig{
		Address: i.cfg.TunnelAddress, Allow: i.members.hasAddress, Dial: i.cfg.Adapter.Dialer, Listen: i.cfg.Listen,
	})
	if err != nil {
		return err
	}
	configuration, endpoints := i.configurationFollower(followWait), i.endpointFollower(followWait)
	services := []kernel.Service{
		i.node,
		tunnels,
		i.members,
		&relay[L]{instance: i},
		&watchLog[L]{instance: i},
		&witness[L]{instance: i},
		&registration[L]{instance: i},
		&leaseRestorer[L]{instance: i},
		newStoreCheck(i, configuration, endpoints),
		&eraCheck[L]{instance: i},
		&keyProof[L]{instance: i},
		i.quotas,
		configuration,
		endpoints,
	}
	for _, s := range append(services, callerServices...) {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() {
		i.stopping.Store(true)
		i.node.Leave()
	})
	defer stop()
	logLine(i.cfg.Logger, "level", "info", "msg", "started", "data_centre", i.cfg.DataCentre)
	err = k.Run(ctx)
	logLine(i.cfg.Logger, "level", "info", "msg", "stopped", "error", errorText(err))
	return err
}

// configurationFollower returns a follower of the configuration, whose calls wait for a change for the given time.
func (i *Instance[L]) configurationFollower(wait time.Duration) *follower {
	f := i.newFollower(i.cfg.Adapter.ConfigurationTable, wait)
	f.known = func() bool {
		_, known := i.directory.Version()
		return known
	}
	f.applyAll, f.applyChanges = i.applyConfiguration, i.applyConfiguration
	return f
}

// endpointFollower returns a follower of the list of endpoints, whose calls wait for a change for the given time.
func (i *Instance[L]) endpointFollower(wait time.Duration) *follower {
	f := i.newFollower(i.cfg.Adapter.EndpointTable, wait)
	f.known = i.endpointsListed.Load
	f.applyAll, f.applyChanges = i.replaceEndpoints, i.applyEndpointChanges
	return f
}

// newFollower returns a follower of a table without what depends on the table's rows.
func (i *Instance[L]) newFollower(table string, wait time.Duration) *follower {
	return &follower{
		store: i.cfg.Store, table: table, logger: i.cfg.Logger, active: i.followsStore, settled: i.knowsFleet, wait: wait, era: i.era,
		tablesRead: i.meters.tablesRead,
	}
}

// applyConfiguration puts the newest configuration of a snapshot into force.
func (i *Instance[L]) applyConfiguration(s store.Snapshot) {
	for _, row := range s.Rows {
		if row.Key != i.cfg.Adapter.ConfigurationKey || row.Deleted {
			continue
		}
		version, applied := i.applyDocument(row.Value, "store")
		if version != 0 {
			i.configurationRow.Record(version, store.NewPosition(s.Era, row.Version))
		}
		if applied {
			i.node.ApplyWithoutDelta(newItem(configurationItem, version, string(row.Value)))
		}
	}
}

// applyDocument puts a configuration into force unless the current one is the same or newer.
//
// It returns the version, or 0 if the configuration cannot be decoded, and whether it was put into force.
func (i *Instance[L]) applyDocument(text []byte, source string) (version uint64, applied bool) {
	d, err := i.cfg.Adapter.ParseDocument(text)
	if err != nil {
		logLine(i.cfg.Logger, "level", "error", "msg", "configuration_unreadable", "source", source, "error", err.Error())
		return 0, false
	}
	before, _ := i.directory.Version()
	if !i.directory.Apply(d) {
		return d.Version, false
	}
	i.meters.configuration.Update(float64(d.Version))
	i.meters.accounts.Update(float64(len(d.AccountNames())))
	logLine(i.cfg.Logger, "level", "info", "msg", "configuration_applied", "version", d.Version, "before", before,
		"source", source, "contracts", len(d.Contracts), "groups", len(d.Groups), "accounts", len(d.AccountNames()))
	if len(d.LeftOut) > 0 {
		logLine(i.cfg.Logger, "level", "error", "msg", "configuration_parts_left_out", "version", d.Version, "parts", strings.Join(d.LeftOut, ", "))
	}
	i.members.UpdateGroups()
	return d.Version, true
}

// replaceEndpoints applies a complete list of the endpoints.
func (i *Instance[L]) replaceEndpoints(s store.Snapshot) {
	listed := map[string]bool{}
	for _, row := range s.Rows {
		if i.applyEndpoint(row, s.Era) {
			listed[row.Key] = true
		}
	}
	for _, removed := range i.members.Retain(listed, s.Position()) {
		i.node.ApplyWithoutDelta(newEndpointItem(removed, s.Position(), ""))
	}
	i.endpointsListed.Store(true)
	i.node.ApplyWithoutDelta(newItem(listedItem, 1, ""))
}

func (i *Instance[L]) applyEndpointChanges(s store.Snapshot) {
	for _, row := range s.Rows {
		if !i.applyEndpoint(row, s.Era) {
			i.members.Remove(row.Key, store.NewPosition(s.Era, row.Version))
		}
	}
}

// applyEndpoint applies one row of an era, and reports whether it names a usable endpoint.
func (i *Instance[L]) applyEndpoint(row store.Row, era uint64) bool {
	at := store.NewPosition(era, row.Version)
	text := string(row.Value)
	if row.Deleted {
		text = ""
		i.invalid.Remove(row.Key)
	}
	i.node.ApplyWithoutDelta(newEndpointItem(row.Key, at, text))
	return !row.Deleted && i.putEntry(row.Key, row.Value, at)
}

func (i *Instance[L]) putEntry(key string, value []byte, at store.Position) bool {
	e, err := i.cfg.Adapter.ParseEntry(key, value)
	if err != nil {
		i.leaveOut(key, at, err)
		return false
	}
	i.invalid.Remove(key)
	i.members.Put(e, at)
	return true
}

// Keys of the items that instances exchange.
const (
	configurationItem = "configuration"
	endpointItem      = "endpoint/"
	// listedItem means that the sender has a complete list of the endpoints.
	listedItem = "listed"
)

func newItem(key string, version uint64, text string) peer.ConfigItem {
	return membership.NewItem(key, membership.Revision(version), membership.NewEntry(membership.EntryConfig{Text: text}))
}

// newEndpointItem returns the item of an endpoint's entry as of a position in the store.
func newEndpointItem(endpoint string, at store.Position, text string) peer.ConfigItem {
	return newItem(endpointItem+endpoint, at.Version(), text).InEpoch(membership.Epoch(at.Era()))
}

// itemApplied applies an item that a peer received from the store.
func (i *Instance[L]) itemApplied(item peer.ConfigItem) {
	at := store.NewPosition(uint64(item.Epoch()), uint64(item.Revision()))
	i.hintEra(at.Era(), "peer")
	text := item.Value().Text()
	name, isEndpoint := strings.CutPrefix(item.Key(), endpointItem)
	switch {
	case item.Key() == configurationItem:
		i.applyDocument([]byte(text), "peer")
	case item.Key() == listedItem:
		i.endpointsListed.Store(true)
	case isEndpoint && text == "":
		i.invalid.Remove(name)
		i.members.Remove(name, at)
	case isEndpoint && !i.putEntry(name, []byte(text), at):
		i.members.Remove(name, at)
	}
}

// Rank returns this instance's rank among the homes of the group in key, and the number of the other homes, as
// GroupRank does.
func (i *Instance[L]) Rank(key string) (rank, others int) {
	return i.GroupRank(strings.TrimPrefix(key, "group/"))
}

// updateDeadSinceLocked records when instances were first seen dead, and removes those that are no longer dead.
func (i *Instance[L]) updateDeadSinceLocked() {
	deadSince := map[string]time.Time{}
	for _, p := range i.node.Presences() {
		if p.State() != membership.StateDead {
			continue
		}
		name := p.Identity().Name()
		deadSince[name] = i.deadSince[name]
		if deadSince[name].IsZero() {
			deadSince[name] = clock.Now()
		}
	}
	i.deadSince = deadSince
}

// QueryViews queries the other homes of a group for their views on the primary of term, and reports each answer.
func (i *Instance[L]) QueryViews(ctx context.Context, name string, term group.Term, report func(failover.View)) {
	var others []membership.Identity
	for _, home := range i.homes(name) {
		if home.Name() != i.cfg.Name {
			others = append(others, home)
		}
	}
	i.node.QueryViews(ctx, others, name, term, report)
}

// Claim claims the coordinator lease for an attempt.
func (i *Instance[L]) Claim(ctx context.Context, name string, term group.Term, attempt string) failover.ClaimResult {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	c, err := i.coordinator.Claim(ctx, claimRequest{group: name, term: term, attempt: attempt})
	token, _ := i.coordinator.Held()
	logLine(i.cfg.Logger, "level", "info", "msg", "duty_claimed", "group", name, "term", uint64(c.term), "attempt", attempt,
		"token", token, "orders", len(c.orders), "interrupted", c.interrupted, "error", errorText(err))
	result := failover.ClaimResult{Attempt: attempt, Outcome: failover.ClaimWon, Term: c.term, Orders: c.orders, Interrupted: c.interrupted}
	switch {
	case err == nil:
		return result
	case fault.KindOf(err) == fault.KindConflict || isConcurrentWrite(err):
		return failover.ClaimResult{Attempt: attempt, Outcome: failover.ClaimTaken}
	}
	return failover.ClaimResult{Attempt: attempt, Outcome: failover.ClaimUnavailable}
}

// Publish does nothing, since the members themselves report which of them is primary.
func (i *Instance[L]) Publish(context.Context, string, group.Term, string) error { return nil }

// Explain stores and logs a decision.
func (i *Instance[L]) Explain(subject, decision, evidence string) {
	i.events.Add(event.Config{Subject: subject, Decision: decision, Evidence: evidence})
}

// RecordGap logs how long the writes of a group were impossible.
func (i *Instance[L]) RecordGap(name string, d time.Duration) {
	i.Explain("group/"+name, "writes_possible_again", "after "+strconv.FormatInt(d.Milliseconds(), 10)+" ms")
}

func (i *Instance[L]) logEvent(e event.Event) {
	logLine(i.cfg.Logger, "level", "info", "msg", e.Decision(), "subject", e.Subject(), "evidence", e.Evidence())
}
