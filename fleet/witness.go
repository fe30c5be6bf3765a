package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Ages of the evidence at which the store is asked as a witness.
const (
	// firstWitnessAge is that at which a replica that confirmed until now has missed its turn: late enough that its
	// answer may still come, and early enough that the store's does before the lease ends.
	firstWitnessAge = lease - 200*time.Millisecond
	// witnessAge is that while the store is the witness already.
	witnessAge = 3*renewEvery - 50*time.Millisecond
	// witnessTick is how often the ages are looked at.
	witnessTick = 100 * time.Millisecond
)

// witness asks the store whether a promotion is under way where a primary answers and a replica does not.
//
// A promotion is recorded in the store before its first fence. While all replicas
// answer, the store is not asked.
type witness[L Link[L]] struct {
	instance *Instance[L]
	lost     bool
	askedAt  time.Time
}

// Name returns the service's name.
func (w *witness[L]) Name() string { return "witness" }

// Run looks at the leases at every interval until ctx ends.
func (w *witness[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(witnessTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.look(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *witness[L]) look(ctx context.Context) {
	now := clock.Now()
	if now.Sub(w.askedAt) < witnessEvery {
		return
	}
	lacking := w.lacking(now)
	if len(lacking) == 0 {
		return
	}
	w.askedAt = now
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	askedAt := clock.Now()
	s, err := w.instance.cfg.Store.All(ctx, coordinatorTable)
	w.note(err)
	if err != nil {
		return
	}
	for name, term := range lacking {
		if g := w.instance.members.group(name); g != nil && !promotionInProgress(s, name, term) {
			g.StoreConfirmed(askedAt, term)
		}
	}
}

// lacking returns the terms of the groups whose primary answers and lacks a witness.
func (w *witness[L]) lacking(now time.Time) map[string]group.Term {
	out := map[string]group.Term{}
	for _, g := range w.instance.members.all() {
		standby := w.instance.standby(g.Name())
		g.View(func(t *route.Tracker) {
			if needsStore(now, t.PrimaryHeardAt(), t.WitnessedAt(), t.ReplicasConfirmedAt(), standby) {
				out[g.Name()] = t.Term()
			}
		})
	}
	return out
}

// needsStore reports whether to ask the store, by when the primary and any witness last vouched for the term, and when
// all replicas last did.
func needsStore(now, primary, witnessed, replicas time.Time, standby bool) bool {
	age := witnessAge
	if now.Sub(replicas) < lease {
		age = firstWitnessAge
	}
	if standby {
		// The instance that probes asks first, and passes on what it hears.
		age = min(age+relayEvery, lease-witnessTick)
	}
	return now.Sub(primary) < lease && now.Sub(witnessed) >= age
}

// note logs when the store is lost as a witness, and when it is back.
func (w *witness[L]) note(err error) {
	if (err != nil) == w.lost {
		return
	}
	w.lost = err != nil
	logLine(w.instance.cfg.Logger, "level", "info", "msg", "store_witness", "lost", w.lost, "error", errorText(err))
}
