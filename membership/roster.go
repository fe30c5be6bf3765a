package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IdentityConfig lists what names one run of an instance.
type IdentityConfig struct {
	Number      uint32
	Incarnation uint64
	Name        string
	PeerAddress string
	DataCentre  string
	// Capacity is the instance's share of the work, in thousandths of a core; 0 means unknown.
	Capacity uint32
}

// Identity names one run of an instance.
type Identity struct {
	cfg IdentityConfig
}

// NewIdentity returns the identity described by cfg.
func NewIdentity(cfg IdentityConfig) Identity { return Identity{cfg: cfg} }

// Number returns the instance's seat, from 1.
func (i Identity) Number() uint32 { return i.cfg.Number }

// Incarnation returns a number that grows with each run.
func (i Identity) Incarnation() uint64 { return i.cfg.Incarnation }

// Name returns the instance's name.
func (i Identity) Name() string { return i.cfg.Name }

// PeerAddress returns where the instance listens for peers.
func (i Identity) PeerAddress() string { return i.cfg.PeerAddress }

// DataCentre returns the instance's data centre.
func (i Identity) DataCentre() string { return i.cfg.DataCentre }

// State is what is thought of an instance.
type State uint8

// The states of an instance.
const (
	StateAlive State = iota
	StateDead
	StateLeft
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"alive", "dead", "left"}[min(s, StateLeft)] }

// Presence is the state of one instance as it spreads.
type Presence struct {
	identity Identity
	state    State
}

// NewPresence returns the presence of an instance in a state.
func NewPresence(identity Identity, state State) Presence {
	return Presence{identity: identity, state: state}
}

// Identity returns whose presence it is.
func (p Presence) Identity() Identity { return p.identity }

// State returns the instance's state.
func (p Presence) State() State { return p.state }

// RosterConfig describes an instance's view of the fleet.
type RosterConfig struct {
	Self      Identity
	Fanout    int
	DeadAfter time.Duration
}

// Roster tracks the other instances; it is not safe for concurrent use.
type Roster struct {
	cfg       RosterConfig
	presences *Items[Presence]
	heardAt   map[string]time.Time
	watched   map[string]time.Time
	turn      int
	view      view
}

// view is what follows from the presences; it is made anew when they change.
type view struct {
	digest Digest
	known  bool
	alive  []Identity
	// ring holds the other live instances in ring order after this one.
	ring []Identity
}

// NewRoster returns a roster that knows only the instance itself.
func NewRoster(cfg RosterConfig) *Roster {
	r := &Roster{
		cfg:       cfg,
		presences: NewItems[Presence](),
		heardAt:   map[string]time.Time{},
		watched:   map[string]time.Time{},
	}
	r.presences.Apply(NewItem(cfg.Self.Name(), Revision(cfg.Self.Incarnation()), NewPresence(cfg.Self, StateAlive)))
	return r
}

// Presences returns the spreading set of presences.
func (r *Roster) Presences() *Items[Presence] { return r.presences }

// Self returns the instance itself.
func (r *Roster) Self() Identity { return r.cfg.Self }

// Apply takes a presence from a peer; one that declares this very run dead is refuted.
func (r *Roster) Apply(item Item[Presence]) bool {
	if item.key != r.cfg.Self.Name() {
		return r.presences.Apply(item)
	}
	if item.value.state == StateAlive && item.value.identity.Incarnation() == r.cfg.Self.Incarnation() {
		return r.presences.Apply(item)
	}
	held, _ := r.presences.Get(item.key)
	if item.revision < held.revision || held.value.state == StateLeft {
		return false
	}
	return r.presences.Apply(NewItem(item.key, item.revision+1, NewPresence(r.cfg.Self, StateAlive)))
}

// Heard notes a message that came straight from an instance at now; a message proves that its run is alive.
func (r *Roster) Heard(now time.Time, from Identity) {
	if from.Name() == r.cfg.Self.Name() {
		return
	}
	r.heardAt[from.Name()] = now
	if _, ok := r.watched[from.Name()]; ok {
		r.watched[from.Name()] = now
	}
	held, ok := r.presences.Get(from.Name())
	switch {
	case !ok:
		r.presences.Apply(NewItem(from.Name(), Revision(from.Incarnation()), NewPresence(from, StateAlive)))
	case held.value.identity.Incarnation() < from.Incarnation():
		revision := max(held.revision+1, Revision(from.Incarnation()))
		r.presences.Apply(NewItem(from.Name(), revision, NewPresence(from, StateAlive)))
	}
}

// HeardAt returns when an instance was last heard directly; it is zero for never.
func (r *Roster) HeardAt(name string) time.Time { return r.heardAt[name] }

// Leave marks this instance as left and returns its last presence.
func (r *Roster) Leave() {
	held, _ := r.presences.Get(r.cfg.Self.Name())
	r.presences.Apply(NewItem(held.key, held.revision+1, NewPresence(r.cfg.Self, StateLeft)))
}

// Alive returns the instances in the state alive, this one included, ordered by name; the caller must not change the result.
func (r *Roster) Alive() []Identity { return r.current().alive }

// Others returns the live instances but this one, in ring order; the caller must not change the result.
func (r *Roster) Others() []Identity { return r.current().ring }

// current returns the view of the present set of presences.
func (r *Roster) current() *view {
	digest := r.presences.Digest()
	if r.view.known && r.view.digest == digest {
		return &r.view
	}
	r.view = view{digest: digest, known: true}
	for _, item := range r.presences.All() {
		if item.value.state != StateAlive {
			continue
		}
		r.view.alive = append(r.view.alive, item.value.identity)
		if item.key != r.cfg.Self.Name() {
			r.view.ring = append(r.view.ring, item.value.identity)
		}
	}
	r.sortRing()
	return &r.view
}

// sortRing orders the ring by the distance of each name's hash from this instance's.
func (r *Roster) sortRing() {
	self := xxhash.Sum64String(r.cfg.Self.Name())
	distance := make(map[string]uint64, len(r.view.ring))
	for _, one := range r.view.ring {
		distance[one.Name()] = xxhash.Sum64String(one.Name()) - self
	}
	sort.Slice(r.view.ring, func(i, j int) bool {
		return distance[r.view.ring[i].Name()] < distance[r.view.ring[j].Name()]
	})
}

// Targets returns the peers to exchange with next: the instances that this one watches, and one other in turn.
//
// Each instance watches the Fanout live ones that follow it on a ring ordered by
// the hash of their names, so each is watched by as many whatever the fleet's size.
func (r *Roster) Targets(now time.Time) []Identity {
	ring := r.current().ring
	n := min(r.cfg.Fanout, len(ring))
	targets := append([]Identity(nil), ring[:n]...)
	watched := make(map[string]time.Time, n)
	for _, one := range targets {
		since, ok := r.watched[one.Name()]
		if !ok {
			since = now
		}
		watched[one.Name()] = since
	}
	r.watched = watched
	rest := ring[n:]
	if len(rest) > 0 {
		r.turn++
		targets = append(targets, rest[r.turn%len(rest)])
	}
	return targets
}

// Expire declares dead the watched instances that have not answered for DeadAfter, and returns them.
func (r *Roster) Expire(now time.Time) []Identity {
	var dead []Identity
	// The ring may have changed since the targets were chosen: who was not asked cannot have failed to answer.
	for _, one := range r.current().ring {
		since, ok := r.watched[one.Name()]
		if !ok || now.Sub(since) < r.cfg.DeadAfter {
			continue
		}
		held, _ := r.presences.Get(one.Name())
		r.presences.Apply(NewItem(one.Name(), held.revision+1, NewPresence(one, StateDead)))
		delete(r.watched, one.Name())
		dead = append(dead, one)
	}
	return dead
}

// Capacity returns the instance's share of the work, in thousandths of a core.
func (i Identity) Capacity() uint32 { return i.cfg.Capacity }

// weight is the rendezvous weight of a name for a key.
func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank orders names by their rendezvous weight for key, highest first.
func Rank(key string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = weight(key, name)
	}
	out := append([]string(nil), names...)
	sort.Slice(out, func(i, j int) bool {
		return outranks(weights[out[i]], out[i], weights[out[j]], out[j])
	})
	return out
}

func outranks(weightA uint64, a string, weightB uint64, b string) bool {
	if weightA != weightB {
		return weightA > weightB
	}
	return a < b
}

// Place returns the place that Rank would give self among the instances and itself, without ordering them.
func Place(key string, instances []Identity, self string) int {
	own := weight(key, self)
	place := 0
	for _, one := range instances {
		if outranks(weight(key, one.Name()), one.Name(), own, self) {
			place++
		}
	}
	return place
}
