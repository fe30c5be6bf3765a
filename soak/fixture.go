package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// groupName is the name of the database group to which all databases belong, but for movingDatabase.
const groupName = "g1"

// fixture holds the fake platform, the fake endpoints and the instances of one run.
type fixture struct {
	cfg Config
	// accounts is nil in a run without accounts.
	accounts  *accounts
	operator  *platformtest.Operator
	store     *platformtest.StoreServer
	group     *platformtest.Group
	members   []*platformtest.Member
	instances []*Process
	// promotions is held while a fault of kindPromotion is in progress.
	promotions sync.Mutex
	// storeProxies and promoterProxies hold a proxy per instance, between it and the platform; endpointProxies holds a
	// proxy per member, between it and all instances.
	storeProxies    []*Proxy
	promoterProxies []*Proxy
	endpointProxies []*Proxy
	// mu guards the fields below, which concurrent faults change: the rows that the operator and the members wrote last, the
	// accounts in the store's configuration, and the copies of the store.
	mu      sync.Mutex
	written map[rowKey][]byte
	tenants []platformtest.Tenant
	copies  []storeCopy
	done    []chan error
}

// background starts run in a goroutine; awaitEnd waits for its end.
func (f *fixture) background(ctx context.Context, run func(ctx context.Context) error) {
	done := make(chan error, 1)
	f.done = append(f.done, done)
	go func() { done <- run(ctx) }()
}

// awaitEnd waits for the end of all background functions and returns their errors.
func (f *fixture) awaitEnd() error {
	var err error
	for _, done := range f.done {
		err = errors.Join(err, <-done)
	}
	return err
}

// newFixture starts the fake platform and the endpoints, and writes the instances' settings without starting them.
func newFixture(ctx context.Context, cfg Config, oracle *Oracle) (*fixture, error) {
	f := &fixture{cfg: cfg, accounts: newAccounts(cfg), written: map[rowKey][]byte{}}
	f.operator = f.newOperator()
	var err error
	if f.store, err = platformtest.NewStoreServer(); err != nil {
		return nil, err
	}
	// The first era may be the one that a store reports which reports none.
	f.store.Rows.SetEra(cfg.Seed % 2)
	if f.group, err = platformtest.NewGroup(groupName, 3); err != nil {
		return nil, err
	}
	f.group.SetConnectionLimit(cfg.Connections)
	f.group.SetSyncReplica(cfg.SyncReplica)
	if cfg.promotes() {
		f.group.SetTimes(promotionTime, stepDownAfter)
	}
	f.members = f.group.Members()
	f.group.Observe(func(e platformtest.Execution) {
		oracle.RecordRun(e)
		if f.accounts != nil {
			f.accounts.oracle.RecordRun(e)
		}
	})
	promoter, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.background(ctx, f.store.Run)
	if cfg.restoresStore() {
		f.background(ctx, f.copyStore)
		f.background(ctx, f.heartbeat)
	}
	f.background(ctx, f.group.Run)
	if err := f.startOtherGroup(ctx, oracle); err != nil {
		return nil, err
	}
	f.background(ctx, func(ctx context.Context) error { return servePromotions(ctx, promoter, f.group) })
	for _, m := range f.members {
		p, err := f.startProxy(ctx, m.ID, m.Address())
		if err != nil {
			return nil, err
		}
		f.endpointProxies = append(f.endpointProxies, p)
		m.SetListedAddress(p.Address())
		f.writeEntry(m, platformtest.StateReady)
	}
	f.writeConfiguration()
	for i := range cfg.Instances {
		if err := f.addInstance(ctx, i, promoter.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fixture) startProxy(ctx context.Context, name, target string) (*Proxy, error) {
	p, err := NewProxy(name, target)
	if err != nil {
		return nil, err
	}
	f.background(ctx, p.Run)
	return p, nil
}

// servePromotions serves the platform's HTTP call that promotes a member.
func servePromotions(ctx context.Context, l net.Listener, g *platformtest.Group) error {
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

// host returns the loopback address of instance i; concurrent runs use different networks.
func (f *fixture) host(i int) string { return fmt.Sprintf("127.%d.0.%d", f.cfg.Network, 10+i) }

func (f *fixture) addInstance(ctx context.Context, i int, promoter string) error {
	name := fmt.Sprintf("instance-%d", i)
	store, err := f.startProxy(ctx, name+" to store", f.store.Address())
	if err != nil {
		return err
	}
	promotions, err := f.startProxy(ctx, name+" to promoter", promoter)
	if err != nil {
		return err
	}
	f.storeProxies, f.promoterProxies = append(f.storeProxies, store), append(f.promoterProxies, promotions)
	var seeds []string
	for k := range min(f.cfg.Instances, 3) {
		seeds = append(seeds, f.host(k))
	}
	if f.cfg.hasStranger() && i == f.cfg.Instances-1 {
		seeds = f.strangerSeeds()
	}
	p, err := NewProcess(ProcessConfig{
		Name: name, Host: f.host(i), DataCentre: fmt.Sprintf("z%d", i%3), Binary: f.cfg.Binary,
		Directory: filepath.Clean(f.cfg.Directory), Seeds: seeds, Store: store.Address(), Promoter: promotions.Address(),
		Accounts: f.accountBounds(),
	})
	if err != nil {
		return err
	}
	f.instances = append(f.instances, p)
	return nil
}

// writeEntry writes the store's entry of a member.
func (f *fixture) writeEntry(m *platformtest.Member, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putLocked(platform.TableEndpoints, m.ID, m.Entry("z"+m.ID[len(m.ID)-1:], state))
}

// writeConfiguration writes the next version of the configuration, with a database that no caller uses.
func (f *fixture) writeConfiguration() {
	f.operator.Update(func(*platformtest.Configuration) {})
}

// newOperator returns the operator, which writes each version to the store with a database that no other version has.
func (f *fixture) newOperator() *platformtest.Operator {
	return platformtest.NewOperator(platformtest.OperatorConfig{
		VersionStep: 3, Accounts: f.accounts.oracleOrNil(),
		Configuration: platformtest.Configuration{
			Group: groupName, Connections: f.cfg.Connections, SyncReplica: f.cfg.SyncReplica, Tenants: f.accounts.tenants(),
			Databases: f.cfg.movingDatabases(groupName), OtherGroups: f.cfg.otherGroups(),
			Timeout: requestTimeout, TargetLatency: targetLatency, MaxStaleness: maxStaleness, TransactionIdle: transactionIdle,
		},
		Write: func(c platformtest.Configuration) {
			extra := platformtest.Database{Name: extraDatabase(c.Version), Kind: platformtest.KindPrimary}
			c.Databases = slices.Concat([]platformtest.Database{extra}, databases, c.Databases)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.putLocked(platform.TableConfiguration, platform.KeyConfiguration, c.Text())
			f.tenants = c.Tenants
		},
	})
}

// accountBounds returns the bounds in the instances' settings, which have none in a run without accounts.
func (f *fixture) accountBounds() (b platformtest.AccountBounds) {
	if f.accounts != nil {
		b = f.accounts.bounds
	}
	return b
}

// extraDatabase returns the name of the database that only one version of the configuration has.
func extraDatabase(version int) string { return fmt.Sprintf("extra%d", version) }

// newestExtraDatabase returns the name of the database that only the newest version has.
func (f *fixture) newestExtraDatabase() string {
	return extraDatabase(f.operator.Configuration().Version)
}

// Limits of the contracts, within the range of the users' contracts.
const (
	requestTimeout  = 3 * time.Second
	targetLatency   = time.Second
	transactionIdle = 3 * time.Second
)
