package instance

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/session"
	"github.com/monsoontiller/monsoontiller/table"
)

// Config describes an instance.
type Config struct {
	Name             string
	DataCentre       string
	CallerAddress    string
	PeerListener     net.Listener
	OperatorListener net.Listener
	Platform         *table.Client
	Seeds            []string
	Tokens           *session.Codec
	Seats            int
	Lease            time.Duration
	ProbeInterval    time.Duration
	FreshBound       time.Duration
	Policy           route.Policy
	Logger           log.Logger
	Scope            tally.Scope
	Metrics          http.Handler
	CallerTLS        *tls.Config
	RequireCallerTLS bool
	EndpointTLS      *tls.Config
	PeerServerTLS    *tls.Config
	PeerClient       *http.Client
	OperatorTLS      *tls.Config
}

// Timing of an instance.
const (
	DefaultSeats         = 9
	DefaultLease         = 500 * time.Millisecond
	DefaultProbeInterval = 100 * time.Millisecond
	DefaultFreshBound    = 5 * time.Second
	probeTimeout         = 200 * time.Millisecond
	dialTimeout          = time.Second
	pollInterval         = time.Second
	pollPerInstance      = 10 * time.Millisecond
	groupsInterval       = 5 * time.Second
	monitorTick          = 50 * time.Millisecond
	balanceInterval      = 200 * time.Millisecond
	claimPause           = 200 * time.Millisecond
	seatGrace            = 60 * time.Second
	acceptTimeout        = 4 * time.Second
	repayAfter           = 5 * time.Second
	borrowStep           = 1
)

func (c *Config) setDefaults() {
	if c.Seats == 0 {
		c.Seats = DefaultSeats
	}
	if c.Lease == 0 {
		c.Lease = DefaultLease
	}
	if c.ProbeInterval == 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
	if c.FreshBound == 0 {
		c.FreshBound = DefaultFreshBound
	}
	if c.Policy == nil {
		c.Policy = route.Floor{}
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.PeerClient == nil {
		c.PeerClient = peer.NewClient(nil)
	}
}
