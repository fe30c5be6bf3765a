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
}

// GroupConfig[L] describes the watch over one database group.
type GroupConfig[L Link[L]] struct {
	Name          string
	Members       []Address
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	Lease         time.Duration
	Limit         int
	Dial          func(ctx context.Context, address, database string) (L, error)
	Clock         func() time.Time
	// Observer is told of every probe's result, if set.
	Observer Observer
}

// Observer takes the results of probes and commands; it must be safe for concurrent use.
type Observer interface {
	// Probed takes a member's status.
	Probed(s group.Status)
	// ProbeFailed notes that a member did not answer; refused marks an active refusal.
	ProbeFailed(endpoint string, refused bool)
}

// Group watches one database group and shares its connections; it is safe for concurrent use.
type Group[L Link[L]] struct {
	cfg         GroupConfig[L]
	mu          sync.Mutex
	tracker     *route.Tracker
	changed     chan struct{}
	connections map[string]*Connections[L]
	kicks       map[string]chan struct{}
	commands    map[string]chan Command[L]
	lastError   map[string]error
	answeredAt  map[string]time.Time
	heard       map[string]heard
}

// heard is the newest status of a member, whether a probe or a request brought it.
type heard struct {
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
	g := &Group[L]{
		cfg:         cfg,
		changed:     make(chan struct{}),
		connections: map[string]*Connections[L]{},
		kicks:       map[string]chan struct{}{},
		commands:    map[string]chan Command[L]{},
		lastError:   map[string]error{},
		answeredAt:  map[string]time.Time{},
		heard:       map[string]heard{},
	}
	var names []string
	for _, m := range cfg.Members {
		names = append(names, m.Endpoint)
		g.kicks[m.Endpoint] = make(chan struct{}, 1)
		g.commands[m.Endpoint] = make(chan Command[L], maxCommands)
		g.connections[m.Endpoint] = NewConnections(ConnectionsConfig[L]{
			Endpoint: m.Endpoint,
			Limit:    max(0, cfg.Limit-probeConnections),
			Dial: func(ctx context.Context, key string) (L, error) {
				return cfg.Dial(ctx, m.Address, key)
			},
			Terminator: g,
		})
	}
	g.tracker = route.NewTracker(route.TrackerConfig{Group: cfg.Name, Endpoints: names})
	return g
}

// Name returns the group's name.
func (g *Group[L]) Name() string { return g.cfg.Name }

// Members returns the addresses of the members.
func (g *Group[L]) Members() []Address { return append([]Address(nil), g.cfg.Members...) }

// Connections returns the connections of one member, or nil for an unknown name.
func (g *Group[L]) Connections(endpoint string) *Connections[L] { return g.connections[endpoint] }

// View calls f with the tracker under the group's lock; f must not block.
func (g *Group[L]) View(f func(t *route.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
}

// Observe takes a status that was asked for at sentAt and acts on a change of term.
func (g *Group[L]) Observe(sentAt time.Time, s group.Status) {
	g.mu.Lock()
	changed := g.tracker.Observe(sentAt, g.cfg.Clock(), s)
	g.noteLocked(sentAt, s)
	g.broadcastLocked()
	g.mu.Unlock()
	if changed {
		g.dropOldTerm()
	}
}

// Verify judges a replica's position ahead of a read.
func (g *Group[L]) Verify(sentAt time.Time, s group.Status, r route.Request) route.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.tracker.ConfirmedAt()
	v := g.tracker.Verify(sentAt, g.cfg.Clock(), s, r)
	g.noteLocked(sentAt, s)
	if g.tracker.ConfirmedAt().After(before) {
		g.broadcastLocked()
	}
	return v
}

func (g *Group[L]) noteLocked(sentAt time.Time, s group.Status) {
	if sentAt.After(g.heard[s.Endpoint()].sentAt) {
		g.heard[s.Endpoint()] = heard{status: s, sentAt: sentAt}
	}
}

// dropOldTerm closes the connections that were opened in an earlier term.
func (g *Group[L]) dropOldTerm() {
	for _, c := range g.connections {
		c.CloseAll()
	}
}

func (g *Group[L]) broadcastLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// MinLimit is the fewest connections to an endpoint with which an instance can serve: its probe and one more.
const MinLimit = probeConnections + 1

// SetEndpointLimit changes how many connections to one member this instance may hold, probes included.
func (g *Group[L]) SetEndpointLimit(endpoint string, limit int) {
	g.connections[endpoint].SetLimit(max(0, limit-probeConnections))
}

// ShrinkEndpoint lowers that limit as far as limit by what is unused, and returns what was reached, probes included.
func (g *Group[L]) ShrinkEndpoint(endpoint string, limit int) int {
	return g.connections[endpoint].Shrink(max(0, limit-probeConnections)) + probeConnections
}
