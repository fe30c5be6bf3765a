package experiment

import (
	"sort"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

const (
	primaryName   = "primary"
	probeInterval = 100 * time.Millisecond
)

var replicaNames = [replicas]string{"replica-1", "replica-2"}

// Result holds the measurements of one policy on one load.
type Result struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Reads  int    `json:"reads"`
	// OnReplica counts the reads that a replica answered, Possible those that a
	// replica could have answered if the router knew all positions.
	OnReplica int `json:"on_replica"`
	Possible  int `json:"possible"`
	// Misses counts attempts on a replica after which Verify rejected the answer and the read was routed again.
	Misses int `json:"misses"`
	// Stale counts answers that violated read-your-writes or the read's maximum staleness.
	Stale int `json:"stale"`
	// MeanWait is the mean over all reads of the time that they waited before they were sent to a replica.
	MeanWait time.Duration `json:"mean_wait_ns"`
}

// ReplicaShare returns the share of reads that replicas answered.
func (r Result) ReplicaShare() float64 { return float64(r.OnReplica) / float64(max(1, r.Reads)) }

// ShareOfPossible returns the ratio of the reads that replicas answered to those that they could have answered.
//
// Without Verify, stale answers can raise it above 1.
func (r Result) ShareOfPossible() float64 { return float64(r.OnReplica) / float64(max(1, r.Possible)) }

// Variant is a routing policy with the settings under which it is compared.
type Variant struct {
	Name   string
	Policy route.Policy
	// Verify enables the check of the replica's position, after which a rejected read is routed again.
	Verify bool
	// NoWait sets the wait budget to 0.
	NoWait bool
}

// Variants returns the policies to compare.
func Variants() []Variant {
	return []Variant{
		{Name: "primary only", Policy: route.PrimaryOnly{}},
		{Name: "round robin, fixed wait", Policy: &route.FixedWait{Wait: 25 * time.Millisecond}},
		{Name: "floor, no wait", Policy: route.EarliestReplica{}, Verify: true, NoWait: true},
		{Name: "floor, predicted", Policy: route.EarliestReplica{}, Verify: true},
	}
}

// Run generates a load and simulates it under one policy.
func Run(cfg LoadConfig, variant Variant) Result {
	l := newLoad(cfg)
	s := &simulation{
		load:       l,
		variant:    variant,
		tracker:    route.NewTracker(route.TrackerConfig{Group: cfg.Name, Endpoints: []string{primaryName, replicaNames[0], replicaNames[1]}}),
		floors:     make([]floor, cfg.Sessions),
		lastWrites: make([]group.Position, cfg.Sessions),
		result:     Result{Load: cfg.Name, Policy: variant.Name},
		nextProbe:  l.start,
	}
	for _, q := range l.requests {
		s.probeUntil(q.at)
		s.handle(q)
	}
	if s.result.Reads > 0 {
		s.result.MeanWait = s.totalWait / time.Duration(s.result.Reads)
	}
	return s.result
}

// floor is the lowest point that a session's reads must see, with the time at which the primary is known to have it.
type floor struct {
	point group.Point
	at    time.Time
}

// observation is the status of a member that the router receives at receivedAt.
type observation struct {
	receivedAt time.Time
	sentAt     time.Time
	status     group.Status
}

// simulation runs the requests of a load under one policy and supplies its tracker with member statuses.
type simulation struct {
	load    *load
	variant Variant
	tracker *route.Tracker
	floors  []floor
	// lastWrites holds the position of each session's last write, the floor that read-your-writes requires.
	lastWrites []group.Position
	result     Result
	totalWait  time.Duration
	nextProbe  time.Time
	inFlight   []observation
}

// probeUntil sends the probes that are due by now and passes the answers received by now to the tracker.
func (s *simulation) probeUntil(now time.Time) {
	for !s.nextProbe.After(now) {
		s.probe(s.nextProbe, primaryName)
		for _, name := range replicaNames {
			s.probe(s.nextProbe, name)
		}
		s.nextProbe = s.nextProbe.Add(probeInterval)
	}
	sort.SliceStable(s.inFlight, func(i, j int) bool { return s.inFlight[i].receivedAt.Before(s.inFlight[j].receivedAt) })
	for len(s.inFlight) > 0 && !s.inFlight[0].receivedAt.After(now) {
		o := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.tracker.Observe(o.sentAt, o.receivedAt, o.status)
	}
}

// probe sends a status request at sentAt; the router receives the answer two one-way delays later.
func (s *simulation) probe(sentAt time.Time, name string) {
	status := s.status(name, sentAt.Add(oneWayDelay))
	s.inFlight = append(s.inFlight, observation{receivedAt: sentAt.Add(2 * oneWayDelay), sentAt: sentAt, status: status})
}

// status returns the status of a member at a time.
func (s *simulation) status(name string, at time.Time) group.Status {
	role := group.RoleReplica
	position := s.load.primaryPosition(at)
	if name == primaryName {
		role = group.RolePrimary
	}
	for i, replica := range replicaNames {
		if name == replica {
			position = s.load.replicaPosition(i, at)
		}
	}
	return group.NewStatus(group.StatusConfig{
		Endpoint: name,
		Role:     role,
		Point:    group.NewPoint(1, position),
		History:  group.NewHistory(group.NewTermStart(1, 0)),
	})
}

// handle processes one request: it updates the session's floor or routes a read.
//
// A session that reconnects without a token gets the primary's current position as
// its floor, which may be higher than its own last write.
func (s *simulation) handle(q request) {
	if q.reconnects || q.write {
		s.floors[q.session] = floor{point: group.NewPoint(1, s.load.primaryPosition(q.at.Add(oneWayDelay))), at: q.at}
		s.probe(q.at, primaryName)
	}
	if q.write {
		s.lastWrites[q.session] = s.floors[q.session].point.Position()
		return
	}
	f := s.floors[q.session]
	if f.point.IsZero() {
		f = floor{point: group.NewPoint(1, 0), at: s.load.start}
	}
	r := route.Request{Class: route.ClassRead, Floor: f.point, FloorAt: f.at, WaitBudget: s.load.cfg.WaitBudget}
	if q.stale {
		r.MaxStaleness = s.load.cfg.MaxStaleness
	}
	if s.variant.NoWait {
		r.WaitBudget = 0
	}
	s.result.Reads++
	required := r
	required.Floor = group.NewPoint(1, s.lastWrites[q.session])
	if s.satisfiable(q.at, required, s.load.cfg.WaitBudget) {
		s.result.Possible++
	}
	s.read(q.at, r, required)
}

// satisfiable reports whether a replica satisfies the read if it is sent when the wait budget is used up.
func (s *simulation) satisfiable(at time.Time, r route.Request, budget time.Duration) bool {
	for i := range replicaNames {
		if s.satisfies(i, at.Add(budget+oneWayDelay), r) {
			return true
		}
	}
	return false
}

// satisfies reports whether a replica at a time has reached the read's floor and is at most MaxStaleness old.
func (s *simulation) satisfies(replica int, at time.Time, r route.Request) bool {
	position := s.load.replicaPosition(replica, at)
	if position < r.Floor.Position() {
		return false
	}
	return r.MaxStaleness == 0 || position >= s.load.primaryPosition(at.Add(-r.MaxStaleness))
}

// read routes one read, and routes it again after a miss, as the proxy does.
//
// An answer counts as stale if it does not satisfy required, the read with the floor
// that read-your-writes requires; the floor of r may be higher.
func (s *simulation) read(at time.Time, r, required route.Request) {
	for {
		s.probeUntil(at)
		d := s.variant.Policy.Decide(at, s.tracker, r)
		if d.Target() != route.TargetReplica {
			return
		}
		s.totalWait += d.Wait()
		sentAt := at.Add(d.Wait())
		replica := 0
		if d.Endpoint() == replicaNames[1] {
			replica = 1
		}
		satisfied := s.satisfies(replica, sentAt.Add(oneWayDelay), required)
		if !s.variant.Verify {
			s.result.OnReplica++
			if !satisfied {
				s.result.Stale++
			}
			return
		}
		answeredAt := sentAt.Add(2 * oneWayDelay)
		s.probeUntil(answeredAt)
		if s.tracker.Verify(sentAt, answeredAt, s.status(d.Endpoint(), sentAt.Add(oneWayDelay)), r) == route.VerdictServe {
			s.result.OnReplica++
			if !satisfied {
				s.result.Stale++
			}
			return
		}
		s.result.Misses++
		r.WaitBudget -= answeredAt.Sub(at)
		at = answeredAt
	}
}
