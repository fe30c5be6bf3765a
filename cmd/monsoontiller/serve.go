package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	registry "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/monsoontiller/monsoontiller/instance"
	"github.com/monsoontiller/monsoontiller/logbuffer"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/session"
	"github.com/monsoontiller/monsoontiller/settings"
	"github.com/monsoontiller/monsoontiller/table"
	"github.com/monsoontiller/monsoontiller/transport"
)

// serveCommand runs one instance until SIGTERM or an order to leave.
type serveCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"TOML settings of the instance"`
}

// Execute runs the command.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	output, closeLog := openLog(tally.NoopScope)
	defer closeLog()
	cfg, err := instanceConfig(s, newLogger(output, s.Instance()))
	if err != nil {
		return err
	}
	i, err := instance.New(ctx, cfg)
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// newLogger returns a logger that adds the time and the name of an instance to each line.
func newLogger(l log.Logger, name string) log.Logger {
	return log.With(l, "ts", log.DefaultTimestampUTC, "instance", name)
}

// openLog opens the log on the standard output, which never waits for its reader; closeLog writes what is buffered.
func openLog(scope tally.Scope) (l log.Logger, closeLog func()) {
	buffered := logbuffer.New(logbuffer.Config{
		Writer: os.Stdout,
		Dropped: func(class string, lines int) {
			scope.Tagged(map[string]string{"class": class}).Counter("log_lines_dropped_total").Inc(int64(lines))
		},
	})
	return buffered, func() {
		if err := buffered.Close(logFlushTimeout); err != nil {
			fmt.Fprintln(os.Stderr, "monsoontiller: the log cannot be written:", err)
		}
	}
}

// logFlushTimeout bounds the wait for the reader of the log at the end of the process.
const logFlushTimeout = 300 * time.Millisecond

// metricsInterval is the interval at which counters are published on the metrics page.
const metricsInterval = time.Second

func newScope() (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry.NewRegistry()})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "monsoontiller",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler()
}

// instanceConfig opens the listeners and reads the certificates that the settings name.
func instanceConfig(s *settings.Settings, logger log.Logger) (instance.Config, error) {
	cfg := instance.Config{
		Name:             s.Instance(),
		DataCentre:       s.DataCentre(),
		CallerAddress:    s.CallerAddress(),
		Platform:         table.NewClient(table.ClientConfig{URL: s.PlatformURL()}),
		Seeds:            s.Peers(),
		Seats:            s.InstanceLimit(),
		Lease:            s.Lease(),
		ProbeInterval:    s.ProbeInterval(),
		Logger:           logger,
		RequireCallerTLS: s.TLS().RequireCaller,
	}
	var err error
	if cfg.Tokens, err = session.NewCodec(session.CodecConfig{Key: []byte(s.TokenKey())}); err != nil {
		return cfg, err
	}
	if cfg.CallerTLS, err = s.TLS().CallerTLS(); err != nil {
		return cfg, err
	}
	if cfg.EndpointTLS, err = s.TLS().EndpointTLS(); err != nil {
		return cfg, err
	}
	server, client, err := s.TLS().PeerTLS()
	if err != nil {
		return cfg, err
	}
	cfg.PeerServerTLS = server
	cfg.OperatorTLS = server
	cfg.PeerClient = peer.NewClient(client)
	if cfg.PeerListener, err = transport.Listen(s.PeerAddress()); err != nil {
		return cfg, err
	}
	if cfg.OperatorListener, err = transport.Listen(s.OperatorAddress()); err != nil {
		return cfg, err
	}
	cfg.Scope, cfg.Metrics = newScope()
	return cfg, nil
}
