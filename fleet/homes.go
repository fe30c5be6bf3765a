package fleet

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/membership"
)

// Limits on the homes of a group, which are the instances that hold its connections.
const (
	// minShare is the fewest connections to a member with which an instance is a home: one for probes, two for requests.
	minShare = 3
	// maxInstancesPerSlot is the most instances for each slot of a member that can all be homes: each has at
	// least one permit there, and more instances would fill the member's own queue.
	maxInstancesPerSlot = 4
	// minHomes is the limit on the homes where a member has fewer slots than that and not all instances can be homes. It
	// allows a home in each of several data centres, so that a network partition leaves some on either side.
	minHomes = 4
	// minHomeShare is the fewest connections that each of several homes holds: one for probes, and enough for requests even
	// while some belong to transactions that wait for their next statement. If members accept fewer in total, there is one home.
	minHomeShare = 6
	// massLossTime is the time in which lost instances are heard from again as a partition ends: a few rounds of heartbeats.
	massLossTime = time.Second
	// homeReserve is the fraction of the connections that is kept free for changes of homes: a former home's links close late.
	homeReserve = 0.08
)

// homeCount returns how many of n instances are homes of a group, and how many connections to each member a home holds.
//
// Each member accepts the given number of connections from all instances together
// and runs slots requests at once (0 if that is not known). Where not all
// instances are homes, there are at most as many homes as slots, but up to
// minHomes if the slots are fewer. A home then has about two permits: many homes
// with one permit each could neither order the requests among them nor keep the
// member's queue short.
//
// dead instances were found lost within massLossTime. If they are most of the fleet, a partition may just have ended: an
// instance hears of all the losses on the other side before it hears from those that were lost. If each instance became a home
// then, the connections of all of them would exceed the limit.
func homeCount(connections, slots, n, dead int) (homes, share int) {
	fleetSize := n
	if dead >= n {
		fleetSize += dead
	}
	if evenShare := connections / (n + reservedInstances); evenShare >= minShare && (slots == 0 || fleetSize <= maxInstancesPerSlot*slots) {
		return n, evenShare
	}
	usable := int((1 - homeReserve) * float64(connections))
	homes = usable / minHomeShare
	if slots > 0 {
		homes = min(homes, max(minHomes, slots))
	}
	homes = max(1, homes)
	return homes, usable / homes
}

// homes returns the homes of a group, in order of preference.
func (i *Instance[L]) homes(group string) []membership.Identity {
	alive, digest := i.node.LiveInstances()
	settings, _ := i.directory.Group(group)
	slots := i.members.slots.Of(group)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.invalidateHomesLocked(digest)
	if cached, ok := i.homesByGroup[group]; ok && cached.connections == settings.Connections && cached.slots == slots {
		return cached.homes
	}
	presumed := i.withMissingLocked(alive)
	dead := i.deadWithinLocked(massLossTime)
	if dead > 0 {
		i.homesUntil = clock.Now().Add(massLossTime)
	}
	count, _ := homeCount(settings.Connections, slots, len(presumed), dead)
	computed := homeSet{connections: settings.Connections, slots: slots, homes: membership.Homes("home/"+group, presumed, count), byAccount: map[string][]membership.Identity{}}
	i.homesByGroup[group] = computed
	i.homesGeneration++
	return computed.homes
}

// homeSet holds the homes of a group and the limits from which they were computed.
type homeSet struct {
	connections int
	slots       int
	homes       []membership.Identity
	// byAccount caches the order in which the sessions of each account prefer the homes.
	byAccount map[string][]membership.Identity
}

// invalidateHomesLocked drops the cached homes if the set of presences has changed since they were computed, or if
// instances are no longer expected.
func (i *Instance[L]) invalidateHomesLocked(digest membership.Digest) {
	// The clock is a system call, and most statements look up homes several times.
	givenUp := len(i.missing) > 0 && !clock.Now().Before(i.expectations.until)
	outdated := !i.homesUntil.IsZero() && !clock.Now().Before(i.homesUntil)
	if i.homesDigest == digest && i.homesByGroup != nil && !givenUp && !outdated {
		return
	}
	i.homesUntil = time.Time{}
	i.homesByGroup = map[string]homeSet{}
	i.homesDigest = digest
	i.updateDeadSinceLocked()
	i.updateMissingLocked(clock.Now())
}

const (
	// maxJoinWait is the longest time that an instance waits to discover its peers before it acts as a home: longer than
	// the first heartbeats take.
	maxJoinWait = 1500 * time.Millisecond
	// joinedFraction is the fraction of the registered instances that an instance must know to stop waiting: the others may
	// have stopped permanently without removing their registrations.
	joinedFraction = 0.75
	// joinStableTime is how long the number of live instances must be unchanged where the store does not return the number
	// of registered ones: a few rounds of exchanges.
	joinStableTime = 400 * time.Millisecond
)

// Starting reports whether this instance started less than maxJoinWait ago; other instances may be starting too.
func (i *Instance[L]) Starting() bool { return clock.Since(i.startedAt) < maxJoinWait }

// joined reports whether this instance knows enough of the fleet to act as a home.
//
// An instance that has just started knows few others. If it computed the homes
// from these, it would be a home of every group, and after a restart of
// all instances each of them would be.
func (i *Instance[L]) joined() bool {
	if i.hasJoined.Load() {
		return true
	}
	alive, _ := i.counts()
	registered := int(i.registered.Load())
	if !joinComplete(alive, registered, clock.Since(i.startedAt), i.aliveStableFor(alive)) {
		return false
	}
	if i.hasJoined.CompareAndSwap(false, true) {
		logLine(i.cfg.Logger, "level", "info", "msg", "settled", "alive", alive, "registered", registered,
			"after_ms", clock.Since(i.startedAt).Milliseconds())
	}
	return true
}

// aliveStableFor returns how long the number of live instances has been unchanged.
func (i *Instance[L]) aliveStableFor(alive int) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := clock.Now()
	if alive != i.lastAlive {
		i.lastAlive, i.aliveChangedAt = alive, now
	}
	return now.Sub(i.aliveChangedAt)
}

// joinComplete reports whether an instance of the given age can stop waiting for its peers.
//
// alive is the number of live instances that it knows, which has been unchanged for stable; registered is the number of
// registered instances, or 0 if that is not known.
func joinComplete(alive, registered int, age, stable time.Duration) bool {
	switch {
	case age >= maxJoinWait:
		return true
	case registered > 0:
		return float64(alive) >= joinedFraction*float64(registered)
	}
	return alive > 1 && stable >= joinStableTime
}

// knowsFleet reports whether this instance can compute the homes of a group: it has joined the fleet, or it knows from the
// registrations which instances to expect.
func (i *Instance[L]) knowsFleet() bool { return i.joined() || i.expectsFleet.Load() }

// isHome reports whether this instance is a home of a group.
func (i *Instance[L]) isHome(group string) bool {
	if !i.knowsFleet() {
		return false
	}
	for _, home := range i.homes(group) {
		if home.Name() == i.cfg.Name {
			return true
		}
	}
	return false
}

// Homes returns the addresses to which a caller of a database is forwarded, or none if this instance accepts the
// caller or knows no contract of the database. An instance that is not registered accepts callers only if it knows no other home.
//
// With an account, the homes are in the order that the account prefers, and this instance forwards even if it is a home
// that the account prefers less. Without one, homes in this data centre come first, in random order. Homes that have not
// been heard from since this instance started come last.
func (i *Instance[L]) Homes(database, account string) []string {
	c, ok := i.directory.Contract(database)
	if !ok {
		return nil
	}
	group := c.Databases()[0].Group()
	if account != "" {
		return i.homesOfAccount(group, account)
	}
	if i.isRegistered() && (i.isHome(group) || i.members.keepsSessions(group, clock.Now())) {
		return nil
	}
	var local, remote, missing []string
	homes := i.homes(group)
	for _, n := range rand.Perm(len(homes)) {
		home := homes[n]
		if home.Name() == i.cfg.Name {
			continue
		}
		address, ok := i.forwardAddress(home)
		if !ok {
			continue
		}
		switch {
		case i.isMissing(home.Name()):
			missing = append(missing, address)
		case home.DataCentre() == i.cfg.DataCentre:
			local = append(local, address)
		default:
			remote = append(remote, address)
		}
	}
	return append(append(local, remote...), missing...)
}

// homesOfAccount returns the addresses of the homes of a group that an account prefers to this instance, or none if this
// instance is the first that is not missing.
func (i *Instance[L]) homesOfAccount(group, account string) []string {
	var first, missing []string
	for _, home := range i.accountHomes(group, account) {
		self := home.Name() == i.cfg.Name
		address, ok := i.forwardAddress(home)
		switch {
		case self && len(first) == 0 && i.isRegistered() && i.isHome(group):
			return nil
		case self || !ok:
		case i.isMissing(home.Name()):
			missing = append(missing, address)
		default:
			first = append(first, address)
		}
	}
	return append(first, missing...)
}

// forwardAddress returns the address at which an instance accepts forwarded sessions.
func (i *Instance[L]) forwardAddress(instance membership.Identity) (address string, ok bool) {
	host, _, err := net.SplitHostPort(instance.PeerAddress())
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(host, i.cfg.ForwardPort), true
}

// isMissing reports whether an instance is expected and has not been heard from.
func (i *Instance[L]) isMissing(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, identity := range i.missing {
		if identity.Name() == name {
			return true
		}
	}
	return false
}

// GroupRank returns this instance's rank among the homes of a group, from 0, and the number of the other homes that count
// towards a majority, including an estimate of those first seen dead within deadRetention. If this instance is not a home,
// rank is the number of homes.
func (i *Instance[L]) GroupRank(group string) (rank, others int) {
	homes := i.homes(group)
	rank = len(homes)
	for n, home := range homes {
		if home.Name() == i.cfg.Name {
			rank = n
		}
	}
	alive, recentlyDead := i.counts()
	// The homes' share of the recently dead instances, rounded up, counts as dead homes.
	deadHomes := (recentlyDead*len(homes) + alive - 1) / max(1, alive)
	return rank, max(0, len(homes)-1) + min(deadHomes, recentlyDead)
}

// counts returns the number of live instances, and the number of those first seen dead within deadRetention.
func (i *Instance[L]) counts() (alive, recentlyDead int) {
	live, digest := i.node.LiveInstances()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.invalidateHomesLocked(digest)
	return len(live), i.deadWithinLocked(deadRetention)
}

// otherInstances returns the number of the other instances believed alive.
func (i *Instance[L]) otherInstances() int {
	alive, _ := i.counts()
	return alive - 1
}

// deadWithinLocked returns the number of instances first seen dead within a time before now.
func (i *Instance[L]) deadWithinLocked(d time.Duration) (n int) {
	now := clock.Now()
	for _, since := range i.deadSince {
		if now.Sub(since) < d {
			n++
		}
	}
	return n
}
