package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Figures of a small deployment, as the users' sheet of the first one gives them.
const (
	serviceName    = "records"
	connections    = 34
	memberCount    = 3
	grace          = 6 * time.Second
	requestTimeout = time.Second
	targetLatency  = 200 * time.Millisecond
	maxStaleness   = 2500 * time.Millisecond
	txIdle         = 5 * time.Second
)

// Databases of the operator's first desired state.
const (
	primaryDatabase = "bookings"
	sessionDatabase = "sponsors"
)

// world holds the stand-ins and the instances of one case.
type world struct {
	record  *record
	trouble bool
	// directory holds the settings and the logs of the instances.
	directory string
	store     *platformtest.StoreServer
	group     *platformtest.Group
	operator  *platformtest.Operator
	instances []*instance
	// servingCtx ends when the stand-ins are to end.
	servingCtx context.Context
	cancel     context.CancelFunc
	serving    sync.WaitGroup
	mu         sync.Mutex
	// runs are the statements that members have run or refused.
	runs []platformtest.Execution
	// prepare, if set, is called once the members exist, and proxies are the proxies before them.
	prepare func() error
	proxies []*darkProxy
	// promoter, if set, wraps the call that promotes a member.
	promoter func(next http.Handler) http.Handler
	// quietRuns leaves the statements out of the record.
	quietRuns atomic.Bool
	// ownRoutes reports that the case writes the desired states.
	ownRoutes bool
}

// start starts the stand-ins and the first instances of a fleet of n, and waits until they are ready.
func (w *world) start(ctx context.Context, n, first int) error {
	var err error
	if w.directory, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	servingCtx, cancel := context.WithCancel(ctx)
	w.servingCtx, w.cancel = servingCtx, cancel
	if w.store, err = platformtest.NewStoreServer(); err != nil {
		return err
	}
	if w.group, err = platformtest.NewGroup(serviceName, memberCount); err != nil {
		return err
	}
	w.group.SetConnectionLimit(connections)
	w.group.SetTimes(600*time.Millisecond, time.Second)
	w.group.SetLag(60 * time.Millisecond)
	w.group.Observe(w.recordRun)
	promoter, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.serve(func() error { return w.store.Run(servingCtx) })
	w.serve(func() error { return w.group.Run(servingCtx) })
	w.serve(func() error { return servePromotions(servingCtx, promoter, w.promotions()) })
	if w.prepare != nil {
		if err := w.prepare(); err != nil {
			return err
		}
	}
	for _, m := range w.group.Members() {
		w.writeEntry(m, platformtest.StateReady)
	}
	if !w.ownRoutes {
		w.writeConfiguration()
	}
	if err := w.startInstances(ctx, n, first, promoter.Addr().String()); err != nil {
		return err
	}
	return w.awaitReady(ctx, w.instances[:first])
}

// writeConfiguration writes the first desired state.
func (w *world) writeConfiguration() {
	w.operator = platformtest.NewOperator(platformtest.OperatorConfig{
		Configuration: platformtest.Configuration{
			Group: serviceName, Connections: connections, Timeout: requestTimeout, TargetLatency: targetLatency,
			MaxStaleness: maxStaleness, TransactionIdle: txIdle,
			Databases: []platformtest.Database{
				{Name: primaryDatabase, Kind: platformtest.KindPrimary}, {Name: sessionDatabase, Kind: platformtest.KindSession},
			},
		},
		Write: func(c platformtest.Configuration) {
			w.store.Rows.Put(platform.TableConfiguration, platform.KeyConfiguration, c.Text())
		},
	})
	w.operator.Update(func(*platformtest.Configuration) {})
}

// serve runs a stand-in until the case ends.
func (w *world) serve(run func() error) {
	w.serving.Add(1)
	go func() {
		defer w.serving.Done()
		if err := run(); err != nil {
			w.record.line("a stand-in ended: %v", err)
		}
	}()
}

// promotions returns the handler of the platform's call that promotes a member.
func (w *world) promotions() http.Handler {
	if w.promoter != nil {
		return w.promoter(w.group.Promoter())
	}
	return w.group.Promoter()
}

// servePromotions serves the platform's call that promotes a member.
func servePromotions(ctx context.Context, l net.Listener, promotions http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("POST /promote", promotions)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// writeEntry writes the store's entry of a member.
func (w *world) writeEntry(m *platformtest.Member, state string) {
	w.store.Rows.Put(platform.TableEndpoints, m.ID, m.Entry("z"+m.ID[len(m.ID)-1:], state))
}

func (w *world) recordRun(e platformtest.Execution) {
	w.mu.Lock()
	w.runs = append(w.runs, e)
	w.mu.Unlock()
	if w.quietRuns.Load() {
		return
	}
	w.record.line("member %s got %s %q, answered %q", e.Member, e.ID, shorten(e.Text), e.Answer)
}

// executions returns the statements that members have run or refused so far.
func (w *world) executions() []platformtest.Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]platformtest.Execution(nil), w.runs...)
}

func shorten(text string) string {
	if len(text) <= 120 {
		return text
	}
	return text[:60] + "..." + text[len(text)-60:]
}

// ports are the ports of all instances, which differ in their loopback address.
type ports struct{ callers, readiness, control, first int }

const (
	// metricsPort is the port in the command of the deploy file.
	metricsPort = 9464
	portRange   = 4
)

// startInstances prepares n instances on a network of the loopback on which their ports are free, and starts the first ones.
func (w *world) startInstances(ctx context.Context, n, first int, promoter string) error {
	for range 20 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + 16*rand.IntN(700)
		p := ports{callers: base, readiness: base + 1, control: base + 2, first: base + 3}
		if !w.free(network, n, p) {
			continue
		}
		for i := range n {
			if err := w.addInstance(i, n, network, p, promoter); err != nil {
				return err
			}
		}
		for _, i := range w.instances[:first] {
			if err := i.start(ctx); err != nil {
				return err
			}
		}
		return nil
	}
	return errors.New("no free ports")
}

func (w *world) free(network string, n int, p ports) bool {
	for i := range n {
		for _, port := range []int{p.callers, p.readiness, p.control, p.first, p.first + 1, p.first + 2, p.first + 3, metricsPort} {
			l, err := net.Listen("tcp", address(host(network, i), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func host(network string, i int) string { return fmt.Sprintf("%s.%d", network, 10+i) }

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

func (w *world) addInstance(i, n int, network string, p ports, promoter string) error {
	h := host(network, i)
	var seeds []string
	for k := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", address(host(network, k), p.control)))
	}
	text := fmt.Sprintf(`NodeName = "frontend-%d"
Role = "proxy"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
Ip = %q
Zone = "z%d"
Region = "r"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entrypoint = "vip"
HeartbeatMs = 1200
[BindAddrs]
Frontend = %q
Readiness = %q
Control = %q
[Limits]
CpuQuota = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4200
BandwidthMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 4000
AckTimeoutMs = 5000
DrainTimeoutMs = 7000
GraceS = %g
LossSlackMs = 200
ConfigApplyMs = 3000
FencingRequired = false
[platform]
Address = %q
form = "table"
WritesPerS = 400
ReadsPerS = 2000
[CloudApi]
Address = %q
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
`, i, h, i%memberCount, p.first, p.first+portRange-1, strings.Join(seeds, ","), address(h, p.callers), address(h, p.readiness),
		address(h, p.control), grace.Seconds(), w.store.Address(), promoter)
	path := filepath.Join(w.directory, fmt.Sprintf("frontend-%d.toml", i))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	w.instances = append(w.instances, &instance{
		name: fmt.Sprintf("frontend-%d", i), settings: path, log: strings.TrimSuffix(path, ".toml") + ".log", record: w.record,
		callers: address(h, p.callers), readiness: address(h, p.readiness),
	})
	return nil
}

// awaitReady waits until the instances are ready.
func (w *world) awaitReady(ctx context.Context, instances []*instance) error {
	for _, i := range instances {
		for until := time.Now().Add(15 * time.Second); !i.ready(ctx); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", i.name)
			}
		}
	}
	w.record.line("%d instances are ready", len(instances))
	return nil
}

// stop ends all instances and stand-ins, and removes the temporary folder.
func (w *world) stop() error {
	for _, i := range w.instances {
		i.kill()
	}
	for _, p := range w.proxies {
		p.close()
	}
	if w.cancel != nil {
		w.cancel()
	}
	w.serving.Wait()
	if w.directory == "" {
		return nil
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, w.directory)
		return nil
	}
	return os.RemoveAll(w.directory)
}
