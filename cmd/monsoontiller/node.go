package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/go-kit/log"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/quota"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/transport"
)

// nodeCommand runs one instance on a machine of the platform until SIGTERM.
type nodeCommand struct {
	MetricsPort int  `long:"metrics-port" value-name:"PORT" default:"0" description:"Port on which the machine's address serves the counters alone; 0 for none"`
	Pace        bool `long:"pace" description:"Limit the requests at an endpoint that has just started, come back or become primary by how it answers"`
}

const (
	// memoryLimitFraction is the soft memory limit of the Go runtime, as a fraction of the machine's memory.
	memoryLimitFraction = 0.6
	// gcPercent halves Go's default heap growth between collections: memory is expensive on the platform, and the
	// processor is mostly idle.
	gcPercent = 50
)

// Execute runs the command.
func (c *nodeCommand) Execute([]string) error {
	n, err := platform.LoadInstanceSettings()
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(n.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	scope, metrics := newScope()
	output, closeLog := openLog(scope)
	defer closeLog()
	logger := newLogger(output, n.Instance)
	listeners := &listeners{logger: logger, scope: scope}
	peerListener, err := listeners.named("peer")(n.PeerAddress)
	if err != nil {
		return err
	}
	_, tunnelPort, err := net.SplitHostPort(n.TunnelAddress)
	if err != nil {
		return err
	}
	_, forwardPort, err := net.SplitHostPort(n.ForwardAddress)
	if err != nil {
		return err
	}
	i := fleet.New(fleet.Config[*platform.Link]{
		Name:          n.Instance,
		DataCentre:    n.DataCentre,
		PeerListener:  peerListener,
		Seeds:         n.Seeds,
		TunnelAddress: n.TunnelAddress,
		TunnelPort:    tunnelPort,
		Listen:        listeners.named("tunnel"),
		ForwardPort:   forwardPort,
		Capacity:      n.Capacity,
		KeyBound:      n.KeyBound,
		FirstStart:    n.FirstStart,
		Pace:          c.Pace,
		QuotaTolerance: quota.Tolerance{
			Window: n.Quota.Window, Overage: n.Quota.Overage, Slack: n.Quota.Slack,
		},
		Store:   platform.NewStoreClient(platform.StoreClientConfig{Address: n.StoreAddress}),
		Adapter: newAdapter(n),
		Logger:  logger,
		Scope:   scope,
	})
	descriptors := transport.NewDescriptorBudget(transport.DescriptorBudgetConfig{Clock: clock.Now})
	limit, reserve, err := descriptors.Limit()
	if err != nil {
		return err
	}
	_ = logger.Log("level", "info", "msg", "descriptors", "limit", limit, "reserved", reserve)
	callers, err := platform.NewServer(platform.ServerConfig{
		Address:        n.CallerAddress,
		ForwardAddress: n.ForwardAddress,
		Homes:          i.Homes,
		Starting:       i.Starting,
		Source:         i,
		Accounts:       i,
		Admission:      i,
		Policy:         route.EarliestAnswer{},
		Recorder:       i,
		Logger:         logger,
		Grace:          n.Grace,
		Listen:         listeners.named("caller"),
		Descriptors:    descriptors,
	})
	if err != nil {
		return err
	}
	ready, err := platform.NewReadyServer(platform.ReadyConfig{
		Address: n.ReadinessAddress, Ready: func() bool { return i.Ready() && !callers.Full() }, Metrics: metrics, MetricsAddress: c.metricsAddress(n), Listen: listeners.named("readiness"),
	})
	if err != nil {
		return err
	}
	reload := &reloader{logger: logger}
	return i.Run(ctx, reload, ready, callers)
}

// metricsAddress returns the additional address that serves the counters alone, or "" without --metrics-port.
func (c *nodeCommand) metricsAddress(n platform.InstanceSettings) string {
	host, _, err := net.SplitHostPort(n.ReadinessAddress)
	if err != nil || c.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(c.MetricsPort))
}

// reloader reads the settings again on SIGHUP and logs the result.
//
// It applies none of them: the addresses that an instance listens on and connects to
// are fixed for the life of its process, and the platform restarts an instance whose
// addresses change.
type reloader struct {
	logger log.Logger
}

// Name returns the service's name.
func (r *reloader) Name() string { return "reload" }

// Run waits for SIGHUP until ctx ends.
func (r *reloader) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			r.reload()
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *reloader) reload() {
	n, err := platform.LoadInstanceSettings()
	if err != nil {
		_ = r.logger.Log("level", "error", "msg", "settings_kept", "error", err.Error())
		return
	}
	_ = r.logger.Log("level", "info", "msg", "settings_read", "store", n.StoreAddress, "seeds", len(n.Seeds))
}

// newAdapter returns the adapter that implements the platform's formats and protocols.
func newAdapter(n platform.InstanceSettings) fleet.Adapter[*platform.Link] {
	promoter := platform.NewPromoter(platform.PromoterConfig{Address: n.PromotionAddress})
	return fleet.Adapter[*platform.Link]{
		ConfigurationTable: platform.TableConfiguration,
		ConfigurationKey:   platform.KeyConfiguration,
		EndpointTable:      platform.TableEndpoints,
		ParseDocument:      platform.ParseDocument,
		ParseEntry:         platform.ParseEntry,
		Dialer:             platform.DialEndpoint,
		Dial: func(ctx context.Context, t fleet.Target, dial fleet.DialFunc) (*platform.Link, error) {
			return platform.DialLink(ctx, platform.LinkConfig{
				Address: t.Member.Address, Service: t.Group, Endpoint: t.Member.Endpoint, Instance: n.Instance, Account: t.Account, Dial: dial,
			})
		},
		Promote: promoter.Promote,
	}
}
