package route

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

const (
	fineSpacing   = 5 * time.Millisecond
	coarseSpacing = 250 * time.Millisecond
	fineSamples   = 128
	coarseSamples = 512
)

// sample says that the primary had reached position by a request sent at sentAt.
type sample struct {
	sentAt   time.Time
	position group.Position
}

// ring holds the newest samples, at least spacing apart.
type ring struct {
	spacing time.Duration
	samples []sample
	next    int
	size    int
}

func newRing(spacing time.Duration, capacity int) *ring {
	return &ring{spacing: spacing, samples: make([]sample, capacity)}
}

func (r *ring) reset() {
	r.next = 0
	r.size = 0
}

// at returns the i-th newest sample.
func (r *ring) at(i int) sample {
	n := len(r.samples)
	return r.samples[(r.next-1-i+n)%n]
}

func (r *ring) add(s sample) {
	if r.size > 0 && s.sentAt.Sub(r.at(0).sentAt) < r.spacing {
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % len(r.samples)
	r.size = min(r.size+1, len(r.samples))
}

// reached returns the newest sample at or below position, and the oldest sample above it.
func (r *ring) reached(position group.Position) (below, above sample, hasBelow, hasAbove bool) {
	for i := range r.size {
		s := r.at(i)
		if s.position <= position {
			return s, above, true, hasAbove
		}
		above = s
		hasAbove = true
	}
	return sample{}, above, false, hasAbove
}

// track keeps the primary's samples of the current term at two spacings.
type track struct {
	fine   *ring
	coarse *ring
	newest sample
}

func newTrack() *track {
	return &track{
		fine:   newRing(fineSpacing, fineSamples),
		coarse: newRing(coarseSpacing, coarseSamples),
	}
}

func (t *track) reset() {
	t.fine.reset()
	t.coarse.reset()
	t.newest = sample{}
}

func (t *track) add(s sample) {
	t.fine.add(s)
	t.coarse.add(s)
	if s.sentAt.After(t.newest.sentAt) {
		t.newest = s
	}
}

// age returns how old the data at position is at now; ok is false when that is unknown.
func (t *track) age(now time.Time, position group.Position) (age time.Duration, ok bool) {
	if !t.newest.sentAt.IsZero() && t.newest.position <= position {
		return now.Sub(t.newest.sentAt), true
	}
	for _, r := range []*ring{t.fine, t.coarse} {
		if below, _, found, _ := r.reached(position); found {
			return now.Sub(below.sentAt), true
		}
	}
	return 0, false
}

// behind estimates how long ago the primary stood at position; a caught-up position gives 0.
func (t *track) behind(now time.Time, position group.Position) (lag time.Duration, ok bool) {
	if t.newest.position <= position {
		return 0, !t.newest.sentAt.IsZero()
	}
	for _, r := range []*ring{t.fine, t.coarse} {
		if _, above, hasBelow, hasAbove := r.reached(position); hasBelow && hasAbove {
			return now.Sub(above.sentAt), true
		}
	}
	return 0, false
}

// oldestSince returns the oldest sample asked for at or after since and before until.
func (t *track) oldestSince(since, until time.Time) (found sample, ok bool) {
	if n := t.newest; !n.sentAt.IsZero() && !n.sentAt.Before(since) && n.sentAt.Before(until) {
		found, ok = n, true
	}
	for _, r := range []*ring{t.fine, t.coarse} {
		for i := range r.size {
			s := r.at(i)
			if s.sentAt.Before(since) {
				break
			}
			if s.sentAt.Before(until) && (!ok || s.sentAt.Before(found.sentAt)) {
				found, ok = s, true
			}
		}
	}
	return found, ok
}
