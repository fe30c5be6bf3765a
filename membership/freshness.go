package membership

import (
	"sort"
	"time"
)

// Witnesses is the number of instances that must hear of a revision before it is accepted, less the minority.
const Witnesses = 9

// FreshnessConfig bounds how old the proof of a current configuration may be.
type FreshnessConfig struct {
	Self  string
	Bound time.Duration
	// StartedAt is when this run began, knowing nothing.
	StartedAt time.Time
}

// Freshness knows until when an instance's configuration is proved to be the newest accepted one.
//
// A revision is accepted when the table holds it and a majority of the witnesses
// has heard of it. So an instance is current as of a time when, from then on, it
// read the table, or exchanged with a majority of the witnesses, or exchanged with
// an instance that is itself current. A run that has just started counts as a
// witness only once it is current as of its start, since an earlier run may have
// been one of those that heard of a revision. It is not safe for concurrent use.
type Freshness struct {
	cfg   FreshnessConfig
	asOf  time.Time
	heard map[string]time.Time
}

// NewFreshness returns a freshness without any proof.
func NewFreshness(cfg FreshnessConfig) *Freshness {
	return &Freshness{cfg: cfg, heard: map[string]time.Time{}}
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

// ReadTable notes that all revisions in the table were applied, as read at or after sentAt.
func (f *Freshness) ReadTable(sentAt time.Time) { f.raise(sentAt) }

func (f *Freshness) raise(at time.Time) {
	if at.After(f.asOf) {
		f.asOf = at
	}
}

// Exchanged notes that a peer's configuration, as of an exchange sent at sentAt, holds nothing that this instance lacks.
//
// witnesses names the witnesses in force.
func (f *Freshness) Exchanged(sentAt time.Time, peer string, proof Proof, witnesses []string) {
	if proof.Known {
		f.raise(sentAt.Add(-proof.Age))
	}
	if proof.Witness {
		f.heard[peer] = sentAt
	}
	f.raise(f.majority(sentAt, witnesses))
}

// Proof is what an instance tells of its own freshness.
type Proof struct {
	// Known is false when the instance has never been current.
	Known bool
	Age   time.Duration
	// Witness says that the instance has been current as of its start.
	Witness bool
}

// Proof returns what to tell a peer at now.
func (f *Freshness) Proof(now time.Time) Proof {
	age, ok := f.Age(now)
	return Proof{Known: ok, Age: age, Witness: f.witness()}
}

func (f *Freshness) witness() bool {
	return !f.asOf.IsZero() && !f.asOf.Before(f.cfg.StartedAt)
}

// majority returns the newest time since which more than half of the witnesses were heard, this instance counting as heard at now.
func (f *Freshness) majority(now time.Time, witnesses []string) time.Time {
	var times []time.Time
	for _, name := range witnesses {
		if name == f.cfg.Self {
			if f.witness() {
				times = append(times, now)
			}
			continue
		}
		if at, ok := f.heard[name]; ok {
			times = append(times, at)
		}
	}
	need := len(witnesses)/2 + 1
	if len(times) < need {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[need-1]
}
