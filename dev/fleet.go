package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
	"github.com/monsoontiller/monsoontiller/instance"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/session"
	"github.com/monsoontiller/monsoontiller/table"
	"github.com/monsoontiller/monsoontiller/table/platformv1"
	"github.com/monsoontiller/monsoontiller/table/tabletest"
)

// Preset selects the deployment that a fleet models.
type Preset string

// The presets.
const (
	PresetBairdLennox Preset = "baird-lennox"
	PresetLellu       Preset = "lellu"
)

// deployment holds the names and sizes of a preset's deployment; slots is the number of statements that a member runs
// concurrently.
type deployment struct {
	customer       string
	groups         []string
	maxConnections int
	slots          int
	dataCentres    []string
}

var deployments = map[Preset]deployment{
	PresetBairdLennox: {
		customer:       "baird-lennox",
		groups:         []string{"candidates-1", "candidates-2", "candidates-3"},
		maxConnections: 35,
		slots:          5,
		dataCentres:    []string{"perth", "stirling", "falkirk", "livingston"},
	},
	PresetLellu: {
		customer:       "lellu",
		groups:         []string{"orders-1", "orders-2", "orders-3"},
		maxConnections: 30,
		slots:          2,
		dataCentres:    []string{"riga-centrs", "riga-pardaugava", "riga-plavnieki"},
	},
}

// Config describes a fleet.
type Config struct {
	Instances     int
	Preset        Preset
	Lag           time.Duration
	ConnectDelay  time.Duration
	StatementTime time.Duration
	// CallerPort and OperatorPort are the ports of the first instance; each further instance has the next port. 0 means
	// free ports.
	CallerPort   int
	OperatorPort int
	Lease        time.Duration
	// Seats is the number of seats into which each endpoint's connection limit is divided; 0 means the default.
	Seats int
	// LeaseOverrides replaces Lease for single instances, by number from 0.
	LeaseOverrides map[int]time.Duration
	ProbeInterval  time.Duration
	FreshBound     time.Duration
	Policy         route.Policy
	// ContractExtra is appended to the preset's contract.
	ContractExtra string
	NewScope      func() (tally.Scope, http.Handler)
	Logger        func(name string) log.Logger
	// PeerClient returns an instance's HTTP client for peers; a test may use it to partition them.
	PeerClient func(name string) *http.Client
	// PlatformClient returns an instance's HTTP client for the platform; a test may use it to partition the instance.
	PlatformClient func(name string) *http.Client
}

// Fleet is a running set of instances with a fake platform and fake database groups.
type Fleet struct {
	cfg        Config
	deployment deployment
	ctx        context.Context
	groups     []*endpointtest.Group
	platform   *tabletest.Server
	url        string
	instances  []*runningInstance
	done       []<-chan error
	stop       context.CancelFunc
}

// runningInstance is an instance with its stop function and the channel that receives the result of its Run.
type runningInstance struct {
	instance *instance.Instance
	stop     context.CancelFunc
	exited   chan error
}

// tokenKey signs tokens in development fleets only.
const tokenKey = "development-fleet-token-key"

// Start starts the fake platform and databases, applies the preset's contract and starts the instances. It returns the
// first error.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.Preset == "" {
		cfg.Preset = PresetBairdLennox
	}
	if cfg.Logger == nil {
		cfg.Logger = func(string) log.Logger { return log.NewNopLogger() }
	}
	fakesCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{cfg: cfg, deployment: deployments[cfg.Preset], ctx: ctx, stop: stop}
	if err := f.startFakes(fakesCtx); err != nil {
		stop()
		return nil, err
	}
	if err := f.applyContract(ctx); err != nil {
		stop()
		return nil, err
	}
	for n := range cfg.Instances {
		if err := f.StartInstance(n); err != nil {
			stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startFakes(ctx context.Context) error {
	var groups []*platformv1.Group
	for _, name := range f.deployment.groups {
		g := endpointtest.NewGroup(endpointtest.GroupConfig{
			Name:           name,
			MaxConnections: f.deployment.maxConnections,
			Slots:          f.deployment.slots,
			Lag:            f.cfg.Lag,
			ConnectDelay:   f.cfg.ConnectDelay,
			StatementTime:  f.cfg.StatementTime,
		})
		done, err := g.Start(ctx)
		if err != nil {
			return err
		}
		f.done = append(f.done, done)
		f.groups = append(f.groups, g)
		groups = append(groups, groupMessage(g, f.deployment))
	}
	f.platform = tabletest.NewServer()
	f.platform.SetGroups(groups)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.url = "http://" + l.Addr().String()
	f.done = append(f.done, f.platform.Serve(ctx, l))
	return nil
}

func groupMessage(g *endpointtest.Group, d deployment) *platformv1.Group {
	out := &platformv1.Group{Name: g.Name(), ConnectionLimit: uint32(d.maxConnections), Slots: uint32(d.slots)}
	for _, m := range g.Members() {
		out.Members = append(out.Members, &platformv1.Member{Endpoint: m.Name(), Address: m.Address()})
	}
	return out
}

// Contract returns the text of the preset's contract.
func (f *Fleet) Contract() string {
	text := fmt.Sprintf("customer = %q\n", f.deployment.customer)
	for _, name := range f.deployment.groups {
		text += fmt.Sprintf("[[database]]\nname = %q\ngroup = %q\n", name, name)
	}
	return text + f.cfg.ContractExtra
}

func (f *Fleet) applyContract(ctx context.Context) error {
	_, err := table.NewConfiguration(f.client("dev")).Accept(ctx, table.Change{
		Key:       "contract/" + f.deployment.customer,
		Text:      f.Contract(),
		RequestID: "dev",
		Author:    "dev",
		Now:       time.Now(),
	})
	return err
}

func (f *Fleet) client(name string) *table.Client {
	cfg := table.ClientConfig{URL: f.url}
	if f.cfg.PlatformClient != nil {
		cfg.HTTP = f.cfg.PlatformClient(name)
	}
	return table.NewClient(cfg)
}

// StartInstance starts instance number n, counted from 0, which must be the next new one or have ended.
func (f *Fleet) StartInstance(n int) error {
	cfg, err := f.instanceConfig(n)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	i, err := instance.New(ctx, cfg)
	if err != nil {
		stop()
		return err
	}
	r := &runningInstance{instance: i, stop: stop, exited: make(chan error, 1)}
	go func() { r.exited <- i.Run(ctx) }()
	if n < len(f.instances) {
		f.instances[n] = r
		return nil
	}
	f.instances = append(f.instances, r)
	return nil
}

func (f *Fleet) instanceConfig(n int) (instance.Config, error) {
	name := fmt.Sprintf("entry-%d", n+1)
	tokens, err := session.NewCodec(session.CodecConfig{Key: []byte(tokenKey)})
	if err != nil {
		return instance.Config{}, err
	}
	cfg := instance.Config{
		Name:          name,
		DataCentre:    f.deployment.dataCentres[n%len(f.deployment.dataCentres)],
		CallerAddress: address(f.cfg.CallerPort, n),
		Platform:      f.client(name),
		Tokens:        tokens,
		Lease:         f.cfg.Lease,
		Seats:         f.cfg.Seats,
		ProbeInterval: f.cfg.ProbeInterval,
		FreshBound:    f.cfg.FreshBound,
		Policy:        f.cfg.Policy,
		Logger:        f.cfg.Logger(name),
	}
	if lease, ok := f.cfg.LeaseOverrides[n]; ok {
		cfg.Lease = lease
	}
	if f.cfg.PeerClient != nil {
		cfg.PeerClient = f.cfg.PeerClient(name)
	}
	if f.cfg.NewScope != nil {
		cfg.Scope, cfg.Metrics = f.cfg.NewScope()
	}
	if cfg.PeerListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return cfg, err
	}
	cfg.OperatorListener, err = net.Listen("tcp", address(f.cfg.OperatorPort, n))
	return cfg, err
}

// address returns the loopback address with port+n, or with a free port if port is 0.
func address(port, n int) string {
	if port == 0 {
		return "127.0.0.1:0"
	}
	return fmt.Sprintf("127.0.0.1:%d", port+n)
}

// Instances returns the instances in order.
func (f *Fleet) Instances() []*instance.Instance {
	var out []*instance.Instance
	for _, r := range f.instances {
		out = append(out, r.instance)
	}
	return out
}

// StopInstance ends instance number n gracefully and returns its error.
func (f *Fleet) StopInstance(n int) error {
	f.instances[n].stop()
	return f.AwaitInstance(n)
}

// AwaitInstance waits for the end of instance number n and returns its error.
func (f *Fleet) AwaitInstance(n int) error {
	err := <-f.instances[n].exited
	f.instances[n].exited <- err
	return err
}

// Groups returns the fake database groups.
func (f *Fleet) Groups() []*endpointtest.Group { return f.groups }

// Platform returns the fake platform.
func (f *Fleet) Platform() *tabletest.Server { return f.platform }

// PlatformURL returns the URL of the fake platform, for instances in separate processes.
func (f *Fleet) PlatformURL() string { return f.url }

// Customer returns the customer's name.
func (f *Fleet) Customer() string { return f.deployment.customer }

// Database returns the name of the customer's first database.
func (f *Fleet) Database() string { return f.deployment.groups[0] }

// Wait waits until every instance has ended, stops the fakes and returns the first error.
func (f *Fleet) Wait() error {
	var first error
	for n := range f.instances {
		if err := f.AwaitInstance(n); err != nil && first == nil {
			first = err
		}
	}
	f.stop()
	for _, done := range f.done {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Stop stops the instances and the fakes, and returns the first error.
func (f *Fleet) Stop() error {
	for _, r := range f.instances {
		r.stop()
	}
	return f.Wait()
}
