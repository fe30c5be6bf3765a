package membership

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IdentityConfig describes one run of an instance.
type IdentityConfig struct {
	Seat        uint32
	Incarnation uint64
	Name        string
	PeerAddress string
	DataCentre  string
	// Capacity is the instance's CPU share in thousandths of a core; 0 means that it is not known.
	Capacity uint32
}

// Identity identifies one run of an instance.
type Identity struct {
	cfg IdentityConfig
}

// NewIdentity returns the identity described by cfg.
func NewIdentity(cfg IdentityConfig) Identity { return Identity{cfg: cfg} }

// Seat returns the number of the instance's seat, from 1.
func (i Identity) Seat() uint32 { return i.cfg.Seat }

// Incarnation returns a number that grows with each run.
func (i Identity) Incarnation() uint64 { return i.cfg.Incarnation }

// Name returns the instance's name.
func (i Identity) Name() string { return i.cfg.Name }

// PeerAddress returns the address at which the instance listens for peers.
func (i Identity) PeerAddress() string { return i.cfg.PeerAddress }

// DataCentre returns the instance's data centre.
func (i Identity) DataCentre() string { return i.cfg.DataCentre }

// State is the membership state of an instance.
type State uint8

// The states of an instance.
const (
	// StateAlive means that the instance has not left and has not been declared dead.
	StateAlive State = iota
	// StateDead means that an instance that watched it declared it dead.
	StateDead
	// StateLeft means that the instance announced that it leaves, as Roster.Leave does.
	StateLeft
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"alive", "dead", "left"}[min(s, StateLeft)] }

// Presence is the state of one instance, as instances exchange it.
type Presence struct {
	identity Identity
	state    State
}

// NewPresence returns the presence of an instance in a state.
func NewPresence(identity Identity, state State) Presence {
	return Presence{identity: identity, state: state}
}

// Identity returns the identity of the instance.
func (p Presence) Identity() Identity { return p.identity }

// State returns the instance's state.
func (p Presence) State() State { return p.state }

// RosterConfig describes an instance and its failure detection.
type RosterConfig struct {
	Self Identity
	// Fanout is the number of other instances that the instance watches.
	Fanout int
	// DeadAfter is how long a watched instance may be silent before it is declared dead.
	DeadAfter time.Duration
}

// Roster tracks the other instances; it is not safe for concurrent use.
type Roster struct {
	cfg       RosterConfig
	presences *Items[Presence]
	// receivedAt is when a message from each instance was last received.
	receivedAt map[string]time.Time
	// silentSince is, for each watched instance, when it last sent a message or, if later, when the watch began.
	silentSince map[string]time.Time
	rotation    int
	view        view
}

// view is computed from the presences, and again when they change.
type view struct {
	digest Digest
	valid  bool
	alive  []Identity
	// ring holds the other live instances in ring order, starting after this one.
	ring []Identity
}

// NewRoster returns a roster that holds only the instance itself.
func NewRoster(cfg RosterConfig) *Roster {
	r := &Roster{
		cfg:         cfg,
		presences:   NewItems[Presence](),
		receivedAt:  map[string]time.Time{},
		silentSince: map[string]time.Time{},
	}
	r.presences.Apply(NewItem(cfg.Self.Name(), Revision(cfg.Self.Incarnation()), NewPresence(cfg.Self, StateAlive)))
	return r
}

// Presences returns the presences, which instances exchange.
func (r *Roster) Presences() *Items[Presence] { return r.presences }

// Self returns the instance itself.
func (r *Roster) Self() Identity { return r.cfg.Self }

// Apply applies a presence from a peer; it refutes one that declares this run of the instance dead.
func (r *Roster) Apply(item Item[Presence]) bool {
	if item.key != r.cfg.Self.Name() {
		return r.presences.Apply(item)
	}
	if item.value.state == StateAlive && item.value.identity.Incarnation() == r.cfg.Self.Incarnation() {
		return r.presences.Apply(item)
	}
	current, _ := r.presences.Get(item.key)
	if item.revision < current.revision || current.value.state == StateLeft {
		return false
	}
	return r.presences.Apply(NewItem(item.key, item.revision+1, NewPresence(r.cfg.Self, StateAlive)))
}

// RecordMessage records a message received directly from an instance at now.
//
// It marks an instance that was not known, or a newer run of a known one, as
// alive. A run that was declared dead refutes this itself, as Apply does.
func (r *Roster) RecordMessage(now time.Time, from Identity) {
	if from.Name() == r.cfg.Self.Name() {
		return
	}
	r.receivedAt[from.Name()] = now
	if _, ok := r.silentSince[from.Name()]; ok {
		r.silentSince[from.Name()] = now
	}
	current, ok := r.presences.Get(from.Name())
	switch {
	case !ok:
		r.presences.Apply(NewItem(from.Name(), Revision(from.Incarnation()), NewPresence(from, StateAlive)))
	case current.value.identity.Incarnation() < from.Incarnation():
		revision := max(current.revision+1, Revision(from.Incarnation()))
		r.presences.Apply(NewItem(from.Name(), revision, NewPresence(from, StateAlive)))
	}
}

// LastMessageAt returns when a message was last received directly from an instance; it is zero if none was.
func (r *Roster) LastMessageAt(name string) time.Time { return r.receivedAt[name] }

// Leave marks this instance as left.
func (r *Roster) Leave() {
	current, _ := r.presences.Get(r.cfg.Self.Name())
	r.presences.Apply(NewItem(current.key, current.revision+1, NewPresence(r.cfg.Self, StateLeft)))
}

// Alive returns the instances in the state alive, this one included, ordered by name; the caller must not change the result.
func (r *Roster) Alive() []Identity { return r.current().alive }

// Others returns the other live instances in ring order; the caller must not change the result.
func (r *Roster) Others() []Identity { return r.current().ring }

// current returns the view of the current presences.
func (r *Roster) current() *view {
	digest := r.presences.Digest()
	if r.view.valid && r.view.digest == digest {
		return &r.view
	}
	r.view = view{digest: digest, valid: true}
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
	type place struct {
		distance uint64
		instance Identity
	}
	self := xxhash.Sum64String(r.cfg.Self.Name())
	places := make([]place, len(r.view.ring))
	for n, other := range r.view.ring {
		places[n] = place{distance: xxhash.Sum64String(other.Name()) - self, instance: other}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.distance, b.distance) })
	for n, p := range places {
		r.view.ring[n] = p.instance
	}
}

// Targets returns the peers of the next exchange: the instances that this one watches, and one of the others in rotation.
//
// Each instance watches the Fanout live ones that follow it on a ring ordered by the hash of their names, so the
// number of watchers of an instance does not depend on the fleet's size.
func (r *Roster) Targets(now time.Time) []Identity {
	ring := r.current().ring
	n := min(r.cfg.Fanout, len(ring))
	targets := append([]Identity(nil), ring[:n]...)
	silentSince := make(map[string]time.Time, n)
	for _, target := range targets {
		since, ok := r.silentSince[target.Name()]
		if !ok {
			since = now
		}
		silentSince[target.Name()] = since
	}
	r.silentSince = silentSince
	rest := ring[n:]
	if len(rest) > 0 {
		r.rotation++
		targets = append(targets, rest[r.rotation%len(rest)])
	}
	return targets
}

// Expire declares dead the watched instances that have been silent for DeadAfter, and returns them.
func (r *Roster) Expire(now time.Time) []Identity {
	var dead []Identity
	// The ring may have changed since the targets were chosen: an instance that is not watched was not contacted, so it
	// cannot have failed to answer.
	for _, instance := range r.current().ring {
		since, ok := r.silentSince[instance.Name()]
		if !ok || now.Sub(since) < r.cfg.DeadAfter {
			continue
		}
		current, _ := r.presences.Get(instance.Name())
		r.presences.Apply(NewItem(instance.Name(), current.revision+1, NewPresence(instance, StateDead)))
		delete(r.silentSince, instance.Name())
		dead = append(dead, instance)
	}
	return dead
}

// Capacity returns the instance's CPU share in thousandths of a core, or 0 if it is not known.
func (i Identity) Capacity() uint32 { return i.cfg.Capacity }

// weight returns the rendezvous weight of a name for a key.
func weight(key, name string) uint64 {
	var buffer [128]byte
	text := append(buffer[:0], key...)
	text = append(text, 0)
	return xxhash.Sum64(append(text, name...))
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

// RankOf returns the rank, from 0, that Rank would give self among the instances and itself, without sorting them.
func RankOf(key string, instances []Identity, self string) int {
	own := weight(key, self)
	rank := 0
	for _, instance := range instances {
		if outranks(weight(key, instance.Name()), instance.Name(), own, self) {
			rank++
		}
	}
	return rank
}
