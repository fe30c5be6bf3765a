package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// witnessAge is the age of the replicas' confirmation at which the store is asked instead: the turn of one was missed.
const witnessAge = 3*renewEvery - 50*time.Millisecond

// witness asks the store whether a promotion is under way where a primary answers and a replica does not.
//
// A promotion is recorded in the store before its first fence. While all replicas
// answer, the store is not asked.
type witness[L Link[L]] struct {
	instance *Instance[L]
	lost     bool
}

// Name returns the service's name.
func (w *witness[L]) Name() string { return "witness" }

// Run looks at the leases at every interval until ctx ends.
func (w *witness[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(witnessEvery)
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
	lacking := w.lacking(clock.Now())
	if len(lacking) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	askedAt := clock.Now()
	s, err := w.instance.cfg.Store.All(ctx, dutyTable)
	w.note(err)
	if err != nil {
		return
	}
	for name, term := range lacking {
		if g := w.instance.members.group(name); g != nil && !promoting(s, name, term) {
			g.StoreConfirmed(askedAt, term)
		}
	}
}

// lacking returns the terms of the groups whose primary answers and lacks a witness.
func (w *witness[L]) lacking(now time.Time) map[string]group.Term {
	out := map[string]group.Term{}
	for _, g := range w.instance.members.all() {
		age := witnessAge
		if w.instance.standby(g.Name()) {
			// The instance that probes asks first, and passes on what it hears.
			age += relayEvery
		}
		g.View(func(t *route.Tracker) {
			if now.Sub(t.PrimaryHeardAt()) < lease && now.Sub(t.WitnessedAt()) >= age {
				out[g.Name()] = t.Term()
			}
		})
	}
	return out
}

// note logs when the store is lost as a witness, and when it is back.
func (w *witness[L]) note(err error) {
	if (err != nil) == w.lost {
		return
	}
	w.lost = err != nil
	logLine(w.instance.cfg.Logger, "level", "info", "msg", "store_witness", "lost", w.lost, "error", errorText(err))
}
