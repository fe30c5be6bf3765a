package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// ConfigItem is a versioned configuration value.
type ConfigItem = membership.Item[membership.Entry]

// Loan describes the connections to one endpoint that this incarnation of the instance has borrowed from a peer.
type Loan struct {
	Endpoint string
	Holding  pool.Holding
}

// Backend implements the calls of peers that need more than the node's state; it must be safe for concurrent use.
type Backend interface {
	// PrimaryLost reports whether this instance has lost contact with the primary of a group's term.
	PrimaryLost(groupName string, term uint64) bool
	// Cancel cancels the statement of a caller's session on this instance and reports whether the session was found.
	Cancel(ctx context.Context, pid uint32, secret []byte) bool
	// Lend lends the reporting incarnation of a peer connections to an endpoint and returns the number granted.
	Lend(endpoint string, report pool.LoanReport) int
	// LendTokens deducts quota tokens that a peer lacks, by account, and returns the amounts given up.
	LendTokens(amounts map[string]float64) map[string]float64
	// ApplyReport applies a peer's report of the connections that it has borrowed from this instance.
	ApplyReport(endpoint string, report pool.LoanReport)
	// Loans returns the connections that this incarnation of the instance has borrowed from a peer.
	Loans(peer string) []Loan
	// ItemApplied is called with each configuration item that takes effect.
	ItemApplied(item ConfigItem)
	// Evidence returns this instance's lease evidence for the given groups; without groups it returns only the versions.
	Evidence(groups []string) LeaseEvidence
	// Revoke ends the leases of a group that r names on this instance.
	Revoke(groupName string, r failover.Revoke)
	// PeerChanged is called when the set of live instances may have changed.
	PeerChanged()
}

// Config holds the identity, the network resources, the timing and the backend of a node.
type Config struct {
	Self     membership.Identity
	Listener net.Listener
	Client   *http.Client
	Server   *http.Server
	Scheme   string
	// Interval is the time between two rounds of exchanges.
	Interval time.Duration
	// IdleInterval is the time between two rounds while the peers have the same data; the default is Interval.
	IdleInterval time.Duration
	// Timeout bounds a call to a peer.
	Timeout time.Duration
	// Fanout is the number of peers that the instance monitors.
	Fanout int
	// DeadAfter is the time without an answer after which a monitored peer is declared dead.
	DeadAfter time.Duration
	// FreshBound is the maximum age of the proof that the configuration is current.
	FreshBound time.Duration
	// Seeds are the peer addresses with which the instance exchanges while it knows no live instance there.
	Seeds []string
	// Joined reports whether this instance has joined the fleet; until then it exchanges more often. If Joined is
	// nil, the instance has joined once it knows another live instance.
	Joined func() bool
	// Now returns the time; the default is clock.Now.
	Now     func() time.Time
	Backend Backend
	Events  *event.Log
	Logger  log.Logger
	// Scope, if set, receives counters of the calls to peers and their bytes by kind of call.
	Scope tally.Scope
}

const (
	// The defaults of Config.
	defaultInterval   = 500 * time.Millisecond
	defaultTimeout    = time.Second
	defaultFanout     = 3
	defaultDeadAfter  = 3 * time.Second
	defaultFreshBound = 5 * time.Second
	// maxDeltas is the maximum number of items, and of presences, in an update.
	maxDeltas = 64
	// maxRepair is the maximum number of items, and of presences, in the answer to a repair.
	maxRepair = 2000
)

// Node holds the membership, configuration and seats that an instance shares with its peers, and exchanges them.
//
// It is safe for concurrent use.
type Node struct {
	cfg       Config
	mu        sync.Mutex
	roster    *membership.Roster
	items     *membership.Items[membership.Entry]
	freshness *membership.Freshness
	seats     map[uint32]Seat
	// differedAt is when this instance or a peer last lacked a part of the other's data.
	differedAt time.Time
	clients    map[string]peerv1connect.PeerServiceClient
	// seeds are the addresses of Config.Seeds and AddSeeds.
	seeds []string
	// seedIndex, modulo the number of seeds, is the index of the seed checked last; only the exchange loop uses it.
	seedIndex int
	// leaveOnce ensures that Leave notifies peers only once.
	leaveOnce sync.Once
}

// NewNode returns a node that knows only itself until Run.
func NewNode(cfg Config) *Node {
	setDefault(&cfg.Interval, defaultInterval)
	setDefault(&cfg.IdleInterval, cfg.Interval)
	setDefault(&cfg.Timeout, defaultTimeout)
	setDefault(&cfg.Fanout, defaultFanout)
	setDefault(&cfg.DeadAfter, defaultDeadAfter)
	setDefault(&cfg.FreshBound, defaultFreshBound)
	setDefault(&cfg.Scheme, "http")
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	if cfg.Scope != nil {
		cfg.Client = &http.Client{Transport: newMeteredTransport(cfg.Client.Transport, cfg.Scope)}
	}
	return &Node{
		cfg:    cfg,
		roster: membership.NewRoster(membership.RosterConfig{Self: cfg.Self, Fanout: cfg.Fanout, DeadAfter: cfg.DeadAfter}),
		items:  membership.NewItems[membership.Entry](),
		freshness: membership.NewFreshness(membership.FreshnessConfig{
			Self:      cfg.Self.Name(),
			Bound:     cfg.FreshBound,
			StartedAt: cfg.Now(),
		}),
		seeds:   slices.Clone(cfg.Seeds),
		seats:   map[uint32]Seat{},
		clients: map[string]peerv1connect.PeerServiceClient{},
	}
}

// setDefault sets value to fallback if it is the zero value.
func setDefault[T comparable](value *T, fallback T) {
	var unset T
	if *value == unset {
		*value = fallback
	}
}

// AddSeeds adds peer addresses with which the instance exchanges while it knows no live instance there.
func (n *Node) AddSeeds(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(n.seeds, address) {
			n.seeds = append(n.seeds, address)
		}
	}
}

// Name returns the name of the kernel service.
func (n *Node) Name() string { return "peer" }

// Self returns this instance's identity.
func (n *Node) Self() membership.Identity { return n.cfg.Self }

// Run serves peers and exchanges with them until ctx ends, then notifies them that this instance leaves.
func (n *Node) Run(ctx context.Context) error {
	serving := make(chan error, 1)
	go func() { serving <- n.serve() }()
	exchanging := make(chan error, 1)
	go func() { exchanging <- n.exchangeLoop(ctx) }()
	var err error
	select {
	case err = <-serving:
	case <-ctx.Done():
		n.Leave()
		n.cfg.Server.Close()
		err = <-serving
	}
	<-exchanging
	return err
}

// Handler returns the handler of the calls of peers.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&handler{node: n}, handlerOptions()))
	return mux
}

func (n *Node) serve() error {
	n.cfg.Server.Handler = n.Handler()
	var err error
	if n.cfg.Server.TLSConfig != nil {
		err = n.cfg.Server.ServeTLS(n.cfg.Listener, "", "")
	} else {
		err = n.cfg.Server.Serve(n.cfg.Listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// LiveInstances returns the live instances, including this one, and the digest of the presences that determine them.
func (n *Node) LiveInstances() ([]membership.Identity, membership.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Alive(), n.roster.Presences().Digest()
}

// Others returns the live instances except this one.
func (n *Node) Others() []membership.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Others()
}

// Presence holds the membership state of an instance and the time of its last message.
type Presence struct {
	identity      membership.Identity
	state         membership.State
	lastMessageAt time.Time
}

// Identity returns the instance's identity.
func (p Presence) Identity() membership.Identity { return p.identity }

// State returns the instance's membership state.
func (p Presence) State() membership.State { return p.state }

// LastMessageAt returns the time of the last message received directly from the instance, or zero if there was none.
func (p Presence) LastMessageAt() time.Time { return p.lastMessageAt }

// Presences returns all known instances, including dead ones and those that have left.
func (n *Node) Presences() []Presence {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Presence
	for _, item := range n.roster.Presences().All() {
		out = append(out, Presence{
			identity:      item.Value().Identity(),
			state:         item.Value().State(),
			lastMessageAt: n.roster.LastMessageAt(item.Key()),
		})
	}
	return out
}

// Current reports whether the configuration was proved to be the newest acknowledged one within FreshBound before now.
func (n *Node) Current(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshness.Current(now)
}

// ProofAge returns the age of the proof that the configuration is current; ok is false when there is none.
func (n *Node) ProofAge(now time.Time) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshness.Age(now)
}

// TableRead applies the items of a table read sent at sentAt, and records that the configuration was current then.
func (n *Node) TableRead(sentAt time.Time, items []ConfigItem) {
	for _, item := range items {
		n.Apply(item)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.TableRead(sentAt)
}

// Apply applies a configuration item if its revision is higher than the current one, and notifies the backend if so.
func (n *Node) Apply(item ConfigItem) {
	n.mu.Lock()
	applied := n.items.Apply(item)
	if applied {
		n.recordSeatLocked(item)
	}
	n.mu.Unlock()
	if applied {
		n.cfg.Backend.ItemApplied(item)
	}
}

// ApplyWithoutDelta applies an item without notifying the backend or pushing the item to peers.
//
// It is for items that the other instances read from the same source; peers that lack one can pull it.
func (n *Node) ApplyWithoutDelta(item ConfigItem) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.items.ApplyWithoutDelta(item)
}

// Item returns the configuration item of key; ok is false when there is none.
func (n *Node) Item(key string) (item ConfigItem, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.items.Get(key)
}

// Items returns all configuration items.
func (n *Node) Items() []ConfigItem {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.items.All()
}
