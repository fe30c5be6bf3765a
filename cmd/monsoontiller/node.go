package main

import (
	"context"
	"net"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/route"
)

// nodeCommand runs one instance on a machine of the platform until SIGTERM.
type nodeCommand struct{}

// memoryShare is the part of the machine's memory at which the collector works harder.
const memoryShare = 0.6

// Execute runs the command.
func (c *nodeCommand) Execute([]string) error {
	n, err := platform.LoadNode()
	if err != nil {
		return err
	}
	if n.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(n.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := newLogger(n.Instance)
	peers, err := net.Listen("tcp", n.PeerAddress)
	if err != nil {
		return err
	}
	scope, metrics := newScope()
	i := fleet.New(fleet.Config[*platform.Link]{
		Name:         n.Instance,
		DataCentre:   n.DataCentre,
		PeerListener: peers,
		Seeds:        n.Seeds,
		Store:        platform.NewRows(platform.RowsConfig{Address: n.StoreAddress}),
		Adapter:      adapter(n),
		Logger:       logger,
		Scope:        scope,
	})
	callers, err := platform.NewServer(platform.ServerConfig{
		Address:  n.CallerAddress,
		Source:   i,
		Policy:   route.Expected{},
		Recorder: i,
		Logger:   logger,
		Grace:    n.Grace,
	})
	if err != nil {
		return err
	}
	ready, err := platform.NewReadyServer(platform.ReadyConfig{Address: n.ReadinessAddress, Ready: i.Ready, Metrics: metrics})
	if err != nil {
		return err
	}
	return i.Run(ctx, ready, callers)
}

// adapter gives the instance what knows the platform's formats.
func adapter(n platform.Node) fleet.Adapter[*platform.Link] {
	promoter := platform.NewPromoter(platform.PromoterConfig{Address: n.PromotionAddress})
	return fleet.Adapter[*platform.Link]{
		ConfigurationTable: platform.TableConfiguration,
		ConfigurationKey:   platform.KeyConfiguration,
		EndpointTable:      platform.TableEndpoints,
		ParseDocument:      platform.ParseDocument,
		ParseEntry:         platform.ParseEntry,
		Dial: func(ctx context.Context, group string, m engine.Address) (*platform.Link, error) {
			return platform.DialLink(ctx, platform.LinkConfig{
				Address: m.Address, Service: group, Endpoint: m.Endpoint, Instance: n.Instance,
			})
		},
		Promote: promoter.Promote,
	}
}
