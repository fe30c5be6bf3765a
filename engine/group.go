package engine

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Address describes a member of a group and the address at which it listens.
type Address struct {
	Endpoint string
	Address  string
	// Incarnation distinguishes restarts of the member, or is 0 when unknown.
	Incarnation int64
	// SameDataCentre means that the member is in this instance's data centre.
	SameDataCentre bool
	// Slots is the number of requests that the member runs at the same time, or 0 when unknown.
	Slots int
}

// GroupConfig configures the monitoring of one database group and the connections to its members.
type GroupConfig[L Link[L]] struct {
	Name          string
	Members       []Address
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	Lease         time.Duration
	// Limit is the number of connections to each member that this instance may hold, including the one for probes.
	Limit int
	// Sharers is the number of instances that share the members' slots; 0 leaves the requests running at a member
	// unbounded.
	Sharers int
	Dial    func(ctx context.Context, m Address, key string) (L, error)
	Clock   func() time.Time
	// Outage is the estimated time from the last confirmation of a failed primary to the first confirmation of its
	// successor; with 0, requests wait for a primary until their deadline.
	Outage time.Duration
	// PromotionTime is the estimated time of a promotion after the old primary's lease has ended.
	PromotionTime time.Duration
	// Ordered serves waiters by priority and target instead of customers round-robin.
	Ordered bool
	// Quarantine is how long a link that its endpoint does not close still counts towards the limit; 0 means
	// DefaultQuarantine.
	Quarantine time.Duration
	// RequireAllReplicas requires the confirmation of every replica for a lease, instead of any one replica; a
	// confirmation by the store replaces either.
	RequireAllReplicas bool
	// Probing decides which probes are due; nil probes every member at every interval.
	Probing *route.Probing
	// MaxLinkIdle is how long a link may stay idle, with 0 for no limit. When many instances crash at once, endpoints
	// still count the lost links for seconds, and idle links would then exhaust the connection limit.
	MaxLinkIdle time.Duration
	// Standby, if set, reports whether another instance probes the members and relays the statuses.
	Standby func() bool
	// Pace limits the requests at a member that has started, come back or become primary, as its answers allow.
	Pace bool
	// Observer, if set, receives the result of every probe and order.
	Observer Observer
}

// Observer receives the results of probes and orders; it must be safe for concurrent use.
type Observer interface {
	// Probed receives a member's status.
	Probed(s group.Status)
	// ProbeFailed reports that a member did not answer; refused is set if its host refused or reset the connection.
	ProbeFailed(endpoint string, refused bool)
}

// Group monitors one database group and shares the connections to its members; it is safe for concurrent use.
type Group[L Link[L]] struct {
	cfg     GroupConfig[L]
	log     group.Log
	mu      sync.Mutex
	tracker *route.Tracker
	// changed is closed and replaced on every change that may end a call of await.
	changed chan struct{}
	members map[string]*member[L]
	// pacings holds the pace of each member, if GroupConfig.Pace is set.
	pacings   map[string]*pacing
	endpoints []string
	limit     int
	sharers   int
	// unconfirmedSince is the time since which the primary is unconfirmed: the latest of the end of the newest lease,
	// the observation of a new term, and the creation of the group.
	unconfirmedSince time.Time
	// ctx is the context of Run, or nil while Run is not active.
	ctx   context.Context
	loops sync.WaitGroup
}

// member is one endpoint of the group.
type member[L Link[L]] struct {
	address     Address
	connections *Connections[L]
	paced       pacedPermits
	trigger     chan struct{}
	orders      chan Order[L]
	stop        context.CancelFunc
	lastError   error
	answeredAt  time.Time
	lastStatus  receivedStatus
}

// receivedStatus is a member's status, from a probe or a request sent at sentAt.
type receivedStatus struct {
	status group.Status
	sentAt time.Time
}

// probeConnections is the number of connections to each member that are reserved for probes.
const probeConnections = 1

// NewGroup returns a group; the state of its members is unknown until Run probes them.
func NewGroup[L Link[L]](cfg GroupConfig[L]) *Group[L] {
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	if cfg.Quarantine == 0 {
		cfg.Quarantine = DefaultQuarantine
	}
	g := &Group[L]{
		cfg:     cfg,
		log:     group.NewLog(cfg.Name),
		changed: make(chan struct{}),
		members: map[string]*member[L]{},
		pacings: map[string]*pacing{},
		limit:   cfg.Limit,
		sharers: cfg.Sharers,
		tracker: route.NewTracker(route.TrackerConfig{Group: cfg.Name, Lease: cfg.Lease, RequireAllReplicas: cfg.RequireAllReplicas}),
	}
	g.unconfirmedSince = cfg.Clock()
	g.SetMembers(cfg.Members)
	return g
}

// SetMembers replaces the list of members; a member that restarted or changed its address counts as a new one.
func (g *Group[L]) SetMembers(members []Address) {
	g.mu.Lock()
	removed := g.setMembersLocked(members)
	g.broadcastLocked()
	g.mu.Unlock()
	for _, m := range removed {
		m.connections.CloseAll()
	}
}

func (g *Group[L]) setMembersLocked(members []Address) (removed []*member[L]) {
	kept := map[string]*member[L]{}
	g.endpoints = nil
	var tracked []route.Endpoint
	for _, a := range members {
		m := g.members[a.Endpoint]
		if m == nil || m.address.Address != a.Address || m.address.Incarnation != a.Incarnation {
			m = g.newMember(a)
			g.addPacingLocked(a)
		}
		if m.address != a {
			m.address = a
			g.applyPermitsLocked(m)
		}
		kept[a.Endpoint] = m
		g.endpoints = append(g.endpoints, a.Endpoint)
		tracked = append(tracked, route.Endpoint{Name: a.Endpoint, SameDataCentre: a.SameDataCentre, Slots: a.Slots})
	}
	for name, m := range g.members {
		if kept[name] == m {
			continue
		}
		removed = append(removed, m)
		g.tracker.Forget(name)
		if m.stop != nil {
			m.stop()
		}
	}
	g.members = kept
	g.tracker.SetEndpoints(tracked)
	g.dropPacingsLocked()
	g.updatePaceLocked()
	for _, m := range kept {
		g.startLocked(m)
	}
	return removed
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

// Run probes the members until ctx ends, and returns once the idle connections and those for probes are closed.
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

// Connections returns the connections to one member, or nil for an unknown name.
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

// Observe records a status that was requested at sentAt; on a change of term it closes the links of the old one.
func (g *Group[L]) Observe(sentAt time.Time, s group.Status) {
	g.mu.Lock()
	before := g.tracker.Term()
	changed := g.tracker.Observe(sentAt, g.cfg.Clock(), s)
	g.recordStatusLocked(sentAt, s)
	if changed {
		g.unconfirmedSince = g.cfg.Clock()
	}
	g.updatePaceLocked()
	g.broadcastLocked()
	g.mu.Unlock()
	// Links opened before the first known term belong to that term.
	if changed && before != 0 {
		g.closeOldTermLinks()
	}
}

// relayJitter is the largest difference between the send times that two relays of the same status give: a send time is
// computed from the age of the status when the relay answers, so that it varies with the network delay.
const relayJitter = 20 * time.Millisecond

// ObserveRelayed records a status that another instance requested at sentAt, if it is newer than the last one.
//
// A status that is relayed again is no new answer of the member.
func (g *Group[L]) ObserveRelayed(sentAt time.Time, s group.Status) {
	g.mu.Lock()
	m := g.members[s.Endpoint()]
	newer := m != nil && sentAt.Sub(m.lastStatus.sentAt) > relayJitter
	g.mu.Unlock()
	if newer {
		g.Observe(sentAt, s)
		g.notifyObserver(s)
	}
}

// Evidence is a member's newest status and the time at which it was requested.
type Evidence struct {
	Status group.Status
	SentAt time.Time
}

// Evidence returns the newest status of each member that has reported one.
func (g *Group[L]) Evidence() []Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Evidence
	for _, name := range g.endpoints {
		if last := g.members[name].lastStatus; !last.sentAt.IsZero() {
			out = append(out, Evidence{Status: last.status, SentAt: last.sentAt})
		}
	}
	return out
}

// ConfirmByStore records that the store, queried at sentAt, contained no promotion to a term after term.
func (g *Group[L]) ConfirmByStore(sentAt time.Time, term group.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	g.tracker.ConfirmByStore(sentAt, term)
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
}

// ObservePrimary records that an endpoint accepted a request that only a primary accepts, and the end of its log.
func (g *Group[L]) ObservePrimary(endpoint string, sentAt time.Time, point group.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	g.tracker.ConfirmPrimary(endpoint, sentAt, point.Term())
	m := g.members[endpoint]
	if m != nil && m.lastStatus.status.Role() == group.RolePrimary && m.lastStatus.status.Point().Term() == point.Term() {
		g.recordStatusLocked(sentAt, m.lastStatus.status.WithPoint(point))
	}
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
}

// ObservePoint records the end of an endpoint's log as reported to a request sent at sentAt.
func (g *Group[L]) ObservePoint(endpoint string, sentAt time.Time, point group.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.ObservePoint(endpoint, sentAt, g.cfg.Clock(), point)
}

// Verify decides from a replica's status, requested at sentAt, whether the replica may serve r.
func (g *Group[L]) Verify(sentAt time.Time, s group.Status, r route.Request) route.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	v := g.tracker.Verify(sentAt, g.cfg.Clock(), s, r)
	g.recordStatusLocked(sentAt, s)
	g.updatePaceLocked()
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
	return v
}

// recordStatusLocked keeps a member's status if it is newer than the last one.
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

// broadcastLocked wakes all calls of await.
func (g *Group[L]) broadcastLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}
