package caller_test

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/monsoontiller/monsoontiller/caller"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/session"
)

const (
	customer = "baird-lennox"
	database = "candidates-1"
)

const contractText = `customer = "baird-lennox"
drain_timeout = "5s"
[[database]]
name = "candidates-1"
group = "candidates-1"
`

// directory is a caller.Directory with one database, which may move to another group.
type directory struct {
	mu      sync.Mutex
	binding caller.Binding
}

func (d *directory) Find(c, db string) (caller.Binding, error) {
	if c != customer || db != database {
		return caller.Binding{}, fault.New(fault.Config{Kind: fault.KindNotFound, Message: "no such database", Remedy: "check the contract"})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.binding, nil
}

// bind moves the database to another binding.
func (d *directory) bind(b caller.Binding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.binding = b
}

// recorder keeps the results of requests.
type recorder struct {
	mu      sync.Mutex
	results []caller.Result
}

func (r *recorder) Record(result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

func (r *recorder) last() caller.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results[len(r.results)-1]
}

// proxy is one instance under test.
type proxy struct {
	server    *caller.Server
	group     *engine.Group[*endpoint.Conn]
	directory *directory
	recorder  *recorder
	stop      context.CancelFunc
	ended     chan error
}

// options configure the group and the proxy of a test.
type options struct {
	lag      time.Duration
	limit    int
	contract string
	// group is the name of the database group; the default is that of the contract.
	group string
	delay time.Duration
	tls   *tls.Config
}

func startGroup(t *testing.T, o options) *endpointtest.Group {
	t.Helper()
	g := endpointtest.NewGroup(endpointtest.GroupConfig{Name: cmp.Or(o.group, "candidates-1"), Lag: o.lag, ConnectDelay: o.delay})
	ctx, cancel := context.WithCancel(context.Background())
	done, err := g.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

func startProxy(t *testing.T, number uint16, group *endpointtest.Group, o options) *proxy {
	t.Helper()
	if o.contract == "" {
		o.contract = contractText
	}
	if o.limit == 0 {
		o.limit = 4
	}
	g := startMonitoring(t, number, group, o)
	directory := &directory{binding: newBinding(t, g, o)}
	tokens, err := session.NewCodec(session.CodecConfig{Key: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	rec := &recorder{}
	s, err := caller.NewServer(caller.Config{
		Address:    "127.0.0.1:0",
		SeatNumber: number,
		Directory:  directory,
		Recorder:   rec,
		Tokens:     tokens,
		TLS:        o.tls,
		RequireTLS: o.tls != nil,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &proxy{server: s, group: g, directory: directory, recorder: rec, stop: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- s.Run(ctx, directory.binding.Contract().DrainTimeout) }()
	t.Cleanup(func() {
		cancel()
		<-p.ended
	})
	return p
}

// newBinding returns the binding of the database to a group.
func newBinding(t *testing.T, g *engine.Group[*endpoint.Conn], o options) caller.Binding {
	t.Helper()
	c, err := contract.Parse([]byte(o.contract))
	if err != nil {
		t.Fatal(err)
	}
	d, _ := c.Database(database)
	return caller.NewBinding(caller.BindingConfig{Contract: c, Database: d, Group: g, CustomerState: caller.NewCustomerState(c.Retries())})
}

// startMonitoring monitors a group until the test ends.
func startMonitoring(t *testing.T, number uint16, group *endpointtest.Group, o options) *engine.Group[*endpoint.Conn] {
	t.Helper()
	var members []engine.Address
	for _, m := range group.Members() {
		members = append(members, engine.Address{Endpoint: m.Name(), Address: m.Address()})
	}
	g := engine.NewGroup(engine.GroupConfig[*endpoint.Conn]{
		Name:          group.Name(),
		Members:       members,
		ProbeInterval: 50 * time.Millisecond,
		ProbeTimeout:  200 * time.Millisecond,
		Lease:         800 * time.Millisecond,
		Limit:         o.limit,
		Dial: func(ctx context.Context, m engine.Address, db string) (*endpoint.Conn, error) {
			return endpoint.Dial(ctx, endpoint.DialConfig{
				Address: m.Address, User: "monsoontiller", Database: db,
				Application: fmt.Sprintf("instance-%d", number), Timeout: time.Second,
			})
		},
	})
	groupCtx, stopGroup := context.WithCancel(context.Background())
	groupEnd := make(chan error, 1)
	go func() { groupEnd <- g.Run(groupCtx) }()
	t.Cleanup(func() {
		stopGroup()
		<-groupEnd
	})
	return g
}

func (p *proxy) url() string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", customer, p.server.Address(), database)
}

func connect(t *testing.T, p *proxy, extra string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(context.Background(), p.url()+extra)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func value(t *testing.T, c *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	var v string
	err := c.QueryRow(context.Background(), sql, args...).Scan(&v)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}

func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// waitUntil polls a condition for at most ten seconds.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not hold within 10s")
		}
		<-tick.C
	}
}
