package experiment

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// LoadConfig describes a load; the zero value is invalid.
type LoadConfig struct {
	Name string
	Seed uint64
	// Duration is the length of the load in virtual time.
	Duration time.Duration
	Sessions int
	// WriteShare is the share of requests that write.
	WriteShare float64
	// ThinkTime is the mean time between two requests of a session.
	ThinkTime time.Duration
	// Lag is the median replication lag outside of spikes, and SpikeLag the lag during a spike.
	Lag      time.Duration
	SpikeLag time.Duration
	// StaleShare is the share of reads that accept data of age MaxStaleness.
	StaleShare   float64
	MaxStaleness time.Duration
	// ReconnectShare is the share of requests before which the session reconnects without a session token.
	ReconnectShare float64
	// WaitBudget is the maximum time that a read may wait for a replica.
	WaitBudget time.Duration
}

// BairdLennox returns a load modelled on bookings before an examination deadline, with many writes.
func BairdLennox(seed uint64) LoadConfig {
	return LoadConfig{
		Name: "baird-lennox", Seed: seed, Duration: time.Minute, Sessions: 60,
		WriteShare: 0.3, ThinkTime: 150 * time.Millisecond,
		Lag: 15 * time.Millisecond, SpikeLag: 2 * time.Second,
		StaleShare: 0.2, MaxStaleness: 10 * time.Second, WaitBudget: 25 * time.Millisecond,
		ReconnectShare: 0.02,
	}
}

// Lellu returns a load that consists mostly of status reads.
func Lellu(seed uint64) LoadConfig {
	return LoadConfig{
		Name: "lellu", Seed: seed, Duration: time.Minute, Sessions: 60,
		WriteShare: 0.08, ThinkTime: 150 * time.Millisecond,
		Lag: 25 * time.Millisecond, SpikeLag: 2 * time.Second,
		StaleShare: 0.6, MaxStaleness: 10 * time.Second, WaitBudget: 25 * time.Millisecond,
		ReconnectShare: 0.02,
	}
}

// request is one request of the load; stale applies to reads only.
type request struct {
	at         time.Time
	session    int
	write      bool
	stale      bool
	reconnects bool
}

// oneWayDelay is the network delay between an instance and an endpoint in one direction.
const oneWayDelay = time.Millisecond

// load is a generated load with the actual positions of the group's members over time.
type load struct {
	cfg      LoadConfig
	start    time.Time
	requests []request
	// commits holds the commit times of the writes; a position is a number of commits.
	commits []time.Time
	// lags holds the lag steps of each replica.
	lags [][]lagStep
}

// lagStep is the lag of a replica from a point in time until the next step.
type lagStep struct {
	from time.Time
	lag  time.Duration
}

const (
	lagStepInterval = 200 * time.Millisecond
	// spikeProbability is the probability that a step starts a spike; a spike lasts spikeSteps steps.
	spikeProbability = 0.01
	spikeSteps       = 25
	replicas         = 2
)

// newLoad generates the requests, commits and lags from the seed.
func newLoad(cfg LoadConfig) *load {
	l := &load{cfg: cfg, start: time.Unix(1_000_000, 0)}
	r := rand.New(rand.NewPCG(cfg.Seed, 1))
	for s := range cfg.Sessions {
		l.addSession(r, s)
	}
	sort.Slice(l.requests, func(i, j int) bool { return l.requests[i].at.Before(l.requests[j].at) })
	for _, q := range l.requests {
		if q.write {
			l.commits = append(l.commits, q.at.Add(oneWayDelay))
		}
	}
	for range replicas {
		l.lags = append(l.lags, l.generateLag(r))
	}
	return l
}

// addSession adds the requests of one session, with exponentially distributed think times.
func (l *load) addSession(r *rand.Rand, number int) {
	end := l.start.Add(l.cfg.Duration)
	at := l.start.Add(time.Duration(r.ExpFloat64() * float64(l.cfg.ThinkTime)))
	for at.Before(end) {
		l.requests = append(l.requests, request{
			at:         at,
			session:    number,
			write:      r.Float64() < l.cfg.WriteShare,
			stale:      r.Float64() < l.cfg.StaleShare,
			reconnects: r.Float64() < l.cfg.ReconnectShare,
		})
		at = at.Add(time.Duration(r.ExpFloat64() * float64(l.cfg.ThinkTime)))
	}
}

// generateLag draws the lag steps of a replica: uniform between 0.5 and 1.5 times the median, with spikes.
func (l *load) generateLag(r *rand.Rand) []lagStep {
	var steps []lagStep
	spikeStepsLeft := 0
	for at := l.start; at.Before(l.start.Add(l.cfg.Duration)); at = at.Add(lagStepInterval) {
		if spikeStepsLeft == 0 && r.Float64() < spikeProbability {
			spikeStepsLeft = spikeSteps
		}
		lag := time.Duration(float64(l.cfg.Lag) * (0.5 + r.Float64()))
		if spikeStepsLeft > 0 {
			spikeStepsLeft--
			lag = l.cfg.SpikeLag
		}
		steps = append(steps, lagStep{from: at, lag: lag})
	}
	return steps
}

// primaryPosition returns the position of the primary at a time: the number of commits up to it.
func (l *load) primaryPosition(at time.Time) group.Position {
	return group.Position(sort.Search(len(l.commits), func(i int) bool { return l.commits[i].After(at) }))
}

// replicaPosition returns the position of a replica at a time: that of the primary one lag earlier.
//
// A replica does not go back when its lag rises, so the result is the highest
// position in the recent steps. 2*spikeSteps steps reach back beyond a whole spike.
func (l *load) replicaPosition(replica int, at time.Time) group.Position {
	steps := l.lags[replica]
	end := sort.Search(len(steps), func(i int) bool { return steps[i].from.After(at) })
	var position group.Position
	for i := max(0, end-2*spikeSteps); i < end; i++ {
		until := at
		if i+1 < end {
			until = steps[i+1].from
		}
		position = max(position, l.primaryPosition(until.Add(-steps[i].lag)))
	}
	return position
}
