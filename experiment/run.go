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

// Result is what one policy achieved on one load.
type Result struct {
	Load   string `json:"load"`
	Policy string `json:"policy"`
	Reads  int    `json:"reads"`
	// OnReplica counts the reads that a replica answered, Possible those that it could have with perfect knowledge.
	OnReplica int `json:"on_replica"`
	Possible  int `json:"possible"`
	// Misses counts replica attempts that were answered elsewhere in the end.
	Misses int `json:"misses"`
	// Stale counts answers that broke read-your-writes or the age asked for.
	Stale int `json:"stale"`
	// MeanWait is the mean wait of all reads before they were sent.
	MeanWait time.Duration `json:"mean_wait_ns"`
}

// Share returns the share of reads that replicas answered.
func (r Result) Share() float64 { return float64(r.OnReplica) / float64(max(1, r.Reads)) }

// OfPossible returns the share of the possible replica reads.
func (r Result) OfPossible() float64 { return float64(r.OnReplica) / float64(max(1, r.Possible)) }

// Contender is a policy with the way its decisions are carried out.
type Contender struct {
	Name   string
	Policy route.Policy
	// Verify makes the reader check the replica's position and fall back to the primary.
	Verify bool
	// NoWait takes away the wait budget.
	NoWait bool
}

// Contenders returns the policies that are compared.
func Contenders() []Contender {
	return []Contender{
		{Name: "primary only", Policy: route.PrimaryOnly{}},
		{Name: "round robin, fixed wait", Policy: &route.FixedWait{Wait: 25 * time.Millisecond}},
		{Name: "floor, no wait", Policy: route.Floor{}, Verify: true, NoWait: true},
		{Name: "floor, predicted", Policy: route.Floor{}, Verify: true},
	}
}

// Run plays a load against a contender.
func Run(cfg LoadConfig, c Contender) Result {
	l := newLoad(cfg)
	p := &player{
		load:      l,
		contender: c,
		tracker:   route.NewTracker(route.TrackerConfig{Group: cfg.Name, Endpoints: []string{primaryName, replicaNames[0], replicaNames[1]}}),
		floors:    make([]floor, cfg.Sessions),
		own:       make([]group.Position, cfg.Sessions),
		result:    Result{Load: cfg.Name, Policy: c.Name},
		nextProbe: l.start,
	}
	for _, q := range l.requests {
		p.probeUntil(q.at)
		p.play(q)
	}
	if p.result.Reads > 0 {
		p.result.MeanWait = p.waited / time.Duration(p.result.Reads)
	}
	return p.result
}

// floor is what a session must see, and since when the primary has it.
type floor struct {
	point group.Point
	at    time.Time
}

// observation is a status on its way to the router.
type observation struct {
	at     time.Time
	sentAt time.Time
	status group.Status
}

// player feeds a tracker and asks a policy.
type player struct {
	load      *load
	contender Contender
	tracker   *route.Tracker
	floors    []floor
	// own holds each session's last write, which a router with perfect knowledge would know of.
	own       []group.Position
	result    Result
	waited    time.Duration
	nextProbe time.Time
	arriving  []observation
}

func (p *player) probeUntil(now time.Time) {
	for !p.nextProbe.After(now) {
		p.ask(p.nextProbe, primaryName)
		for _, name := range replicaNames {
			p.ask(p.nextProbe, name)
		}
		p.nextProbe = p.nextProbe.Add(probeInterval)
	}
	sort.SliceStable(p.arriving, func(i, j int) bool { return p.arriving[i].at.Before(p.arriving[j].at) })
	for len(p.arriving) > 0 && !p.arriving[0].at.After(now) {
		o := p.arriving[0]
		p.arriving = p.arriving[1:]
		p.tracker.Observe(o.sentAt, o.at, o.status)
	}
}

// ask sends a status request at a time; the answer reaches the router two hops later.
func (p *player) ask(sentAt time.Time, name string) {
	s := p.status(name, sentAt.Add(hop))
	p.arriving = append(p.arriving, observation{at: sentAt.Add(2 * hop), sentAt: sentAt, status: s})
}

func (p *player) status(name string, at time.Time) group.Status {
	role := group.RoleReplica
	position := p.load.primary(at)
	if name == primaryName {
		role = group.RolePrimary
	}
	for i, replica := range replicaNames {
		if name == replica {
			position = p.load.replica(i, at)
		}
	}
	return group.NewStatus(group.StatusConfig{
		Endpoint: name,
		Role:     role,
		Point:    group.NewPoint(1, position),
		History:  group.NewHistory(group.NewTermStart(1, 0)),
	})
}

func (p *player) play(q request) {
	if q.roams || q.write {
		p.floors[q.session] = floor{point: group.NewPoint(1, p.load.primary(q.at.Add(hop))), at: q.at}
		p.ask(q.at, primaryName)
	}
	if q.write {
		p.own[q.session] = p.floors[q.session].point.Position()
		return
	}
	f := p.floors[q.session]
	if f.point.IsZero() {
		f = floor{point: group.NewPoint(1, 0), at: p.load.start}
	}
	r := route.Request{Class: route.ClassRead, Floor: f.point, FloorAt: f.at, WaitBudget: p.load.cfg.WaitBudget}
	if q.stale {
		r.MaxStaleness = p.load.cfg.MaxStaleness
	}
	if p.contender.NoWait {
		r.WaitBudget = 0
	}
	p.result.Reads++
	perfect := r
	perfect.Floor = group.NewPoint(1, p.own[q.session])
	if p.possible(q.at, perfect, p.load.cfg.WaitBudget) {
		p.result.Possible++
	}
	p.read(q.at, r, perfect)
}

// possible reports whether some replica satisfies the read when it arrives within the wait budget.
func (p *player) possible(at time.Time, r route.Request, budget time.Duration) bool {
	for i := range replicaNames {
		if p.satisfies(i, at.Add(budget+hop), r) {
			return true
		}
	}
	return false
}

func (p *player) satisfies(replica int, at time.Time, r route.Request) bool {
	position := p.load.replica(replica, at)
	if position < r.Floor.Position() {
		return false
	}
	return r.MaxStaleness == 0 || position >= p.load.primary(at.Add(-r.MaxStaleness))
}

// read sends one read, and again after a miss as the proxy does.
//
// Whether an answer is stale is judged by what the session must truly see.
func (p *player) read(at time.Time, r, truth route.Request) {
	for {
		p.probeUntil(at)
		d := p.contender.Policy.Decide(at, p.tracker, r)
		if d.Target() != route.TargetReplica {
			return
		}
		p.waited += d.Wait()
		sentAt := at.Add(d.Wait())
		replica := 0
		if d.Endpoint() == replicaNames[1] {
			replica = 1
		}
		fits := p.satisfies(replica, sentAt.Add(hop), truth)
		if !p.contender.Verify {
			p.result.OnReplica++
			if !fits {
				p.result.Stale++
			}
			return
		}
		back := sentAt.Add(2 * hop)
		p.probeUntil(back)
		if p.tracker.Verify(sentAt, back, p.status(d.Endpoint(), sentAt.Add(hop)), r) == route.VerdictServe {
			p.result.OnReplica++
			if !fits {
				p.result.Stale++
			}
			return
		}
		p.result.Misses++
		r.WaitBudget -= back.Sub(at)
		at = back
	}
}
