package route

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// The fine samples cover about 640 ms and the coarse samples about 128 s, more if the primary is sampled less often.
const (
	fineSpacing   = 5 * time.Millisecond
	coarseSpacing = 250 * time.Millisecond
	fineSamples   = 128
	coarseSamples = 512
)

// sample is a position that the primary reported in answer to a request sent at sentAt.
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

// bracket returns the newest sample at or below position, and the oldest sample above it.
func (r *ring) bracket(position group.Position) (below, above sample, hasBelow, hasAbove bool) {
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

// primarySamples keeps the primary's samples of the current term at two spacings.
type primarySamples struct {
	fine   *ring
	coarse *ring
	newest sample
}

func newPrimarySamples() *primarySamples {
	return &primarySamples{
		fine:   newRing(fineSpacing, fineSamples),
		coarse: newRing(coarseSpacing, coarseSamples),
	}
}

func (p *primarySamples) reset() {
	p.fine.reset()
	p.coarse.reset()
	p.newest = sample{}
}

func (p *primarySamples) add(s sample) {
	p.fine.add(s)
	p.coarse.add(s)
	if s.sentAt.After(p.newest.sentAt) {
		p.newest = s
	}
}

// age returns how old the data at position is at now; ok is false when that is unknown.
func (p *primarySamples) age(now time.Time, position group.Position) (age time.Duration, ok bool) {
	if !p.newest.sentAt.IsZero() && p.newest.position <= position {
		return now.Sub(p.newest.sentAt), true
	}
	for _, r := range []*ring{p.fine, p.coarse} {
		if below, _, found, _ := r.bracket(position); found {
			return now.Sub(below.sentAt), true
		}
	}
	return 0, false
}

// behind estimates how long ago the primary was at position; it is 0 at or above the newest sample's position.
func (p *primarySamples) behind(now time.Time, position group.Position) (lag time.Duration, ok bool) {
	if p.newest.position <= position {
		return 0, !p.newest.sentAt.IsZero()
	}
	for _, r := range []*ring{p.fine, p.coarse} {
		if _, above, hasBelow, hasAbove := r.bracket(position); hasBelow && hasAbove {
			return now.Sub(above.sentAt), true
		}
	}
	return 0, false
}

// oldestSince returns the oldest sample requested at or after since and before until.
func (p *primarySamples) oldestSince(since, until time.Time) (found sample, ok bool) {
	if n := p.newest; !n.sentAt.IsZero() && !n.sentAt.Before(since) && n.sentAt.Before(until) {
		found, ok = n, true
	}
	for _, r := range []*ring{p.fine, p.coarse} {
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
