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
	cfg       Config
	number    uint32
	seat      peer.Seat
	node      *peer.Node
	server    *caller.Server
	events    *event.Log
	counts    *report.Counts
	metrics   *metrics
	mu        sync.Mutex
	contracts *contract.Registry
	accounts  map[string]*caller.Account
	leaving   map[string]bool
	groups    map[string]*watched
	groupCtx  context.Context
	// learned says that the platform has named its groups to this run.
	learned atomic.Bool
	ends    sync.WaitGroup
	ordered chan struct{}
	// places caches this instance's place for each duty among the presences with the digest placesOf.
	places   map[string]int
	placesOf membership.Digest
	evicted  chan error
}

// New claims a seat and listens for callers; it fails when ctx ends first or an address is taken.
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
		cfg:       cfg,
		number:    number,
		seat:      seat,
		counts:    report.NewCounts(report.CountsConfig{}),
		contracts: contract.NewRegistry(),
		accounts:  map[string]*caller.Account{},
		leaving:   map[string]bool{},
		groups:    map[string]*watched{},
		ordered:   make(chan struct{}),
		evicted:   make(chan error, 1),
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
			Number:      i.number,
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

func scheme(secure bool) string {
	if secure {
		return "https"
	}
	return "http"
}

func (i *Instance) newServer() (*caller.Server, error) {
	return caller.NewServer(caller.Config{
		Address:        i.cfg.CallerAddress,
		InstanceNumber: uint16(i.number),
		Directory:      i,
		Recorder:       i,
		Policy:         i.cfg.Policy,
		Tokens:         i.cfg.Tokens,
		TLS:            i.cfg.CallerTLS,
		RequireTLS:     i.cfg.RequireCallerTLS,
		Logger:         i.cfg.Logger,
		ForwardCancel: func(ctx context.Context, pid uint32, secret []byte) {
			i.node.Cancel(ctx, uint32(caller.InstanceOf(pid)), pid, secret)
		},
	})
}

// CallerAddress returns the host:port on which callers are taken.
func (i *Instance) CallerAddress() string { return i.server.Address() }

// OperatorAddress returns the host:port of the operator interface.
func (i *Instance) OperatorAddress() string { return i.cfg.OperatorListener.Addr().String() }

// Run serves until ctx ends or the instance is ordered to leave, then drains.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k := kernel.New()
	services := []kernel.Service{
		&operatorService{instance: i, server: peer.NewServer(i.cfg.OperatorTLS)},
		i.node,
		&watchService{instance: i},
		&reaper{instance: i, deadFrom: map[string]time.Time{}},
		&balancer{instance: i, idleFrom: map[string]time.Time{}},
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
		case <-i.ordered:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := k.Run(ctx)
	i.giveUpSeat()
	return err
}

// giveUpSeat frees the seat after a graceful stop, when nothing of the instance is connected any more.
func (i *Instance) giveUpSeat() {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	if err := releaseSeat(ctx, i.cfg.Platform, i.number, i.seat, i.cfg.Name); err != nil {
		_ = i.cfg.Logger.Log("level", "warn", "msg", "the seat was not freed; the others free it in a minute", "error", err.Error())
	}
}

// callerService runs the listener for callers.
type callerService struct {
	instance *Instance
}

// Name returns the service's name.
func (s *callerService) Name() string { return "caller" }

// Run takes callers until ctx ends, then drains.
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

// first reports whether this instance is the first of the live ones for a duty.
func (i *Instance) first(duty string) bool {
	rank, _ := i.rank(duty)
	return rank == 0
}

// rank returns this instance's place among the live ones for a duty, and how many others there are.
func (i *Instance) rank(duty string) (place, others int) {
	alive, digest := i.node.View()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.placesOf != digest {
		i.places = map[string]int{}
		i.placesOf = digest
	}
	place, ok := i.places[duty]
	if !ok {
		place = membership.Place(duty, alive, i.cfg.Name)
		i.places[duty] = place
	}
	return place, len(alive) - 1
}

func (i *Instance) logEvent(e event.Event) {
	_ = i.cfg.Logger.Log("level", "info", "msg", e.Decision(), "subject", e.Subject(), "evidence", e.Evidence())
}

const requestIDBytes = 16

// requestID returns a random id for a request of this instance's own.
func requestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// errStale says that the configuration may be out of date.
func errStale() error {
	return fault.New(fault.Config{
		Kind:    fault.KindStale,
		Message: "this instance cannot prove that its configuration is the newest; the request did not run",
		Remedy:  "connect through another instance; this one recovers once it reaches the platform or its peers",
	})
}
