package fleet

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/membership"
)

// Sizes of the set of instances that hold a group's connections.
const (
	// leastShare is the fewest connections to a member that let an instance serve: one for probes, two for work.
	leastShare = 3
	// mostPerSlot is the most instances for each slot of a member that are all homes: each has at least one request at
	// work there, and more would fill the member's own queue.
	mostPerSlot = 4
	// leastHomes is the fewest homes where not all instances can be: one in each of several data centres, so that
	// a cut leaves some on either side.
	leastHomes = 4
	// homeShare is the fewest connections that each home holds: one for probes, and as many for work that some
	// transactions can rest.
	homeShare = 6
	// homeReserve is the part of the connections that is left for homes that change, whose old links linger.
	homeReserve = 0.08
)

// homeCount returns how many of n instances hold connections to members that take so many and run slots requests at
// once (0 if that is not known), and how many each.
//
// There are no more homes than slots, so that each has work for two turns: many
// homes with one each could neither order the work among them nor keep it short.
func homeCount(connections, slots, n int) (homes, share int) {
	if all := connections / (n + reservedInstances); all >= leastShare && (slots == 0 || n <= mostPerSlot*slots) {
		return n, all
	}
	usable := int((1 - homeReserve) * float64(connections))
	homes = usable / homeShare
	if slots > 0 {
		homes = min(homes, max(leastHomes, slots))
	}
	homes = max(1, homes)
	return homes, usable / homes
}

// homes returns the instances that hold the connections of a group, in order of preference.
func (i *Instance[L]) homes(group string) []membership.Identity {
	alive, digest := i.node.View()
	terms, _ := i.directory.Group(group)
	slots := i.members.slots(group)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forgetPlacesLocked(digest)
	if held, ok := i.homesOf[group]; ok && held.connections == terms.Connections && held.slots == slots {
		return held.homes
	}
	count, _ := homeCount(terms.Connections, slots, len(alive))
	found := homeSet{connections: terms.Connections, slots: slots, homes: membership.Homes("home/"+group, alive, count)}
	i.homesOf[group] = found
	return found.homes
}

// homeSet is the homes of a group and the limits from which they follow.
type homeSet struct {
	connections int
	slots       int
	homes       []membership.Identity
}

// forgetPlacesLocked drops what was computed from an earlier set of instances.
func (i *Instance[L]) forgetPlacesLocked(digest membership.Digest) {
	if i.placesOf == digest {
		return
	}
	i.homesOf = map[string]homeSet{}
	i.placesOf = digest
	i.noteMissingLocked()
}

const (
	// settleTime is how long an instance at most waits to meet the others before it takes itself for a home: longer
	// than the first heartbeats take.
	settleTime = 1500 * time.Millisecond
	// settledShare is the part of the registered instances that it must have met to wait no longer: some may be gone
	// for good without having left.
	settledShare = 0.75
	// settleQuiet is how long the number of instances must stand still where the store does not tell how many are
	// registered: a few rounds of exchanges.
	settleQuiet = 400 * time.Millisecond
)

// settled reports whether this instance knows the fleet well enough to be a home.
//
// One that has just started knows few others. If it judged by these, it would be
// a home of every group, and after a loss of all instances each would be.
func (i *Instance[L]) settled() bool {
	if i.hasSettled.Load() {
		return true
	}
	alive, _ := i.counts()
	registered := int(i.registered.Load())
	if !knowsFleet(alive, registered, clock.Since(i.startedAt), i.standsStill(alive)) {
		return false
	}
	if i.hasSettled.CompareAndSwap(false, true) {
		logLine(i.cfg.Logger, "level", "info", "msg", "settled", "alive", alive, "registered", registered,
			"after_ms", clock.Since(i.startedAt).Milliseconds())
	}
	return true
}

// standsStill returns for how long the number of instances has not changed.
func (i *Instance[L]) standsStill(alive int) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := clock.Now()
	if alive != i.lastAlive {
		i.lastAlive, i.lastAliveAt = alive, now
	}
	return now.Sub(i.lastAliveAt)
}

// knowsFleet reports whether an instance that knows alive instances, a number that has stood still for quiet, has waited
// long enough for the registered ones; 0 registered means that their number is not known.
func knowsFleet(alive, registered int, age, quiet time.Duration) bool {
	switch {
	case age >= settleTime:
		return true
	case registered > 0:
		return float64(alive) >= settledShare*float64(registered)
	}
	return alive > 1 && quiet >= settleQuiet
}

// atHome reports whether this instance holds connections of a group.
func (i *Instance[L]) atHome(group string) bool {
	if !i.settled() {
		return false
	}
	for _, one := range i.homes(group) {
		if one.Name() == i.cfg.Name {
			return true
		}
	}
	return false
}

// Homes returns the addresses of the instances that serve a database, for a caller that has come here; none means this one.
//
// Homes in this data centre come first, each kind in a random order.
func (i *Instance[L]) Homes(database string) []string {
	c, ok := i.directory.Contract(database)
	if !ok {
		return nil
	}
	group := c.Databases()[0].Group()
	if i.atHome(group) || i.members.servesOn(group, clock.Now()) {
		return nil
	}
	var near, far []string
	homes := i.homes(group)
	for _, at := range rand.Perm(len(homes)) {
		one := homes[at]
		if one.Name() == i.cfg.Name {
			continue
		}
		host, _, err := net.SplitHostPort(one.PeerAddress())
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, i.cfg.ForwardPort)
		if one.DataCentre() == i.cfg.DataCentre {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}

// GroupPlace returns this instance's place among the homes of a group, 0 first, and how many others must be counted, lately dead ones included.
func (i *Instance[L]) GroupPlace(group string) (place, others int) {
	homes := i.homes(group)
	place = len(homes)
	for at, one := range homes {
		if one.Name() == i.cfg.Name {
			place = at
		}
	}
	alive, missing := i.counts()
	// As many homes are missing as fall to the homes' share of the fleet, rounded up.
	lost := (missing*len(homes) + alive - 1) / max(1, alive)
	return place, max(0, len(homes)-1) + min(lost, missing)
}

// counts returns how many instances live, and how many died lately.
func (i *Instance[L]) counts() (alive, missing int) {
	list, digest := i.node.View()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forgetPlacesLocked(digest)
	now := clock.Now()
	for _, since := range i.missing {
		if now.Sub(since) < missedAfter {
			missing++
		}
	}
	return len(list), missing
}
