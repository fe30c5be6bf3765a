package fleet

import (
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/membership"
)

// expectations holds the instances that an instance expects to start together with it.
type expectations struct {
	// identities are the registered instances, and until is when those that have not been heard from are given up.
	identities []membership.Identity
	until      time.Time
}

// missing returns the expected instances of which known reports false.
func (e expectations) missing(now time.Time, known func(name string) bool) []membership.Identity {
	if !now.Before(e.until) {
		return nil
	}
	var out []membership.Identity
	for _, identity := range e.identities {
		if !known(identity.Name()) {
			out = append(out, identity)
		}
	}
	return out
}

// expect makes this instance compute homes and shares as if the given instances were alive, until it hears from them or
// maxJoinWait has passed since its start.
//
// After a failure of the whole fleet, every instance then computes the same homes from
// its start on, however few of the others have started.
func (i *Instance[L]) expect(identities []membership.Identity) {
	if len(identities) == 0 {
		return
	}
	i.mu.Lock()
	i.expectations = expectations{identities: identities, until: i.startedAt.Add(maxJoinWait)}
	i.homesByGroup = nil
	i.mu.Unlock()
	addresses := make([]string, 0, len(identities))
	for _, identity := range identities {
		addresses = append(addresses, identity.PeerAddress())
	}
	i.node.AddSeeds(addresses)
	i.expectsFleet.Store(true)
	logLine(i.cfg.Logger, "level", "info", "msg", "fleet_expected", "instances", len(identities),
		"after_ms", clock.Since(i.startedAt).Milliseconds())
	i.members.UpdateGroups()
}

// presumedAlive returns the live instances and those that are expected to start.
func (i *Instance[L]) presumedAlive() []membership.Identity {
	alive, digest := i.node.LiveInstances()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.invalidateHomesLocked(digest)
	return i.withMissingLocked(alive)
}

// presumedCounts returns the number of instances that presumedAlive returns, and of those found lost within massLossTime.
func (i *Instance[L]) presumedCounts() (presumed, dead int) {
	presumed = len(i.presumedAlive())
	i.mu.Lock()
	defer i.mu.Unlock()
	return presumed, i.deadWithinLocked(massLossTime)
}

// withMissingLocked appends the expected instances that have not been heard from; it does not change alive.
func (i *Instance[L]) withMissingLocked(alive []membership.Identity) []membership.Identity {
	if len(i.missing) == 0 {
		return alive
	}
	return append(alive[:len(alive):len(alive)], i.missing...)
}

// updateMissingLocked computes which of the expected instances have not been heard from.
func (i *Instance[L]) updateMissingLocked(now time.Time) {
	known := map[string]bool{}
	for _, p := range i.node.Presences() {
		known[p.Identity().Name()] = true
	}
	i.missing = i.expectations.missing(now, func(name string) bool { return known[name] })
}
