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
	// homeShare is the number of connections that each home holds where not all instances can: one for probes, and
	// as many for work that some transactions can rest; few enough for homes in every data centre.
	homeShare = 6
	// homeReserve is the part of the connections that is left for homes that change, whose old links linger.
	homeReserve = 0.08
)

// homeCount returns how many of n instances hold connections to members that take so many, and how many each.
func homeCount(connections, n int) (homes, share int) {
	if all := connections / (n + reservedInstances); all >= leastShare {
		return n, all
	}
	usable := int((1 - homeReserve) * float64(connections))
	return max(1, usable/homeShare), homeShare
}

// homes returns the instances that hold the connections of a group, in order of preference.
func (i *Instance[L]) homes(group string) []membership.Identity {
	alive, digest := i.node.View()
	terms, _ := i.directory.Group(group)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forgetPlacesLocked(digest)
	if held, ok := i.homesOf[group]; ok && held.connections == terms.Connections {
		return held.homes
	}
	count, _ := homeCount(terms.Connections, len(alive))
	found := homeSet{connections: terms.Connections, homes: membership.Homes("home/"+group, alive, count)}
	i.homesOf[group] = found
	return found.homes
}

// homeSet is the homes of a group and the limit from which they follow.
type homeSet struct {
	connections int
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

// settleTime is how long an instance that has met no other takes itself for one of many: longer than the first
// heartbeats take.
const settleTime = 1500 * time.Millisecond

// settled reports whether this instance knows the fleet well enough to be a home.
func (i *Instance[L]) settled() bool {
	alive, _ := i.counts()
	return alive > 1 || clock.Since(i.startedAt) >= settleTime
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
	if !ok || i.atHome(c.Databases()[0].Group()) {
		return nil
	}
	group := c.Databases()[0].Group()
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
