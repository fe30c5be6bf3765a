package account

import (
	"sync"
	"time"
)

// Freshness tracks until when the registry that an instance holds is proved to be the newest; it is safe for concurrent use.
//
// The proof is a time as of which the store held no newer version: the send time of a
// call whose answer confirmed the version, or an earlier time if a peer relayed it.
type Freshness struct {
	bound time.Duration
	mu    sync.Mutex
	asOf  time.Time
}

// NewFreshness returns a freshness without a proof; with a bound of 0 no proof is needed.
func NewFreshness(bound time.Duration) *Freshness { return &Freshness{bound: bound} }

// Confirm records that the registry was the newest one as of a time.
func (f *Freshness) Confirm(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// AsOf returns the time as of which the registry was the newest one; ok is false without a proof.
func (f *Freshness) AsOf() (asOf time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asOf, !f.asOf.IsZero()
}

// Age returns the age of the proof at now, or a time beyond all bounds if there is none.
func (f *Freshness) Age(now time.Time) time.Duration {
	asOf, ok := f.AsOf()
	if !ok {
		return noProof
	}
	return now.Sub(asOf)
}

// noProof is the age reported without a proof.
const noProof = time.Duration(1<<63 - 1)

// Bound returns the age from which the registry must not be trusted, or 0 if it may always be.
func (f *Freshness) Bound() time.Duration { return f.bound }

// Valid reports whether the registry may be trusted at now.
func (f *Freshness) Valid(now time.Time) bool { return f.bound <= 0 || f.Age(now) < f.bound }
