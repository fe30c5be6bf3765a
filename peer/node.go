package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// ConfigItem is a versioned configuration value.
type ConfigItem = membership.Item[membership.Entry]

// Loan is what this run holds of a peer's share of one endpoint.
type Loan struct {
	Endpoint string
	Holding  pool.Holding
}

// Backend answers peers' questions; it must be safe for concurrent use.
type Backend interface {
	// Lost reports whether this instance has lost the primary of a group's term.
	Lost(groupName string, term uint64) bool
	// Cancel cancels the statement of a caller's session here and reports whether there was one.
	Cancel(ctx context.Context, pid uint32, secret []byte) bool
	// Lend grants a peer's run connections to an endpoint.
	Lend(endpoint string, w pool.LoanReport) int
	// Reported takes a peer's word of what it holds of this instance's shares.
	Reported(endpoint string, w pool.LoanReport)
	// Loans returns what this run holds of a peer.
	Loans(peer string) []Loan
	// ItemApplied is told of each configuration item that came into force.
	ItemApplied(item ConfigItem)
	// Evidence returns what this instance knows of the leases of some groups.
	Evidence(groups []string) AllEvidence
	// Revoke ends the lease of a group's primary here, up to a term.
	Revoke(groupName string, term uint64)
	// PeerChanged is told that the set of live instances may have changed.
	PeerChanged()
}

// Config describes a node.
type Config struct {
	Self       membership.Identity
	Listener   net.Listener
	Client     *http.Client
	Server     *http.Server
	Scheme     string
	Interval   time.Duration
	Timeout    time.Duration
	Fanout     int
	DeadAfter  time.Duration
	FreshBound time.Duration
	Seeds      []string
	// Settled reports whether this instance knows the fleet; until then it exchanges more often. Nil means that it
	// does once it knows another.
	Settled func() bool
	Backend Backend
	Events  *event.Log
	Logger  log.Logger
}

// Timing and bounds of the exchange.
const (
	defaultInterval   = 500 * time.Millisecond
	defaultTimeout    = time.Second
	defaultFanout     = 3
	defaultDeadAfter  = 3 * time.Second
	defaultFreshBound = 5 * time.Second
	maxDeltas         = 64
	maxRepair         = 2000
)

// Node is one instance as its peers see it; it is safe for concurrent use.
type Node struct {
	cfg       Config
	mu        sync.Mutex
	roster    *membership.Roster
	items     *membership.Items[membership.Entry]
	freshness *membership.Freshness
	seats     map[uint32]Seat
	clients   map[string]peerv1connect.PeerServiceClient
	// seedTurn counts the seeds that were tried; only the exchange loop uses it.
	seedTurn int
	// left tells the peers once that this instance leaves.
	left sync.Once
}

// NewNode returns a node that knows only itself until Run.
func NewNode(cfg Config) *Node {
	setDefault(&cfg.Interval, defaultInterval)
	setDefault(&cfg.Timeout, defaultTimeout)
	setDefault(&cfg.Fanout, defaultFanout)
	setDefault(&cfg.DeadAfter, defaultDeadAfter)
	setDefault(&cfg.FreshBound, defaultFreshBound)
	setDefault(&cfg.Scheme, "http")
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	return &Node{
		cfg:    cfg,
		roster: membership.NewRoster(membership.RosterConfig{Self: cfg.Self, Fanout: cfg.Fanout, DeadAfter: cfg.DeadAfter}),
		items:  membership.NewItems[membership.Entry](),
		freshness: membership.NewFreshness(membership.FreshnessConfig{
			Self:      cfg.Self.Name(),
			Bound:     cfg.FreshBound,
			StartedAt: clock.Now(),
		}),
		seats:   map[uint32]Seat{},
		clients: map[string]peerv1connect.PeerServiceClient{},
	}
}

// setDefault gives a setting its default when it is unset.
func setDefault[T comparable](value *T, fallback T) {
	var unset T
	if *value == unset {
		*value = fallback
	}
}

// Name returns the service's name.
func (n *Node) Name() string { return "peer" }

// Self returns this instance's identity.
func (n *Node) Self() membership.Identity { return n.cfg.Self }

// Run serves peers and exchanges with them until ctx ends, then tells them that this instance has left.
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

func (n *Node) serve() error {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&handler{node: n}))
	n.cfg.Server.Handler = mux
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

// View returns the live instances, this one included, and the digest of the presences from which they follow.
func (n *Node) View() ([]membership.Identity, membership.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Alive(), n.roster.Presences().Digest()
}

// Others returns the live instances but this one.
func (n *Node) Others() []membership.Identity {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.Others()
}

// Presence describes an instance in a report.
type Presence struct {
	identity membership.Identity
	state    membership.State
	heardAt  time.Time
}

// Identity returns the instance's identity.
func (p Presence) Identity() membership.Identity { return p.identity }

// State returns what is thought of the instance.
func (p Presence) State() membership.State { return p.state }

// HeardAt returns when the instance was last heard directly; it is zero for never.
func (p Presence) HeardAt() time.Time { return p.heardAt }

// Presences returns all instances that are known.
func (n *Node) Presences() []Presence {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Presence
	for _, item := range n.roster.Presences().All() {
		out = append(out, Presence{
			identity: item.Value().Identity(),
			state:    item.Value().State(),
			heardAt:  n.roster.HeardAt(item.Key()),
		})
	}
	return out
}

// Current reports whether the configuration is proved to be the newest accepted one.
func (n *Node) Current(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshness.Current(now)
}

// FreshAge returns the age of that proof; ok is false when there is none.
func (n *Node) FreshAge(now time.Time) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.freshness.Age(now)
}

// ReadTable applies what a read of the table sent at sentAt brought, and takes it as proof.
func (n *Node) ReadTable(sentAt time.Time, items []ConfigItem) {
	for _, item := range items {
		n.Apply(item)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.ReadTable(sentAt)
}

// Apply brings a configuration item into force if its revision is higher than the one held.
func (n *Node) Apply(item ConfigItem) {
	n.mu.Lock()
	applied := n.items.Apply(item)
	if applied {
		n.noteSeatLocked(item)
	}
	n.mu.Unlock()
	if applied {
		n.cfg.Backend.ItemApplied(item)
	}
}

// Hold keeps an item that others have from the same source, for those that lack it; the backend is not told.
func (n *Node) Hold(item ConfigItem) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.items.Hold(item)
}

// Item returns the configuration item of key.
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
