package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// Ages of the last confirmation of a group's term at which the store is queried as a witness.
const (
	// firstWitnessAge applies while all replicas have confirmed the term within one lease. At this age a replica has missed a
	// probe: it is late enough that the replica's answer may still arrive, and early enough that the store's answer
	// arrives before the lease ends.
	firstWitnessAge = leaseDuration - 200*time.Millisecond
	// witnessAge applies while a replica has been silent for a whole lease, so that the store serves as the witness.
	witnessAge = 3*renewInterval - 50*time.Millisecond
	// witnessTick is the interval at which the ages are checked.
	witnessTick = 100 * time.Millisecond
)

// witness queries the store for promotions in progress, for groups whose primary answers while a replica does not.
//
// A promotion is recorded in the store before its first fence, so a store without
// a record of a later promotion confirms the term. While all replicas answer, the store is not queried.
type witness[L Link[L]] struct {
	instance  *Instance[L]
	lost      bool
	queriedAt time.Time
}

// Name returns the service's name.
func (w *witness[L]) Name() string { return "witness" }

// Run checks the leases at every tick until ctx ends.
func (w *witness[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(witnessTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.check(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *witness[L]) check(ctx context.Context) {
	now := clock.Now()
	if now.Sub(w.queriedAt) < witnessInterval {
		return
	}
	unwitnessed := w.unwitnessed(now)
	if len(unwitnessed) == 0 {
		return
	}
	w.queriedAt = now
	ctx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	sentAt := clock.Now()
	s, err := w.instance.cfg.Store.All(ctx, coordinatorTable)
	w.logStoreState(err)
	if err != nil {
		return
	}
	for name, reign := range unwitnessed {
		watched := w.instance.members.find(name)
		switch {
		case watched == nil:
		case !promotionInProgress(s, name, reign.term, reign.primary):
			watched.group.ConfirmByStore(sentAt, reign.term)
		case promotionOverdue(s, name, reign.term, reign.primary):
			watched.monitor.Step(failover.Superseded{Endpoint: reign.primary, Term: reign.term})
		}
	}
}

// reign is a term and its primary.
type reign struct {
	term    group.Term
	primary string
}

// unwitnessed returns the terms of the groups whose primary answers and for which the store is needed as a witness.
func (w *witness[L]) unwitnessed(now time.Time) map[string]reign {
	terms := map[string]reign{}
	for _, g := range w.instance.members.all() {
		standby := w.instance.standby(g.Name())
		g.View(func(t *route.Tracker) {
			if needsStoreWitness(now, t.PrimaryConfirmedAt(), t.WitnessedAt(), t.ReplicasConfirmedAt(), standby) {
				terms[g.Name()] = reign{term: t.Term(), primary: t.Primary()}
			}
		})
	}
	return terms
}

// needsStoreWitness reports whether to query the store, given the times at which the term was last confirmed by the
// primary, by any witness, and by all replicas.
func needsStoreWitness(now, primary, witnessed, replicas time.Time, standby bool) bool {
	age := witnessAge
	if now.Sub(replicas) < leaseDuration {
		age = firstWitnessAge
	}
	if standby {
		// The probing instance queries first and relays the result.
		age = min(age+relayInterval, leaseDuration-witnessTick)
	}
	return now.Sub(primary) < leaseDuration && now.Sub(witnessed) >= age
}

// logStoreState logs when the store fails as a witness, and when it answers again.
func (w *witness[L]) logStoreState(err error) {
	if (err != nil) == w.lost {
		return
	}
	w.lost = err != nil
	logLine(w.instance.cfg.Logger, "level", "info", "msg", "store_witness", "lost", w.lost, "error", errorText(err))
}
