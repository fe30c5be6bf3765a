package fleet

import (
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/store"
)

// Config describes an instance.
type Config[L Link[L]] struct {
	Name         string
	DataCentre   string
	PeerListener net.Listener
	Seeds        []string
	// TunnelAddress is where peers ask this instance to reach endpoints; all instances use its port.
	TunnelAddress string
	// ForwardPort is where homes take the callers that others pass on; it is the same on all instances.
	ForwardPort string
	// Capacity is this instance's share of the work, in thousandths of a core.
	Capacity uint32
	// TunnelPort is the port of TunnelAddress.
	TunnelPort string
	Store      store.Store
	Adapter    Adapter[L]
	Logger     log.Logger
	Scope      tally.Scope
}

// Timing of the watch over endpoints.
const (
	// lease is how long the primary may be used after it was confirmed: it bounds the wait of a promotion,
	// and must outlast a few probes that wait behind a full queue at the endpoint.
	lease = 1200 * time.Millisecond
	// probeInterval is how often a member is looked at for a probe that is due.
	probeInterval = 100 * time.Millisecond
	// renewEvery is the age at which the evidence of a lease is renewed: a few times a lease.
	renewEvery = 250 * time.Millisecond
	// idleEvery is the age at which a member is asked that no lease needs.
	idleEvery = time.Second
	// kickedAge is the least age of evidence that a waiting request has renewed.
	kickedAge = 100 * time.Millisecond
	// witnessEvery is how often the store is asked as a witness: a few times a lease.
	witnessEvery = 300 * time.Millisecond
	// relayEvery is how often an instance gets the evidence of the one that probes.
	relayEvery = 200 * time.Millisecond
	// relayFanout is the number of instances that get their evidence from the same one.
	relayFanout = 10
	// probeTimeout is longer than a full queue takes at an endpoint and shorter than the lease.
	probeTimeout = 700 * time.Millisecond
	// suspectAfter is how long a primary must be silent: longer than any probe may take.
	suspectAfter = 1100 * time.Millisecond
	// refusedAfter is how long it must refuse connections: longer than a process takes to listen again after a reset.
	refusedAfter = 250 * time.Millisecond
	// stagger keeps instances from claiming the same promotion at once.
	stagger = 300 * time.Millisecond
	// stepTimeout bounds each step of a promotion.
	stepTimeout = 300 * time.Millisecond
	// claimTimeout bounds the claim of the coordinator lease: a read and a write of a store that may be a hundred times slower
	// than usual.
	claimTimeout = 2 * time.Second
	// takeOverAfter is how long another promotion may go without a primary; one takes lease and the platform's time.
	takeOverAfter = lease + 2*time.Second
	// catchUp is how long a switchover waits for a replica.
	catchUp = time.Second
	// quarantine is how long a link still counts that its endpoint does not close: the shares leave room for a
	// few of these, while a place that is kept from requests during a partition costs them.
	quarantine = 200 * time.Millisecond
	// linkIdle is how long a link may go unused: longer than the pauses between bursts, and shorter than the time for
	// which an endpoint counts the links of a process that is gone.
	linkIdle = 2 * time.Second
	// promotionTime is how long a promotion takes from its order until all instances know: the platform's 600 ms and two probes.
	promotionTime = 800 * time.Millisecond
	// usualOutage is how long the loss of a primary lasts: to suspect it, to revoke leases, and to promote another.
	usualOutage = suspectAfter + stepTimeout + promotionTime
	// monitorTick is the interval at which a failover machine looks at the time.
	monitorTick = 50 * time.Millisecond
	// publishPause is the wait before a decision is written to the store again.
	publishPause = time.Second
)

// probing keeps the evidence of leases young on the instance that probes for the others.
var probing = route.Probing{Every: renewEvery, Idle: idleEvery, Kicked: kickedAge}

// peerTimeout bounds calls of peers, which take a few milliseconds: one that is gone must not hold up a round of heartbeats.
const peerTimeout = 500 * time.Millisecond

// Timing of the store.
const (
	// retryPause is the wait before the store is asked again after a failure.
	retryPause = 250 * time.Millisecond
	// maxRetryPause is the longest such wait: outages last for seconds, and each call has its price.
	maxRetryPause = time.Second
	// allReadStore is the largest fleet in which every instance follows the store.
	allReadStore = 16
	// idlePause is how often an instance looks whether it is to follow the store.
	idlePause = 200 * time.Millisecond
	// goneGrace is how long an endpoint that answers is kept without its entry: entries that lapse in an
	// outage of the store are back within two seconds of its end.
	removalGrace = 2500 * time.Millisecond
	// coordinatorLeaseDuration is how long the coordinator lease lasts without renewal.
	coordinatorLeaseDuration = 5 * time.Second
	// coordinatorLeaseMargin is how much earlier the holder ends its lease, to allow for an order in transit.
	coordinatorLeaseMargin = 1500 * time.Millisecond
	// claimTries is how often a claim meets another writer before it is given up.
	claimTries = 3
)

// missedAfter is how long an instance that does not answer still counts among those that must agree: longer
// than a restart or a partition usually lasts, so that no part of a split fleet takes itself for the whole.
const missedAfter = 30 * time.Second

// reservedInstances is the number of instances that may join before shares of connections are cut again.
const reservedInstances = 2
