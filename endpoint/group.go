package endpoint

import (
	"context"
	"errors"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Address says where a member of a group listens.
type Address struct {
	Endpoint string
	Address  string
}

// GroupConfig describes the watch over one database group.
type GroupConfig struct {
	Name          string
	Members       []Address
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	Lease         time.Duration
	Limit         int
	Dial          func(ctx context.Context, address, database string) (*Conn, error)
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

// Command asks a member for something over a connection and returns the status that follows.
type Command func(ctx context.Context, c *Conn) (group.Status, error)

// Group watches one database group and shares its connections; it is safe for concurrent use.
type Group struct {
	cfg         GroupConfig
	mu          sync.Mutex
	tracker     *route.Tracker
	changed     chan struct{}
	connections map[string]*Connections
	kicks       map[string]chan struct{}
	commands    map[string]chan Command
	lastError   map[string]error
	answeredAt  map[string]time.Time
	heard       map[string]heard
	probes      atomic.Uint64
}

// heard is the newest status of a member, whether a probe or a request brought it.
type heard struct {
	status group.Status
	sentAt time.Time
}

// probeConnections is the number of connections to each member that serve probes only.
const probeConnections = 1

// maxCommands is the number of commands that may wait for one member; more are dropped, as lost messages are.
const maxCommands = 16

// Send queues a command to a member; its result reaches the observer like a probe's.
func (g *Group) Send(endpoint string, command Command) {
	select {
	case g.commands[endpoint] <- command:
	default:
	}
}

// Terminate ends this instance's process pid on an endpoint, over the probe's connection.
func (g *Group) Terminate(endpoint string, pid uint32) bool {
	result := make(chan bool, 1)
	g.Send(endpoint, func(ctx context.Context, c *Conn) (group.Status, error) {
		ended, err := c.terminate(ctx, pid)
		result <- err == nil && ended
		if err != nil {
			return group.Status{}, err
		}
		return c.Status(ctx)
	})
	select {
	case ended := <-result:
		return ended
	case <-time.After(quarantine):
		return false
	}
}

// NewGroup returns a group that knows nothing until Run probes it.
func NewGroup(cfg GroupConfig) *Group {
	if cfg.Clock == nil {
		cfg.Clock = clock.Now
	}
	g := &Group{
		cfg:         cfg,
		changed:     make(chan struct{}),
		connections: map[string]*Connections{},
		kicks:       map[string]chan struct{}{},
		commands:    map[string]chan Command{},
		lastError:   map[string]error{},
		answeredAt:  map[string]time.Time{},
		heard:       map[string]heard{},
	}
	var names []string
	for _, m := range cfg.Members {
		names = append(names, m.Endpoint)
		g.kicks[m.Endpoint] = make(chan struct{}, 1)
		g.commands[m.Endpoint] = make(chan Command, maxCommands)
		g.connections[m.Endpoint] = NewConnections(ConnectionsConfig{
			Endpoint: m.Endpoint,
			Limit:    max(0, cfg.Limit-probeConnections),
			Dial: func(ctx context.Context, key string) (*Conn, error) {
				return cfg.Dial(ctx, m.Address, key)
			},
			Terminator: g,
		})
	}
	g.tracker = route.NewTracker(route.TrackerConfig{Group: cfg.Name, Endpoints: names})
	return g
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Name }

// Members returns the addresses of the members.
func (g *Group) Members() []Address { return append([]Address(nil), g.cfg.Members...) }

// Connections returns the connections of one member, or nil for an unknown name.
func (g *Group) Connections(endpoint string) *Connections { return g.connections[endpoint] }

// View calls f with the tracker under the group's lock; f must not block.
func (g *Group) View(f func(t *route.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
}

// Observe takes a status that was asked for at sentAt and acts on a change of term.
func (g *Group) Observe(sentAt time.Time, s group.Status) {
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
func (g *Group) Verify(sentAt time.Time, s group.Status, r route.Request) route.Verdict {
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

func (g *Group) noteLocked(sentAt time.Time, s group.Status) {
	if sentAt.After(g.heard[s.Endpoint()].sentAt) {
		g.heard[s.Endpoint()] = heard{status: s, sentAt: sentAt}
	}
}

// heardByTraffic returns a member's status if a request brought one within the probe interval, so that a probe can be left out.
func (g *Group) heardByTraffic(endpoint string) (group.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.heard[endpoint]
	recent := g.cfg.Clock().Sub(h.sentAt) < g.cfg.ProbeInterval
	return h.status, recent && g.answeredAt[endpoint].Before(h.sentAt)
}

// Probes returns how many probes were sent.
func (g *Group) Probes() uint64 { return g.probes.Load() }

// dropOldTerm closes the connections that were opened in an earlier term.
func (g *Group) dropOldTerm() {
	for _, c := range g.connections {
		c.CloseAll()
	}
}

func (g *Group) broadcastLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// LeaseValid reports whether the primary may be used and answers of it acknowledged at this moment.
func (g *Group) LeaseValid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseLocked()
}

func (g *Group) leaseLocked() bool {
	confirmed := g.tracker.ConfirmedAt()
	return !confirmed.IsZero() && g.cfg.Clock().Sub(confirmed) < g.cfg.Lease
}

// AwaitLease waits until the primary may be used; it fails with KindNoPrimary at the deadline.
func (g *Group) AwaitLease(ctx context.Context, deadline time.Time) error {
	return g.await(ctx, deadline, g.leaseLocked)
}

// AwaitFloor returns a position of the primary that was probed at or after since, under a valid lease.
func (g *Group) AwaitFloor(ctx context.Context, since, deadline time.Time) (group.Point, time.Time, error) {
	var point group.Point
	var at time.Time
	err := g.await(ctx, deadline, func() bool {
		point, at = g.tracker.PrimarySample()
		return !at.Before(since) && !point.IsZero() && g.leaseLocked()
	})
	return point, at, err
}

// await probes until ready, called under the lock, reports true.
func (g *Group) await(ctx context.Context, deadline time.Time, ready func() bool) error {
	timer := time.NewTimer(clock.Until(deadline))
	defer timer.Stop()
	for {
		g.mu.Lock()
		ok := ready()
		changed := g.changed
		g.mu.Unlock()
		if ok {
			return nil
		}
		g.kick()
		select {
		case <-changed:
		case <-timer.C:
			return g.noPrimary(nil)
		case <-ctx.Done():
			return g.noPrimary(ctx.Err())
		}
	}
}

func (g *Group) noPrimary(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindNoPrimary,
		Message: "no primary of group " + g.cfg.Name + " is confirmed by a second member",
		Remedy:  "try again in a few seconds; `monsoontiller explain` names the members that do not answer",
		Cause:   cause,
	})
}

// Kick asks for a probe of every member now.
func (g *Group) Kick() { g.kick() }

// kick asks every prober to probe now.
func (g *Group) kick() {
	for _, k := range g.kicks {
		select {
		case k <- struct{}{}:
		default:
		}
	}
}

// Run probes the members until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	ends := make(chan error, len(g.cfg.Members))
	for _, m := range g.cfg.Members {
		go func() { ends <- g.probeLoop(ctx, m) }()
	}
	for range g.cfg.Members {
		if err := <-ends; err != nil {
			return err
		}
	}
	for _, c := range g.connections {
		c.Close()
	}
	return nil
}

// probeLoop probes one member at every interval and on every kick, and sends it the commands.
func (g *Group) probeLoop(ctx context.Context, m Address) error {
	ticker := time.NewTicker(g.cfg.ProbeInterval)
	defer ticker.Stop()
	var conn *Conn
	command := Command(statusCommand)
	for {
		if command != nil {
			conn = g.probe(ctx, m, conn, command)
		}
		command = statusCommand
		select {
		case <-ticker.C:
			if s, ok := g.heardByTraffic(m.Endpoint); ok && conn != nil {
				g.tell(s)
				command = nil
			}
		case command = <-g.commands[m.Endpoint]:
		case <-g.kicks[m.Endpoint]:
			g.pace(ctx, conn)
		case <-ctx.Done():
			if conn != nil {
				conn.goodbye(goodbyeTimeout)
				conn.Close()
			}
			return nil
		}
	}
}

func statusCommand(ctx context.Context, c *Conn) (group.Status, error) { return c.Status(ctx) }

// pace keeps kicks from redialing an unreachable member without pause.
func (g *Group) pace(ctx context.Context, conn *Conn) {
	if conn != nil {
		return
	}
	select {
	case <-time.After(redialPause):
	case <-ctx.Done():
	}
}

// redialPause is the least time between two dials of an unreachable member.
const redialPause = 20 * time.Millisecond

// probe sends the member a command over conn, dialing first if conn is nil, and returns the connection for the next one.
func (g *Group) probe(ctx context.Context, m Address, conn *Conn, command Command) *Conn {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.ProbeTimeout)
	defer cancel()
	var err error
	if conn == nil {
		conn, err = g.cfg.Dial(ctx, m.Address, "")
	}
	if err != nil {
		g.failed(m.Endpoint, err)
		return nil
	}
	g.probes.Add(1)
	sentAt := g.cfg.Clock()
	s, err := command(ctx, conn)
	if err != nil {
		conn.Close()
		g.failed(m.Endpoint, err)
		return nil
	}
	g.mu.Lock()
	delete(g.lastError, m.Endpoint)
	g.answeredAt[m.Endpoint] = sentAt
	g.mu.Unlock()
	g.Observe(sentAt, s)
	g.tell(s)
	return conn
}

// tell hands a member's status to the observer.
func (g *Group) tell(s group.Status) {
	if g.cfg.Observer != nil {
		g.cfg.Observer.Probed(s)
	}
}

func (g *Group) failed(endpoint string, err error) {
	g.mu.Lock()
	g.lastError[endpoint] = err
	g.tracker.SetDown(endpoint, true)
	g.broadcastLocked()
	g.mu.Unlock()
	if g.cfg.Observer != nil {
		g.cfg.Observer.ProbeFailed(endpoint, isRefused(err))
	}
}

// isRefused reports whether the member's host answered that nothing listens, or reset the connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF)
}

// AnsweredAt returns when the newest probe that an endpoint answered was sent.
func (g *Group) AnsweredAt(endpoint string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answeredAt[endpoint]
}

// LastError returns why the newest probe of an endpoint failed, or nil.
func (g *Group) LastError(endpoint string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastError[endpoint]
}

// Leads reports whether s comes from the primary of the newest term known.
func (g *Group) Leads(s group.Status) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.Role() == group.RolePrimary && s.Endpoint() == g.tracker.Primary() && s.Point().Term() == g.tracker.Term()
}

// AwaitReplicated waits until a second member holds the log up to point.
//
// It fails with KindNoPrimary at the deadline, and with KindLostWrite as soon as a failover has lost the point.
func (g *Group) AwaitReplicated(ctx context.Context, point group.Point, deadline time.Time) error {
	lost := false
	err := g.await(ctx, deadline, func() bool {
		lost = g.lostLocked(point)
		return lost || g.tracker.Replicated(point)
	})
	if err == nil && lost {
		return fault.New(fault.Config{
			Kind:    fault.KindLostWrite,
			Message: "the failover of group " + g.cfg.Name + " lost the write at " + point.String(),
			Remedy:  "enter the request again",
		})
	}
	return err
}

// lostLocked reports whether the newest term's log lacks point.
func (g *Group) lostLocked(point group.Point) bool {
	_, fate := g.tracker.History().Resolve(point)
	return fate == group.FateLost || fate == group.FateForgotten
}

// MayAcknowledge reports whether an answer that rests on point may be given to its caller at this moment: the newest term holds the point and its primary is confirmed.
func (g *Group) MayAcknowledge(point group.Point) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseLocked() && !g.lostLocked(point)
}

// UnknownPoint stands for an answer in a term that came without a position: it survives no change of term.
func (g *Group) UnknownPoint() group.Point {
	g.mu.Lock()
	defer g.mu.Unlock()
	return group.NewPoint(g.tracker.Term(), math.MaxUint64)
}

// MinLimit is the fewest connections to an endpoint with which an instance can serve: its probe and one more.
const MinLimit = probeConnections + 1

// SetEndpointLimit changes how many connections to one member this instance may hold, probes included.
func (g *Group) SetEndpointLimit(endpoint string, limit int) {
	g.connections[endpoint].SetLimit(max(0, limit-probeConnections))
}

// ShrinkEndpoint lowers that limit as far as limit by what is unused, and returns what was reached, probes included.
func (g *Group) ShrinkEndpoint(endpoint string, limit int) int {
	return g.connections[endpoint].Shrink(max(0, limit-probeConnections)) + probeConnections
}
