package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	eventlog "github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
)

// FleetConfig describes a fleet whose instances start within StartSpread of each other and know only a few seeds.
type FleetConfig struct {
	Instances   int
	DataCentres int
	StartSpread time.Duration
	// Endpoints is the number of entries of endpoints, which every instance reads from the store at its start.
	Endpoints int
	// DocumentBytes is the length of the configuration that one instance reads from the store once the fleet has settled.
	DocumentBytes int
	Seed          uint64
}

// Sizes and times of a simulated fleet.
const (
	// fleetSeeds is the number of instances that every instance knows at its start.
	fleetSeeds = 3
	// endpointBytes is the length of an endpoint's entry.
	endpointBytes = 300
	// joinedShare is the share of the fleet that an instance must know to have joined it.
	joinedShare = 0.75
	// observationInterval is the interval at which the state of the fleet is observed.
	observationInterval = 20 * time.Millisecond
	// idleInterval is the interval of heartbeats while there is no change to spread.
	idleInterval = 750 * time.Millisecond
	// settleTime is the time for which a fleet runs after its start until it counts as settled.
	settleTime = 14 * time.Second
	// steadyTime is the time over which the traffic of a settled fleet is measured.
	steadyTime = 2 * time.Second
	// maxSpreadTime bounds the wait for a change to reach all instances.
	maxSpreadTime = 30 * time.Second
)

// DefaultFleet returns the configuration of a fleet with n instances in six data centres.
func DefaultFleet(n int) FleetConfig {
	return FleetConfig{Instances: n, DataCentres: 6, StartSpread: 300 * time.Millisecond, Endpoints: 60, DocumentBytes: 200_000, Seed: 1}
}

// FleetResult holds what a start and a change of the configuration cost a fleet.
type FleetResult struct {
	Instances int
	// JoinedAfter is the time from the first start until every instance knows joinedShare of the fleet, and KnownAfter until
	// every instance knows all of it; zero means not within settleTime.
	JoinedAfter time.Duration
	KnownAfter  time.Duration
	// Start is the traffic until the fleet has settled, Steady that of one second afterwards, and Change that of the change.
	Start  FleetTraffic
	Steady FleetTraffic
	Change FleetTraffic
	// ChangeAfter is the time until every instance has the changed configuration; zero means not within maxSpreadTime.
	ChangeAfter time.Duration
}

// StartBytesPerSecond returns the mean traffic of an instance, in bytes per second, from its start until the fleet has settled.
func (r FleetResult) StartBytesPerSecond() float64 {
	return float64(r.Start.Bytes) / float64(r.Instances) / settleTime.Seconds()
}

// fleetInstance is one instance and the time of its next round.
type fleetInstance struct {
	node   *peer.Node
	next   time.Time
	begun  bool
	serves http.Handler
}

// fleetRun is a fleet in virtual time.
type fleetRun struct {
	cfg       FleetConfig
	network   *fleetNetwork
	instances []*fleetInstance
	now       time.Time
	startedAt time.Time
}

// RunFleet starts a fleet of real peer nodes in virtual time, lets it settle, and changes its configuration.
func RunFleet(ctx context.Context, cfg FleetConfig) FleetResult {
	r := newFleetRun(cfg)
	result := FleetResult{Instances: cfg.Instances}
	for r.now.Sub(r.startedAt) < settleTime {
		r.runFor(ctx, observationInterval)
		fewest := r.fewestKnown()
		if result.JoinedAfter == 0 && float64(fewest) >= joinedShare*float64(cfg.Instances) {
			result.JoinedAfter = r.now.Sub(r.startedAt)
		}
		if result.KnownAfter == 0 && fewest >= cfg.Instances {
			result.KnownAfter = r.now.Sub(r.startedAt)
		}
	}
	result.Start = r.network.traffic()
	r.runFor(ctx, steadyTime)
	steady := r.network.traffic().Minus(result.Start)
	seconds := int(steadyTime.Seconds())
	result.Steady = FleetTraffic{Calls: steady.Calls / seconds, Bytes: steady.Bytes / seconds, BytesAcross: steady.BytesAcross / seconds}
	result.ChangeAfter, result.Change = r.change(ctx)
	return result
}

// newFleetRun returns a fleet none of whose instances has started.
func newFleetRun(cfg FleetConfig) *fleetRun {
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	r := &fleetRun{cfg: cfg, network: &fleetNetwork{hosts: map[string]*fleetHost{}}, startedAt: time.Unix(1_700_000_000, 0)}
	r.now = r.startedAt
	var seeds []string
	for k := range fleetSeeds {
		seeds = append(seeds, fleetAddress(k*cfg.Instances/fleetSeeds))
	}
	for k := range cfg.Instances {
		i := &fleetInstance{next: r.startedAt.Add(time.Duration(random.Int64N(int64(cfg.StartSpread))))}
		dataCentre := fmt.Sprintf("dc-%d", k%cfg.DataCentres)
		i.node = peer.NewNode(peer.Config{
			Self: membership.NewIdentity(membership.IdentityConfig{
				Incarnation: uint64(i.next.UnixNano()), Name: fmt.Sprintf("entry-%s-%d", dataCentre, k), PeerAddress: fleetAddress(k),
				DataCentre: dataCentre, Capacity: 192,
			}),
			Client:       &http.Client{Transport: &fleetTransport{network: r.network, dataCentre: dataCentre}},
			Seeds:        seeds,
			IdleInterval: idleInterval,
			Joined:       func() bool { return float64(len(i.node.Others())+1) >= joinedShare*float64(cfg.Instances) },
			Now:          func() time.Time { return r.now },
			Backend:      fleetBackend{},
			Events:       eventlog.NewLog(eventlog.LogConfig{}),
		})
		i.serves = i.node.Handler()
		r.instances = append(r.instances, i)
	}
	return r
}

func fleetAddress(k int) string { return fmt.Sprintf("10.%d.%d.%d:8782", k%6, k/250, k%250) }

// step runs the next round of the instance that is first in time.
func (r *fleetRun) step(ctx context.Context) {
	i := slices.MinFunc(r.instances, func(a, b *fleetInstance) int { return cmp.Compare(a.next.UnixNano(), b.next.UnixNano()) })
	r.now = i.next
	if !i.begun {
		i.begun = true
		r.begin(i)
	}
	i.next = r.now.Add(i.node.ExchangeRound(ctx))
}

// begin makes an instance reachable and gives it the entries of the endpoints, which it reads from the store.
func (r *fleetRun) begin(i *fleetInstance) {
	r.network.start(i.node.Self().PeerAddress(), i.node.Self().DataCentre(), i.serves)
	for k := range r.cfg.Endpoints {
		i.node.ApplyWithoutDelta(fleetItem(fmt.Sprintf("endpoint/%d", k), 1, endpointBytes))
	}
}

func fleetItem(key string, revision uint64, size int) peer.ConfigItem {
	var text strings.Builder
	for line := 0; text.Len() < size; line++ {
		fmt.Fprintf(&text, "{\"host\":\"db-%d\",\"service\":\"group-%d\",\"timeout_ms\":%d},", line, line%20, 900+line%7)
	}
	return membership.NewItem(key, membership.Revision(revision), membership.NewEntry(membership.EntryConfig{Text: text.String()[:size]}))
}

// runFor runs the fleet for d.
func (r *fleetRun) runFor(ctx context.Context, d time.Duration) {
	for until := r.now.Add(d); r.now.Before(until); {
		r.step(ctx)
	}
}

// fewestKnown returns the number of live instances that the instance which knows the fewest knows, itself included.
func (r *fleetRun) fewestKnown() int {
	fewest := len(r.instances)
	for _, i := range r.instances {
		fewest = min(fewest, len(i.node.Others())+1)
	}
	return fewest
}

// change gives one instance a changed configuration, and returns the time until all have it and the traffic until then.
func (r *fleetRun) change(ctx context.Context) (time.Duration, FleetTraffic) {
	before, changedAt := r.network.traffic(), r.now
	item := fleetItem("configuration", 2, r.cfg.DocumentBytes)
	r.instances[0].node.ApplyWithoutDelta(item)
	for r.now.Sub(changedAt) < maxSpreadTime {
		r.runFor(ctx, observationInterval)
		if r.allHold(item) {
			return r.now.Sub(changedAt), r.network.traffic().Minus(before)
		}
	}
	return 0, r.network.traffic().Minus(before)
}

func (r *fleetRun) allHold(item peer.ConfigItem) bool {
	for _, i := range r.instances {
		if held, ok := i.node.Item(item.Key()); !ok || held.Revision() != item.Revision() {
			return false
		}
	}
	return true
}
