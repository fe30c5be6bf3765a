package fleet

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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
	reach       *reach[L]
	coordinator *coordinatorLease
	recorder    *recorder
	stopping    atomic.Bool
	startedAt   time.Time
	// listed says that the endpoints of the store are known.
	listed atomic.Bool
	mu     sync.Mutex
	// homesOf caches the homes of each group among the presences with the digest placesOf.
	homesOf  map[string]homeSet
	placesOf membership.Digest
	// missing is since when instances have been dead, as this one knows it.
	missing map[string]time.Time
	// lostSources are the instances that last failed to give evidence.
	lostSources map[string]bool
	// registered is how many instances the store listed at this one's start, or 0 before that is known.
	registered atomic.Int64
	// lastAlive is how many instances were known when that was last asked, and lastAliveAt since when; mu guards both.
	lastAlive   int
	lastAliveAt time.Time
	// hasSettled says that this instance knows the fleet well enough to be a home.
	hasSettled atomic.Bool
}

// New returns an instance that knows nothing until Run.
func New[L Link[L]](cfg Config[L]) *Instance[L] {
	i := &Instance[L]{cfg: cfg, startedAt: clock.Now(), homesOf: map[string]homeSet{}, missing: map[string]time.Time{}, lostSources: map[string]bool{}}
	i.events = event.NewLog(event.LogConfig{Instance: cfg.Name, OnAdd: i.logEvent})
	i.coordinator = newCoordinatorLease(coordinatorLeaseConfig{Store: cfg.Store, Name: cfg.Name})
	i.recorder = newRecorder(cfg.Logger, cfg.Scope)
	i.directory = &directory[L]{group: func(name string) *engine.Group[L] { return i.members.group(name) }}
	i.members = newMembers(i)
	i.reach = &reach[L]{instance: i, paths: map[string]path{}}
	i.node = peer.NewNode(peer.Config{
		Self: membership.NewIdentity(membership.IdentityConfig{
			Incarnation: uint64(time.Now().UnixNano()),
			Name:        cfg.Name,
			PeerAddress: cfg.PeerListener.Addr().String(),
			DataCentre:  cfg.DataCentre,
			Capacity:    cfg.Capacity,
		}),
		Listener: cfg.PeerListener,
		Client:   peer.NewClient(nil),
		Server:   peer.NewServer(nil),
		Seeds:    cfg.Seeds,
		Settled:  i.settled,
		Timeout:  peerTimeout,
		Backend:  &backend[L]{instance: i},
		Events:   i.events,
		Logger:   cfg.Logger,
	})
	return i
}

// Terms returns what the contract in force grants on a database.
func (i *Instance[L]) Terms(database string) (engine.Terms[L], error) {
	return i.directory.Terms(database)
}

// Contract returns the contract of a database, also where other instances are its homes.
func (i *Instance[L]) Contract(database string) (*contract.Contract, bool) {
	return i.directory.Contract(database)
}

// Record counts and logs how a statement ended.
func (i *Instance[L]) Record(r engine.Record) { i.recorder.Record(r) }

// Ready reports whether this instance takes callers.
func (i *Instance[L]) Ready() bool {
	_, known := i.directory.Version()
	return known && i.listed.Load() && i.settled() && !i.stopping.Load() && i.watchesGroups()
}

// watchesGroups reports whether every group that this instance is a home of is watched.
func (i *Instance[L]) watchesGroups() bool {
	for _, name := range i.directory.GroupNames() {
		if i.atHome(name) && i.members.group(name) == nil && i.members.has(name) {
			return false
		}
	}
	return true
}

// Run runs the instance and the services that face callers until ctx ends; those end first.
func (i *Instance[L]) Run(ctx context.Context, facing ...kernel.Service) error {
	k := kernel.New()
	tunnels, err := tunnel.NewServer(tunnel.ServerConfig{
		Address: i.cfg.TunnelAddress, Allow: i.members.lists, Dial: i.cfg.Adapter.Dialer,
	})
	if err != nil {
		return err
	}
	services := []kernel.Service{
		i.node,
		tunnels,
		i.members,
		&relay[L]{instance: i},
		&watchLog[L]{instance: i},
		&witness[L]{instance: i},
		&registration[L]{instance: i},
		&follower{
			store: i.cfg.Store, table: i.cfg.Adapter.ConfigurationTable, logger: i.cfg.Logger, active: i.readsStore,
			whole: i.takeConfiguration, changed: i.takeConfiguration,
		},
		&follower{
			store: i.cfg.Store, table: i.cfg.Adapter.EndpointTable, logger: i.cfg.Logger, active: i.readsStore,
			whole: i.takeEndpoints, changed: i.takeEndpointChanges,
		},
	}
	for _, s := range append(services, facing...) {
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

// takeConfiguration brings the newest configuration into force.
func (i *Instance[L]) takeConfiguration(s store.Snapshot) {
	for _, row := range s.Rows {
		if row.Key != i.cfg.Adapter.ConfigurationKey || row.Deleted {
			continue
		}
		if version, ok := i.applyDocument(row.Value, "store"); ok {
			i.node.Hold(newItem(configurationItem, version, string(row.Value)))
		}
	}
}

// applyDocument brings a configuration into force unless a newer one is, and returns its version.
func (i *Instance[L]) applyDocument(text []byte, source string) (version uint64, ok bool) {
	d, err := i.cfg.Adapter.ParseDocument(text)
	if err != nil {
		logLine(i.cfg.Logger, "level", "error", "msg", "configuration_unreadable", "source", source, "error", err.Error())
		return 0, false
	}
	before, _ := i.directory.Version()
	if !i.directory.Apply(d) {
		return 0, false
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "configuration_applied", "version", d.Version, "before", before,
		"source", source, "contracts", len(d.Contracts), "groups", len(d.Groups))
	i.members.Configured()
	return d.Version, true
}

// takeEndpoints takes the whole list of endpoints.
func (i *Instance[L]) takeEndpoints(s store.Snapshot) {
	listed := map[string]bool{}
	for _, row := range s.Rows {
		if i.takeEndpoint(row) {
			listed[row.Key] = true
		}
	}
	for _, gone := range i.members.Retain(listed, s.Version) {
		i.node.Hold(newItem(endpointItem+gone, s.Version, ""))
	}
	i.listed.Store(true)
	i.node.Hold(newItem(listedItem, 1, ""))
}

func (i *Instance[L]) takeEndpointChanges(s store.Snapshot) {
	for _, row := range s.Rows {
		if !i.takeEndpoint(row) {
			i.members.Remove(row.Key, row.Version)
		}
	}
}

// takeEndpoint takes one row and reports whether it names an endpoint to use.
func (i *Instance[L]) takeEndpoint(row store.Row) bool {
	text := string(row.Value)
	if row.Deleted {
		text = ""
	}
	i.node.Hold(newItem(endpointItem+row.Key, row.Version, text))
	return !row.Deleted && i.putEntry(row.Key, row.Value, row.Version)
}

func (i *Instance[L]) putEntry(key string, value []byte, version uint64) bool {
	e, err := i.cfg.Adapter.ParseEntry(key, value)
	if err != nil {
		logLine(i.cfg.Logger, "level", "warn", "msg", "endpoint_entry_left_out", "endpoint", key, "version", version, "error", err.Error())
		return false
	}
	i.members.Put(e, version)
	return true
}

// Items that instances tell each other, by key.
const (
	configurationItem = "configuration"
	endpointItem      = "endpoint/"
	// listedItem says that the teller has a whole list of the endpoints.
	listedItem = "listed"
)

func newItem(key string, version uint64, text string) peer.ConfigItem {
	return membership.NewItem(key, membership.Revision(version), membership.NewEntry(membership.EntryConfig{Text: text}))
}

// itemApplied takes what a peer has from the store.
func (i *Instance[L]) itemApplied(item peer.ConfigItem) {
	text := item.Value().Text()
	name, isEndpoint := strings.CutPrefix(item.Key(), endpointItem)
	switch {
	case item.Key() == configurationItem:
		i.applyDocument([]byte(text), "peer")
	case item.Key() == listedItem:
		i.listed.Store(true)
	case isEndpoint && text == "":
		i.members.Remove(name, uint64(item.Revision()))
	case isEndpoint && !i.putEntry(name, []byte(text), uint64(item.Revision())):
		i.members.Remove(name, uint64(item.Revision()))
	}
}

// Place returns this instance's place for a duty of a group among its homes, 0 first, and how many others there are, lately dead ones included.
func (i *Instance[L]) Place(key string) (place, others int) {
	return i.GroupPlace(strings.TrimPrefix(key, "group/"))
}

// noteMissingLocked remembers since when instances are dead.
func (i *Instance[L]) noteMissingLocked() {
	missing := map[string]time.Time{}
	for _, p := range i.node.Presences() {
		if p.State() != membership.StateDead {
			continue
		}
		name := p.Identity().Name()
		missing[name] = i.missing[name]
		if missing[name].IsZero() {
			missing[name] = clock.Now()
		}
	}
	i.missing = missing
}

// Views asks the other homes of a group whether they have lost the primary of a group's term.
func (i *Instance[L]) Views(ctx context.Context, name string, term group.Term, take func(failover.View)) {
	var others []membership.Identity
	for _, one := range i.homes(name) {
		if one.Name() != i.cfg.Name {
			others = append(others, one)
		}
	}
	i.node.Views(ctx, others, name, term, take)
}

// Claim claims the coordinator lease for an attempt.
func (i *Instance[L]) Claim(ctx context.Context, name string, term group.Term, attempt string) (failover.ClaimOutcome, group.Term) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := i.coordinator.Claim(ctx, name, term)
	token, _ := i.coordinator.Held()
	logLine(i.cfg.Logger, "level", "info", "msg", "duty_claimed", "group", name, "term", uint64(term), "attempt", attempt,
		"token", token, "error", errorText(err))
	switch {
	case err == nil:
		return failover.ClaimWon, term
	case fault.KindOf(err) == fault.KindConflict || isConcurrentWrite(err):
		return failover.ClaimTaken, 0
	}
	return failover.ClaimUnavailable, 0
}

// Publish does nothing: the members tell who leads.
func (i *Instance[L]) Publish(context.Context, string, group.Term, string) error { return nil }

// Explain keeps and logs a decision.
func (i *Instance[L]) Explain(subject, decision, evidence string) {
	i.events.Add(event.Config{Subject: subject, Decision: decision, Evidence: evidence})
}

// Gap logs how long the writes of a group were impossible.
func (i *Instance[L]) Gap(name string, d time.Duration) {
	i.Explain("group/"+name, "writes_possible_again", "after "+strconv.FormatInt(d.Milliseconds(), 10)+" ms")
}

func (i *Instance[L]) logEvent(e event.Event) {
	logLine(i.cfg.Logger, "level", "info", "msg", e.Decision(), "subject", e.Subject(), "evidence", e.Evidence())
}
