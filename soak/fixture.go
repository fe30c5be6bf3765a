package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// groupName is the database group of the soak.
const groupName = "g1"

// stand is the platform, the endpoints and the instances of one run.
type stand struct {
	cfg       Config
	store     *platformtest.StoreServer
	group     *platformtest.Group
	members   []*platformtest.Member
	instances []*Process
	// stores and promoters stand between each instance and the platform, endpoints between all of them and a member.
	stores    []*Proxy
	promoters []*Proxy
	endpoints []*Proxy
	// mu guards version, which several faults raise.
	mu      sync.Mutex
	version int
	ends    []chan error
}

// background runs f until ctx ends; the stand's owner awaits its end.
func (s *stand) background(ctx context.Context, f func(ctx context.Context) error) {
	end := make(chan error, 1)
	s.ends = append(s.ends, end)
	go func() { end <- f(ctx) }()
}

// await returns what the stand's own parts failed with.
func (s *stand) await() error {
	var err error
	for _, end := range s.ends {
		err = errors.Join(err, <-end)
	}
	return err
}

// newStand starts the platform and the endpoints, and writes the settings of the instances.
func newStand(ctx context.Context, cfg Config, ledger *Ledger) (*stand, error) {
	s := &stand{cfg: cfg}
	var err error
	if s.store, err = platformtest.NewStoreServer(); err != nil {
		return nil, err
	}
	if s.group, err = platformtest.NewGroup(groupName, 3); err != nil {
		return nil, err
	}
	s.members = s.group.Members()
	s.group.Observe(ledger.Ran)
	promoter, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.background(ctx, s.store.Run)
	s.background(ctx, s.group.Run)
	s.background(ctx, func(ctx context.Context) error { return serveOrders(ctx, promoter, s.group) })
	for _, m := range s.members {
		p, err := s.proxy(ctx, m.ID, m.Address())
		if err != nil {
			return nil, err
		}
		s.endpoints = append(s.endpoints, p)
		m.ListAt(p.Address())
		s.list(m, platformtest.StateReady)
	}
	s.configure()
	for i := range cfg.Instances {
		if err := s.instance(ctx, i, promoter.Addr().String()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *stand) proxy(ctx context.Context, name, target string) (*Proxy, error) {
	p, err := NewProxy(name, target)
	if err != nil {
		return nil, err
	}
	s.background(ctx, p.Run)
	return p, nil
}

// serveOrders answers the call that promotes a member.
func serveOrders(ctx context.Context, l net.Listener, g *platformtest.Group) error {
	mux := http.NewServeMux()
	mux.Handle("POST /promote", g.Promoter())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// host returns the address of an instance on the loopback; runs beside each other use other networks.
func (s *stand) host(i int) string { return fmt.Sprintf("127.%d.0.%d", s.cfg.Network, 10+i) }

func (s *stand) instance(ctx context.Context, i int, promoter string) error {
	name := fmt.Sprintf("instance-%d", i)
	store, err := s.proxy(ctx, name+" to store", s.store.Address())
	if err != nil {
		return err
	}
	orders, err := s.proxy(ctx, name+" to promoter", promoter)
	if err != nil {
		return err
	}
	s.stores, s.promoters = append(s.stores, store), append(s.promoters, orders)
	var seeds []string
	for k := range min(s.cfg.Instances, 3) {
		seeds = append(seeds, s.host(k))
	}
	p, err := NewProcess(ProcessConfig{
		Name: name, Host: s.host(i), DataCentre: fmt.Sprintf("z%d", i%3), Binary: s.cfg.Binary,
		Directory: filepath.Clean(s.cfg.Directory), Seeds: seeds, Store: store.Address(), Promoter: orders.Address(),
	})
	if err != nil {
		return err
	}
	s.instances = append(s.instances, p)
	return nil
}

// list writes a member's entry.
func (s *stand) list(m *platformtest.Member, state string) {
	s.store.Rows.Put(platform.TableEndpoints, m.ID, m.Entry("z"+m.ID[len(m.ID)-1:], state))
}

// configure writes the next version of the configuration, which adds a database that nobody uses.
func (s *stand) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	all := append([]platformtest.Database{{Name: fmt.Sprintf("extra%d", s.version), Kind: platformtest.KindPrimary}}, databases...)
	s.store.Rows.Put(platform.TableConfiguration, platform.KeyConfiguration, platformtest.Configuration{
		Version: s.version, Group: groupName, Connections: s.cfg.Connections, Databases: all,
		Timeout: requestTimeout, Target: targetLatency, MaxStaleness: maxStaleness, MaxIdle: transactionIdle,
	}.Text())
}

// The limits of the contracts, in the middle of what the users' have.
const (
	requestTimeout  = 3 * time.Second
	targetLatency   = time.Second
	transactionIdle = 3 * time.Second
)
