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
	// Seeds are the peer addresses that are contacted while their instances are not known to be alive.
	Seeds  []string
	Tokens *session.Codec
	// Seats is the number of seats into which each endpoint's connection limit is divided, the same on all instances.
	Seats int
	// Lease is how long a primary may be used after it was confirmed, the same on all instances.
	Lease         time.Duration
	ProbeInterval time.Duration
	// FreshBound is the age up to which a proof that the configuration is current is valid.
	FreshBound time.Duration
	Policy     route.Policy
	Logger     log.Logger
	Scope      tally.Scope
	// Metrics serves the path /metrics, if set.
	Metrics          http.Handler
	CallerTLS        *tls.Config
	RequireCallerTLS bool
	EndpointTLS      *tls.Config
	PeerServerTLS    *tls.Config
	PeerClient       *http.Client
	OperatorTLS      *tls.Config
}

// Defaults and timing of an instance.
const (
	// DefaultSeats is the default of Config.Seats.
	DefaultSeats = 9
	// DefaultLease is the default of Config.Lease.
	DefaultLease = 500 * time.Millisecond
	// DefaultProbeInterval is the default of Config.ProbeInterval.
	DefaultProbeInterval = 100 * time.Millisecond
	// DefaultFreshBound is the default of Config.FreshBound.
	DefaultFreshBound = 5 * time.Second
	// probeTimeout bounds one probe of an endpoint.
	probeTimeout = 200 * time.Millisecond
	// dialTimeout bounds one dial of an endpoint.
	dialTimeout = time.Second
	// pollInterval is the minimum interval between polls of the table, and the pause before a failed publication of a new
	// primary is retried.
	pollInterval = time.Second
	// pollPerInstance, times the number of live instances, is also a minimum of the interval: all instances together poll
	// at most 100 times per second.
	pollPerInstance = 10 * time.Millisecond
	// listGroupsInterval is how often the platform's groups are listed.
	listGroupsInterval = 5 * time.Second
	// monitorTick is the interval at which a failover machine checks its timeouts.
	monitorTick = 50 * time.Millisecond
	// balanceInterval is how often connections are borrowed or returned.
	balanceInterval = 200 * time.Millisecond
	// retryPause is the wait before a failed claim of a seat or a failed list of the groups is tried again.
	retryPause = 200 * time.Millisecond
	// seatGrace is how long an instance must have been dead, or have left, before another instance frees its seat.
	seatGrace = 60 * time.Second
	// acceptTimeout bounds one change of the configuration.
	acceptTimeout = 4 * time.Second
	// idleBeforeRepay is how long connections to an endpoint must be idle before a loan is returned.
	idleBeforeRepay = 5 * time.Second
	// borrowStep is the number of connections that one call borrows.
	borrowStep = 1
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
		c.Policy = route.EarliestReplica{}
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
