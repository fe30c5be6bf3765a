package fleet

import (
	"time"

	"github.com/monsoontiller/monsoontiller/membership"
)

// shareState is what the shares of an instance depend on.
type shareState struct {
	// homes counts the computations of homes, and revision is the version of the configuration.
	homes    uint64
	revision uint64
	// joined reports that this instance knows the fleet well enough to act as a home.
	joined bool
	// fresh reports that the proof of the keys is recent enough to refill a share.
	fresh bool
	// restarted reports that all live instances have just started.
	restarted bool
}

// shareState returns what the shares depend on at now.
func (q *quotas[L]) shareState(now time.Time) shareState {
	i := q.instance
	for _, group := range i.directory.GroupNames() {
		i.homes(group)
	}
	bound := i.freshness.Bound()
	state := shareState{joined: i.knowsFleet()}
	state.fresh = bound == 0 || i.freshness.Age(now) < time.Duration(maxShareAgeRatio*float64(bound))
	_, state.revision = i.directory.AccountsOf()
	live, _ := i.node.LiveInstances()
	state.restarted = fleetRestarted(i.node.Self(), now.Sub(i.startedAt), live)
	i.mu.Lock()
	defer i.mu.Unlock()
	state.homes = i.homesGeneration
	return state
}

const (
	// restartAge is the age up to which an instance counts as just started.
	restartAge = 3 * time.Second
	// restartSpread is the largest difference between the start times of instances that are restarted together.
	restartSpread = 2 * time.Second
)

// fleetRestarted reports whether this instance, of the given age, and all live ones have started together: none of them can
// hold tokens from before.
func fleetRestarted(self membership.Identity, age time.Duration, live []membership.Identity) bool {
	if age >= restartAge {
		return false
	}
	for _, other := range live {
		if other.Incarnation()+uint64(restartSpread) < self.Incarnation() {
			return false
		}
	}
	return true
}
