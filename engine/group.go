package engine

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Address says where a member of a group listens.
type Address struct {
	Endpoint string
	Address  string
	// Incarnation tells runs of the member apart, or is 0 when that is not known.
	Incarnation int64
	// Near says that the member is in this instance's data centre.
	Near bool
	// Slots is the number of requests that the member runs at once, or 0 when that is not known.
	Slots int
}

// GroupConfig describes the watch over one database group.
type GroupConfig[L Link[L]] struct {
	Name          string
	Members       []Address
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	Lease         time.Duration
	Limit         int
	// Sharers is how many instances share the slots of the members; 0 leaves the work at a member unbounded.
	Sharers int
	Dial    func(ctx context.Context, m Address, key string) (L, error)
	Clock   func() time.Time
	// Outage is how long the loss of a primary usually lasts, from its last confirmation on; 0 lets requests
	// wait for a primary as long as they may.
	Outage time.Duration
	// PromotionTime is how long a promotion takes once no lease stands in its way.
	PromotionTime time.Duration
	// Ordered serves waiters by priority and target rather than customers in turn.
	Ordered bool
	// Quarantine is how long a link that its endpoint does not close still counts; 0 means DefaultQuarantine.
	Quarantine time.Duration
	// AllReplicas makes a lease need the word of every replica, or of the store.
	AllReplicas bool
	// Probing decides which probes are due; nil probes every member at every interval.
	Probing *route.Probing
	// LinkIdle is how long a link may go unused: the places of links that nobody uses are missed where many processes
	// are lost at once, whose links count on for seconds. 0 keeps all links.
	LinkIdle time.Duration
	// Standby reports whether another instance probes and passes on what it hears, if set.
	Standby func() bool
	// Observer is told of every probe's result, if set.
	Observer Observer
}

// Observer takes the results of probes and orders; it must be safe for concurrent use.
type Observer interface {
	// Probed takes a member's status.
	Probed(s group.Status)
	// ProbeFailed notes that a member did not answer; refused marks an active refusal.
	ProbeFailed(endpoint string, refused bool)
}

// Group watches one database group and shares its connections; it is safe for concurrent use.
type Group[L Link[L]] struct {
	cfg       GroupConfig[L]
	mu        sync.Mutex
	tracker   *route.Tracker
	changed   chan struct{}
	members   map[string]*member[L]
	endpoints []string
	limit     int
	sharers   int
	// unconfirmedSince is from when on a confirmation of the primary is lacking: the end of the newest lease, or when a new
	// term was heard of or the watch began, if that was later.
	unconfirmedSince time.Time
	// ctx is the context of Run, or nil while the group does not run.
	ctx   context.Context
	loops sync.WaitGroup
}

// member is one endpoint of the group.
type member[L Link[L]] struct {
	address     Address
	connections *Connections[L]
	trigger     chan struct{}
	orders      chan Order[L]
	stop        context.CancelFunc
	lastError   error
	answeredAt  time.Time
	lastStatus  receivedStatus
}

// receivedStatus is the newest status of a member, whether a probe or a request brought it.
type receivedStatus struct {
	status group.Status
	sentAt time.Time
}

// probeConnections is the number of connections to each member that serve probes only.
const probeConnections = 1

// NewGroup returns a group that knows nothing until Run probes it.
func NewGroup[L Link[L]](cfg GroupConfig[L]) *Group[L] {
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	if cfg.Quarantine == 0 {
		cfg.Quarantine = DefaultQuarantine
	}
	g := &Group[L]{
		cfg:     cfg,
		changed: make(chan struct{}),
		members: map[string]*member[L]{},
		limit:   cfg.Limit,
		sharers: cfg.Sharers,
		tracker: route.NewTracker(route.TrackerConfig{Group: cfg.Name, Lease: cfg.Lease, AllReplicas: cfg.AllReplicas}),
	}
	g.unconfirmedSince = cfg.Clock()
	g.SetMembers(cfg.Members)
	return g
}

// SetMembers replaces the list of members; a member that started again or moved is watched anew.
func (g *Group[L]) SetMembers(members []Address) {
	g.mu.Lock()
	gone := g.setMembersLocked(members)
	g.broadcastLocked()
	g.mu.Unlock()
	for _, m := range gone {
		m.connections.CloseAll()
	}
}

func (g *Group[L]) setMembersLocked(members []Address) (gone []*member[L]) {
	kept := map[string]*member[L]{}
	g.endpoints = nil
	var tracked []route.Endpoint
	for _, a := range members {
		m := g.members[a.Endpoint]
		if m == nil || m.address.Address != a.Address || m.address.Incarnation != a.Incarnation {
			m = g.newMember(a)
		}
		if m.address != a {
			m.address = a
			m.connections.SetPermits(g.permits(a))
		}
		kept[a.Endpoint] = m
		g.endpoints = append(g.endpoints, a.Endpoint)
		tracked = append(tracked, route.Endpoint{Name: a.Endpoint, Near: a.Near, Slots: a.Slots})
	}
	for name, m := range g.members {
		if kept[name] == m {
			continue
		}
		gone = append(gone, m)
		g.tracker.Forget(name)
		if m.stop != nil {
			m.stop()
		}
	}
	g.members = kept
	g.tracker.SetEndpoints(tracked)
	for _, m := range kept {
		g.startLocked(m)
	}
	return gone
}

func (g *Group[L]) newMember(a Address) *member[L] {
	return &member[L]{
		address: a,
		trigger: make(chan struct{}, 1),
		orders:  make(chan Order[L], maxOrders),
		connections: NewConnections(ConnectionsConfig[L]{
			Endpoint: a.Endpoint,
			Limit:    max(0, g.limit-probeConnections),
			Permits:  g.permits(a),
			Dial: func(ctx context.Context, key string) (L, error) {
				return g.cfg.Dial(ctx, a, key)
			},
			Terminator: g,
			Quarantine: g.cfg.Quarantine,
			Ordered:    g.cfg.Ordered,
		}),
	}
}

// startLocked starts the probe loop of a member while the group runs.
func (g *Group[L]) startLocked(m *member[L]) {
	if g.ctx == nil || m.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(g.ctx)
	m.stop = cancel
	g.loops.Add(1)
	go func() {
		defer g.loops.Done()
		g.probeLoop(ctx, m)
		m.connections.Close()
	}()
}

// Run probes the members until ctx ends.
func (g *Group[L]) Run(ctx context.Context) error {
	g.mu.Lock()
	g.ctx = ctx
	for _, m := range g.members {
		g.startLocked(m)
	}
	g.mu.Unlock()
	<-ctx.Done()
	g.mu.Lock()
	g.ctx = nil
	g.mu.Unlock()
	g.loops.Wait()
	return nil
}

// Name returns the group's name.
func (g *Group[L]) Name() string { return g.cfg.Name }

// Members returns the addresses of the members, in the order in which they were set.
func (g *Group[L]) Members() []Address {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Address, 0, len(g.endpoints))
	for _, name := range g.endpoints {
		out = append(out, g.members[name].address)
	}
	return out
}

// member returns the member of that name, or nil.
func (g *Group[L]) member(endpoint string) *member[L] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[endpoint]
}

// Connections returns the connections of one member, or nil for an unknown name.
func (g *Group[L]) Connections(endpoint string) *Connections[L] {
	m := g.member(endpoint)
	if m == nil {
		return nil
	}
	return m.connections
}

// View calls f with the tracker under the group's lock; f must not block.
func (g *Group[L]) View(f func(t *route.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
}

// Observe takes a status that was asked for at sentAt and acts on a change of term.
func (g *Group[L]) Observe(sentAt time.Time, s group.Status) {
	g.mu.Lock()
	before := g.tracker.Term()
	changed := g.tracker.Observe(sentAt, g.cfg.Clock(), s)
	g.recordStatusLocked(sentAt, s)
	if changed {
		g.unconfirmedSince = g.cfg.Clock()
	}
	g.broadcastLocked()
	g.mu.Unlock()
	// Before the first term there are no links of an earlier one, and those just opened are of this one.
	if changed && before != 0 {
		g.closeOldTermLinks()
	}
}

// Heard takes a status that another instance asked for at sentAt.
func (g *Group[L]) Heard(sentAt time.Time, s group.Status) {
	g.mu.Lock()
	m := g.members[s.Endpoint()]
	newer := m != nil && sentAt.After(m.lastStatus.sentAt)
	g.mu.Unlock()
	if newer {
		g.Observe(sentAt, s)
		g.notifyObserver(s)
	}
}

// Evidence is a member's newest status and when it was asked for.
type Evidence struct {
	Status group.Status
	SentAt time.Time
}

// Evidence returns what is known of each member that was heard of.
func (g *Group[L]) Evidence() []Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Evidence
	for _, name := range g.endpoints {
		if h := g.members[name].lastStatus; !h.sentAt.IsZero() {
			out = append(out, Evidence{Status: h.status, SentAt: h.sentAt})
		}
	}
	return out
}

// StoreConfirmed notes that the store, asked at sentAt, told of no promotion past term.
func (g *Group[L]) StoreConfirmed(sentAt time.Time, term group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	g.tracker.StoreConfirmed(sentAt, term)
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
}

// ObservePrimary notes that an endpoint took a request that only the primary takes, and where its log ended.
func (g *Group[L]) ObservePrimary(endpoint string, sentAt time.Time, point group.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	g.tracker.Led(endpoint, sentAt, point.Term())
	m := g.members[endpoint]
	if m != nil && m.lastStatus.status.Role() == group.RolePrimary && m.lastStatus.status.Point().Term() == point.Term() {
		g.recordStatusLocked(sentAt, m.lastStatus.status.WithPoint(point))
	}
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
}

// ObservePoint takes a log point that a request sent at sentAt found at an endpoint.
func (g *Group[L]) ObservePoint(endpoint string, sentAt time.Time, point group.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Reached(endpoint, sentAt, g.cfg.Clock(), point)
}

// Verify judges a replica's position ahead of a read.
func (g *Group[L]) Verify(sentAt time.Time, s group.Status, r route.Request) route.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	v := g.tracker.Verify(sentAt, g.cfg.Clock(), s, r)
	g.recordStatusLocked(sentAt, s)
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
	return v
}

func (g *Group[L]) recordStatusLocked(sentAt time.Time, s group.Status) {
	m := g.members[s.Endpoint()]
	if m != nil && sentAt.After(m.lastStatus.sentAt) {
		m.lastStatus = receivedStatus{status: s, sentAt: sentAt}
	}
}

// closeOldTermLinks closes the connections that were opened in an earlier term.
func (g *Group[L]) closeOldTermLinks() {
	for _, a := range g.Members() {
		if c := g.Connections(a.Endpoint); c != nil {
			c.CloseAll()
		}
	}
}

func (g *Group[L]) broadcastLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}
