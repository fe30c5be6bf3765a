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
}

// Freshness knows until when an instance's configuration is proved to be the newest accepted one.
//
// A revision is accepted when the table holds it and a majority of the witnesses
// has heard of it. So an instance is current as of a time when, from then on, it
// read the table, or exchanged with a majority of the witnesses, or exchanged with
// an instance that is itself current. It is not safe for concurrent use.
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
// peerAge is the age of the peer's own proof, negative when it has none;
// witnesses names the witnesses in force.
func (f *Freshness) Exchanged(sentAt time.Time, peer string, peerAge time.Duration, witnesses []string) {
	if peerAge >= 0 {
		f.raise(sentAt.Add(-peerAge))
	}
	f.heard[peer] = sentAt
	f.raise(f.majority(sentAt, witnesses))
}

// majority returns the newest time since which more than half of the witnesses were heard, this instance counting as heard at now.
func (f *Freshness) majority(now time.Time, witnesses []string) time.Time {
	var times []time.Time
	for _, name := range witnesses {
		if name == f.cfg.Self {
			times = append(times, now)
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
