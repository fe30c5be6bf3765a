package experiment

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// LoadConfig describes a load; the zero value is not usable.
type LoadConfig struct {
	Name string
	Seed uint64
	// Duration is how long the load lasts, in virtual time.
	Duration time.Duration
	Sessions int
	// WriteShare is the share of requests that write.
	WriteShare float64
	// Think is the mean time between two requests of a session.
	Think time.Duration
	// Lag is the median replication lag, and Spike that of a replica that falls behind.
	Lag   time.Duration
	Spike time.Duration
	// StaleShare is the share of reads that accept data of age MaxStaleness.
	StaleShare   float64
	MaxStaleness time.Duration
	// ReconnectShare is the share of requests ahead of which the session reconnects without a token.
	ReconnectShare float64
	// WaitBudget is how long a read may wait for a replica.
	WaitBudget time.Duration
}

// BairdLennox returns a load like booking bursts before an examination deadline.
func BairdLennox(seed uint64) LoadConfig {
	return LoadConfig{
		Name: "baird-lennox", Seed: seed, Duration: time.Minute, Sessions: 60,
		WriteShare: 0.3, Think: 150 * time.Millisecond,
		Lag: 15 * time.Millisecond, Spike: 2 * time.Second,
		StaleShare: 0.2, MaxStaleness: 10 * time.Second, WaitBudget: 25 * time.Millisecond,
		ReconnectShare: 0.02,
	}
}

// Lellu returns a load in which status reads dominate.
func Lellu(seed uint64) LoadConfig {
	return LoadConfig{
		Name: "lellu", Seed: seed, Duration: time.Minute, Sessions: 60,
		WriteShare: 0.08, Think: 150 * time.Millisecond,
		Lag: 25 * time.Millisecond, Spike: 2 * time.Second,
		StaleShare: 0.6, MaxStaleness: 10 * time.Second, WaitBudget: 25 * time.Millisecond,
		ReconnectShare: 0.02,
	}
}

// request is one request of the load.
type request struct {
	at      time.Time
	session int
	write   bool
	stale   bool
	roams   bool
}

// hop is the time of one way between instance and endpoint.
const hop = time.Millisecond

// load is a generated load with the true history of the group.
type load struct {
	cfg      LoadConfig
	start    time.Time
	requests []request
	commits  []time.Time
	lags     [][]lagStep
}

// lagStep says from when on a replica has a lag.
type lagStep struct {
	from time.Time
	lag  time.Duration
}

const (
	lagInterval = 200 * time.Millisecond
	spikeChance = 0.01
	spikeLength = 25
	replicas    = 2
)

func newLoad(cfg LoadConfig) *load {
	l := &load{cfg: cfg, start: time.Unix(1_000_000, 0)}
	r := rand.New(rand.NewPCG(cfg.Seed, 1))
	for s := range cfg.Sessions {
		l.session(r, s)
	}
	sort.Slice(l.requests, func(i, j int) bool { return l.requests[i].at.Before(l.requests[j].at) })
	for _, q := range l.requests {
		if q.write {
			l.commits = append(l.commits, q.at.Add(hop))
		}
	}
	for range replicas {
		l.lags = append(l.lags, l.walk(r))
	}
	return l
}

func (l *load) session(r *rand.Rand, number int) {
	end := l.start.Add(l.cfg.Duration)
	at := l.start.Add(time.Duration(r.ExpFloat64() * float64(l.cfg.Think)))
	for at.Before(end) {
		l.requests = append(l.requests, request{
			at:      at,
			session: number,
			write:   r.Float64() < l.cfg.WriteShare,
			stale:   r.Float64() < l.cfg.StaleShare,
			roams:   r.Float64() < l.cfg.ReconnectShare,
		})
		at = at.Add(time.Duration(r.ExpFloat64() * float64(l.cfg.Think)))
	}
}

// walk draws a replica's lag: log-uniform around the median, with spikes.
func (l *load) walk(r *rand.Rand) []lagStep {
	var steps []lagStep
	left := 0
	for at := l.start; at.Before(l.start.Add(l.cfg.Duration)); at = at.Add(lagInterval) {
		if left == 0 && r.Float64() < spikeChance {
			left = spikeLength
		}
		lag := time.Duration(float64(l.cfg.Lag) * (0.5 + r.Float64()))
		if left > 0 {
			left--
			lag = l.cfg.Spike
		}
		steps = append(steps, lagStep{from: at, lag: lag})
	}
	return steps
}

// primary returns the primary's position at a time.
func (l *load) primary(at time.Time) group.Position {
	return group.Position(sort.Search(len(l.commits), func(i int) bool { return l.commits[i].After(at) }))
}

// replica returns a replica's position at a time: what the primary had one lag ago, and never less than before.
func (l *load) replica(number int, at time.Time) group.Position {
	steps := l.lags[number]
	k := sort.Search(len(steps), func(i int) bool { return steps[i].from.After(at) })
	var best group.Position
	for i := max(0, k-2*spikeLength); i < k; i++ {
		seen := at
		if i+1 < k {
			seen = steps[i+1].from
		}
		best = max(best, l.primary(seen.Add(-steps[i].lag)))
	}
	return best
}
