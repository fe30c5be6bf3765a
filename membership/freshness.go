package membership

import (
	"sort"
	"time"
)

// WitnessCount is the maximum number of witnesses: the instances of which a majority must receive a revision, after the
// table has accepted it, before the change is acknowledged.
const WitnessCount = 9

// FreshnessConfig bounds the age of the proof that a configuration is current.
type FreshnessConfig struct {
	Self  string
	Bound time.Duration
	// StartedAt is when this run of the instance began, without any revision.
	StartedAt time.Time
}

// Freshness tracks until when an instance's configuration is proved to be the newest acknowledged one.
//
// A revision is acknowledged once the table has accepted it and a majority of the
// witnesses has received it. So an instance is current as of a time if, since then, it
// read the table, or exchanged with a majority of the witnesses, or exchanged with
// an instance that is itself current as of that time. A run that has just started
// counts as a witness only once it is current as of its start, since it lacks the
// revisions that an earlier run may have received. It is not safe for concurrent use.
type Freshness struct {
	cfg         FreshnessConfig
	asOf        time.Time
	exchangedAt map[string]time.Time
}

// NewFreshness returns a freshness without any proof.
func NewFreshness(cfg FreshnessConfig) *Freshness {
	return &Freshness{cfg: cfg, exchangedAt: map[string]time.Time{}}
}

// AsOf returns the time as of which the configuration is known to be current.
func (f *Freshness) AsOf() time.Time { return f.asOf }

// Age returns the age of the proof at now; ok is false when there is none.
func (f *Freshness) Age(now time.Time) (age time.Duration, ok bool) {
	if f.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(f.asOf), true
}

// Current reports whether the proof is younger than the bound at now.
func (f *Freshness) Current(now time.Time) bool {
	age, ok := f.Age(now)
	return ok && age < f.cfg.Bound
}

// TableRead records a read of the table sent at sentAt, all revisions of which were applied.
func (f *Freshness) TableRead(sentAt time.Time) { f.raise(sentAt) }

func (f *Freshness) raise(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// Exchanged records an exchange with a peer, sent at sentAt, after which this instance lacks nothing that the peer has.
//
// witnesses names the witnesses in force.
func (f *Freshness) Exchanged(sentAt time.Time, peer string, proof Proof, witnesses []string) {
	if proof.Known {
		f.raise(sentAt.Add(-proof.Age))
	}
	if proof.Witness {
		f.exchangedAt[peer] = sentAt
	}
	f.raise(f.majority(sentAt, witnesses))
}

// Proof describes the freshness of an instance to its peers.
type Proof struct {
	// Known is false when the instance has never been current.
	Known bool
	Age   time.Duration
	// Witness reports that the instance counts as a witness, because it has been current as of its start.
	Witness bool
}

// Proof returns the proof to send to a peer at now.
func (f *Freshness) Proof(now time.Time) Proof {
	age, ok := f.Age(now)
	return Proof{Known: ok, Age: age, Witness: f.witness()}
}

func (f *Freshness) witness() bool {
	return !f.asOf.IsZero() && !f.asOf.Before(f.cfg.StartedAt)
}

// majority returns the latest time since which this instance has exchanged with a majority of the witnesses, or zero if it
// has not. It counts itself as of now if it is a witness.
func (f *Freshness) majority(now time.Time, witnesses []string) time.Time {
	var times []time.Time
	for _, name := range witnesses {
		if name == f.cfg.Self {
			if f.witness() {
				times = append(times, now)
			}
			continue
		}
		if at, ok := f.exchangedAt[name]; ok {
			times = append(times, at)
		}
	}
	quorum := len(witnesses)/2 + 1
	if len(times) < quorum {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[quorum-1]
}
