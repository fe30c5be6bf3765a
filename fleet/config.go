package fleet

import (
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/quota"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/store"
)

// Config describes an instance.
type Config[L Link[L]] struct {
	Name         string
	DataCentre   string
	PeerListener net.Listener
	Seeds        []string
	// TunnelAddress is where peers open tunnels to endpoints through this instance; all instances use its port.
	TunnelAddress string
	// ForwardPort is the port on which homes accept callers that other instances forward; it is the same on all instances.
	ForwardPort string
	// Capacity is the instance's CPU share in thousandths of a core; the number of groups of which the instance is a home is
	// proportional to it.
	Capacity uint32
	// FirstStart reports that the whole fleet starts for the first time, so that no instance can be registered from before.
	FirstStart bool
	// KeyBound is the age from which the proof that this instance knows the newest keys is too old to serve callers with keys;
	// 0 means that no proof is needed.
	KeyBound time.Duration
	// QuotaTolerance is the tolerance of the quotas of client accounts.
	QuotaTolerance quota.Tolerance
	// TunnelPort is the port of TunnelAddress.
	TunnelPort string
	// Listen listens on TunnelAddress; the default is transport.Listen.
	Listen  func(address string) (net.Listener, error)
	Store   store.Store
	Adapter Adapter[L]
	Logger  log.Logger
	Scope   tally.Scope
	// Pace limits the requests at an endpoint that has started, come back or become primary, as its answers allow.
	Pace bool
}

// Timing of probes, leases and promotions.
const (
	// leaseDuration is how long the primary may be used after it was confirmed: it bounds the wait of a promotion,
	// and must outlast a few probes that wait behind a full queue at the endpoint.
	leaseDuration = 1200 * time.Millisecond
	// probeInterval is how often each member is checked for a probe that is due.
	probeInterval = 100 * time.Millisecond
	// renewInterval is the age at which the evidence of a lease is renewed: a few times per lease.
	renewInterval = 250 * time.Millisecond
	// idleProbeInterval is the age of a member's status at which it is probed though no lease needs it.
	idleProbeInterval = time.Second
	// minTriggeredAge is the least age of evidence at which a waiting request triggers a probe.
	minTriggeredAge = 100 * time.Millisecond
	// witnessInterval is the least interval between queries of the store as a witness: a few times per lease.
	witnessInterval = 300 * time.Millisecond
	// relayInterval is how often an instance fetches evidence from the probing instance or another source.
	relayInterval = 200 * time.Millisecond
	// relayFanout is the number of instances that fetch their evidence from the same source.
	relayFanout = 10
	// probeTimeout is longer than an endpoint takes to serve a full queue, and shorter than the lease.
	probeTimeout = 700 * time.Millisecond
	// suspectAfter is how long a primary must be silent before it is suspected: longer than any probe may take.
	suspectAfter = 1100 * time.Millisecond
	// refusedAfter is how long a primary must refuse connections before it is suspected: longer than a process takes to listen
	// again after a reset.
	refusedAfter = 250 * time.Millisecond
	// stagger is the additional wait of each rank before a promotion, so that instances do not claim a promotion concurrently.
	stagger = 300 * time.Millisecond
	// viewInterval is the interval at which the other homes are asked for their views of a lost primary, which they confirm
	// up to relayInterval later than the instance that probes it.
	viewInterval = 100 * time.Millisecond
	// stepTimeout bounds each step of a promotion.
	stepTimeout = 300 * time.Millisecond
	// claimTimeout bounds the claim of the coordinator lease: a read and a write of a store that may be a hundred times slower
	// than usual.
	claimTimeout = 2 * time.Second
	// takeOverAfter is how long an attempt may last without a resulting primary before it counts as failed; a promotion
	// takes a lease and the platform's time.
	takeOverAfter = leaseDuration + 2*time.Second
	// catchUpTimeout is how long a switchover waits for a replica to catch up.
	catchUpTimeout = time.Second
	// quarantine is how long a closed link still counts if its endpoint does not confirm the close. The shares leave room for
	// a few such links, whereas during a partition each link that still counts takes a connection from requests.
	quarantine = 200 * time.Millisecond
	// linkIdleTimeout is how long a link may be unused: longer than the pauses between bursts, and shorter than the time for
	// which an endpoint counts the links of a process that has stopped.
	linkIdleTimeout = 2 * time.Second
	// accountLinkIdleTimeout is that time where links belong to client accounts: a small account sends some requests a minute
	// to each member, and a new link takes a slot of the endpoint for the time of a short request.
	accountLinkIdleTimeout = 20 * time.Second
	// promotionTime is the time from a promotion order until all instances know the new primary: the platform's 600 ms and
	// two probes.
	promotionTime = 800 * time.Millisecond
	// estimatedOutage is how long the loss of a primary lasts: to suspect it, to revoke leases, and to promote another member.
	estimatedOutage = suspectAfter + stepTimeout + promotionTime
	// monitorTick is the interval at which a failover machine checks its timeouts.
	monitorTick = 50 * time.Millisecond
	// publishPause is the wait before a decision that was not written to the store is written again.
	publishPause = time.Second
)

// probing keeps lease evidence fresh on the instance that probes for the others.
var probing = route.Probing{RenewalAge: renewInterval, MaxStatusAge: idleProbeInterval, TriggeredAge: minTriggeredAge}

// idleHeartbeatInterval is the interval of heartbeats while there is no change to spread: a few within the time after which
// a silent peer is declared dead.
const idleHeartbeatInterval = 750 * time.Millisecond

// peerTimeout bounds calls to peers, which take a few milliseconds: an unreachable peer must not delay a round of
// heartbeats.
const peerTimeout = 500 * time.Millisecond

// Timing of the store.
const (
	// retryPause is the wait before the store is queried again after a failure.
	retryPause = 250 * time.Millisecond
	// maxRetryPause is the longest such wait: outages last for seconds, and each call has a cost.
	maxRetryPause = time.Second
	// maxBackoffs bounds how often the wait is doubled.
	maxBackoffs = 4
	// maxFleetAllFollow is the largest fleet in which every instance follows the store.
	maxFleetAllFollow = 16
	// followWait is how long a call waits for the next change of a table.
	followWait = 20 * time.Second
	// followCheckInterval is how often an instance that does not follow the store checks whether it has to.
	followCheckInterval = 200 * time.Millisecond
	// removalGrace is how long an endpoint is kept after its entry disappears: entries that lapse in an outage of the
	// store return within two seconds of its end.
	removalGrace = 2500 * time.Millisecond
	// coordinatorLeaseDuration is how long the coordinator lease lasts without renewal.
	coordinatorLeaseDuration = 5 * time.Second
	// coordinatorLeaseMargin is how much earlier the holder ends its lease, to allow for an order in transit.
	coordinatorLeaseMargin = 1500 * time.Millisecond
	// claimTries is the number of tries of a claim when others write the row concurrently or the outcome is not known.
	claimTries = 3
)

// deadRetention is how long a dead instance still counts towards the majority that must agree: longer than a restart or a
// partition usually lasts, so that no part of a partitioned fleet acts as if it were the whole fleet.
const deadRetention = 30 * time.Second

// reservedInstances is the number of instances that may join before the shares of connections are reduced.
const reservedInstances = 2
