package instance

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/caller"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/kernel"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/report"
	"github.com/monsoontiller/monsoontiller/table"
)

// Instance is one process of the fleet; it is safe for concurrent use.
type Instance struct {
	cfg        Config
	seatNumber uint32
	seat       peer.Seat
	node       *peer.Node
	server     *caller.Server
	events     *event.Log
	counts     *report.Counts
	metrics    *metrics
	// mu guards contracts, customerStates, leaving, groups with their shares, groupCtx, ranks and ranksDigest.
	mu             sync.Mutex
	contracts      *contract.Registry
	customerStates map[string]*caller.CustomerState
	// leaving is true for the endpoints that are ordered to leave.
	leaving map[string]bool
	groups  map[string]*watchedGroup
	// groupCtx is the context of watchService.Run, under which the groups are watched; it is nil before.
	groupCtx context.Context
	// groupsListed is true once the platform has listed its groups to this run.
	groupsListed atomic.Bool
	loops        sync.WaitGroup
	// drainOrdered is closed when this run is ordered to leave.
	drainOrdered chan struct{}
	// ranks caches this instance's rank for each key, for the presences with the digest ranksDigest.
	ranks       map[string]int
	ranksDigest membership.Digest
	// evicted receives the error with which the instance stops after it has lost its seat.
	evicted chan error
}

// New claims a seat and listens for callers. It fails if ctx ends first, if the settings differ from those of other
// instances, or if the address for callers cannot be used.
func New(ctx context.Context, cfg Config) (*Instance, error) {
	cfg.setDefaults()
	incarnation := uint64(time.Now().UnixNano())
	seat := peer.Seat{
		Name:        cfg.Name,
		Incarnation: incarnation,
		PeerAddress: cfg.PeerListener.Addr().String(),
		DataCentre:  cfg.DataCentre,
		LeaseMillis: cfg.Lease.Milliseconds(),
		Seats:       cfg.Seats,
	}
	number, claimed, err := claimSeat(ctx, cfg, seat)
	if err != nil {
		if number != 0 {
			_ = releaseSeat(context.WithoutCancel(ctx), cfg.Platform, number, seat, cfg.Name)
		}
		return nil, err
	}
	i := &Instance{
		cfg:            cfg,
		seatNumber:     number,
		seat:           seat,
		counts:         report.NewCounts(report.CountsConfig{}),
		contracts:      contract.NewRegistry(),
		customerStates: map[string]*caller.CustomerState{},
		leaving:        map[string]bool{},
		groups:         map[string]*watchedGroup{},
		drainOrdered:   make(chan struct{}),
		evicted:        make(chan error, 1),
	}
	i.metrics = newMetrics(cfg.Scope)
	i.events = event.NewLog(event.LogConfig{Instance: cfg.Name, OnAdd: i.logEvent})
	i.node = i.newNode(incarnation)
	i.node.Apply(claimed)
	if i.server, err = i.newServer(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Instance) newNode(incarnation uint64) *peer.Node {
	return peer.NewNode(peer.Config{
		Self: membership.NewIdentity(membership.IdentityConfig{
			Seat:        i.seatNumber,
			Incarnation: incarnation,
			Name:        i.cfg.Name,
			PeerAddress: i.seat.PeerAddress,
			DataCentre:  i.cfg.DataCentre,
		}),
		Listener:   i.cfg.PeerListener,
		Client:     i.cfg.PeerClient,
		Server:     peer.NewServer(i.cfg.PeerServerTLS),
		Scheme:     scheme(i.cfg.PeerServerTLS != nil),
		FreshBound: i.cfg.FreshBound,
		Seeds:      i.cfg.Seeds,
		Backend:    &backend{instance: i},
		Events:     i.events,
		Logger:     i.cfg.Logger,
	})
}

func scheme(useTLS bool) string {
	if useTLS {
		return "https"
	}
	return "http"
}

func (i *Instance) newServer() (*caller.Server, error) {
	return caller.NewServer(caller.Config{
		Address:    i.cfg.CallerAddress,
		SeatNumber: uint16(i.seatNumber),
		Directory:  i,
		Recorder:   i,
		Policy:     i.cfg.Policy,
		Tokens:     i.cfg.Tokens,
		TLS:        i.cfg.CallerTLS,
		RequireTLS: i.cfg.RequireCallerTLS,
		Logger:     i.cfg.Logger,
		ForwardCancel: func(ctx context.Context, pid uint32, secret []byte) {
			i.node.Cancel(ctx, uint32(caller.SeatOf(pid)), pid, secret)
		},
	})
}

// CallerAddress returns the host:port on which the instance accepts callers.
func (i *Instance) CallerAddress() string { return i.server.Address() }

// OperatorAddress returns the host:port of the operator API.
func (i *Instance) OperatorAddress() string { return i.cfg.OperatorListener.Addr().String() }

// Run serves until ctx ends, the instance is ordered to leave, it loses its seat or a service fails; then it drains and
// frees the seat if it still holds it.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := kernel.New()
	services := []kernel.Service{
		&operatorService{instance: i, server: peer.NewServer(i.cfg.OperatorTLS)},
		i.node,
		&watchService{instance: i},
		&reaper{instance: i, deadSince: map[string]time.Time{}},
		&balancer{instance: i, idleSince: map[string]time.Time{}},
		&configService{instance: i, configuration: table.NewConfiguration(i.cfg.Platform)},
		&callerService{instance: i},
	}
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	go func() {
		select {
		case <-i.drainOrdered:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := k.Run(ctx)
	i.freeSeat()
	return err
}

// freeSeat frees the seat, if this run still holds it, after all services have stopped.
func (i *Instance) freeSeat() {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	if err := releaseSeat(ctx, i.cfg.Platform, i.seatNumber, i.seat, i.cfg.Name); err != nil {
		_ = i.cfg.Logger.Log("level", "warn", "msg", "the seat was not freed; the others free it in a minute", "error", err.Error())
	}
}

// callerService runs the listener for callers.
type callerService struct {
	instance *Instance
}

// Name returns the service's name.
func (s *callerService) Name() string { return "caller" }

// Run accepts callers until ctx ends, then drains.
func (s *callerService) Run(ctx context.Context) error {
	return s.instance.server.Run(ctx, s.instance.drainTimeout)
}

// drainTimeout returns the longest drain time among the contracts in force.
func (i *Instance) drainTimeout() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	longest := time.Duration(0)
	for _, e := range i.contracts.List() {
		longest = max(longest, e.Contract().DrainTimeout())
	}
	return longest
}

// isFirst reports whether this instance ranks first among the live instances for a key.
func (i *Instance) isFirst(key string) bool {
	rank, _ := i.rank(key)
	return rank == 0
}

// rank returns this instance's rank among the live instances for a key, from 0, and the number of the others.
func (i *Instance) rank(key string) (rank, others int) {
	alive, digest := i.node.LiveInstances()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ranksDigest != digest {
		i.ranks = map[string]int{}
		i.ranksDigest = digest
	}
	rank, ok := i.ranks[key]
	if !ok {
		rank = membership.RankOf(key, alive, i.cfg.Name)
		i.ranks[key] = rank
	}
	return rank, len(alive) - 1
}

func (i *Instance) logEvent(e event.Event) {
	_ = i.cfg.Logger.Log("level", "info", "msg", e.Decision(), "subject", e.Subject(), "evidence", e.Evidence())
}

const requestIDBytes = 16

// requestID returns a random id for a request of this instance itself.
func requestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// errStale returns the error of a request that arrives while the configuration may be out of date.
func errStale() error {
	return fault.New(fault.Config{
		Kind:    fault.KindStale,
		Message: "this instance cannot prove that its configuration is the newest; the request did not run",
		Remedy:  "connect through another instance; this one recovers once it reaches the platform or its peers",
	})
}
