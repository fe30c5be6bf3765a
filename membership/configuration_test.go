package membership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/membership"
)

// TestMain fixes the seed of property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4000")
	}
	os.Exit(m.Run())
}

const (
	bound = 5 * time.Second
	key   = "contract/baird-lennox"
)

var names = []string{"a", "b", "c", "d", "e"}

// holder is one instance's configuration in the model.
type holder struct {
	name      string
	items     *membership.Items[int]
	freshness *membership.Freshness
	// highest is the highest revision in force so far, below which the revision must not fall while the process runs.
	highest membership.Revision
}

func newHolder(name string, now time.Time) *holder {
	return &holder{
		name:      name,
		items:     membership.NewItems[int](),
		freshness: membership.NewFreshness(membership.FreshnessConfig{Self: name, Bound: bound, StartedAt: now}),
	}
}

func (h *holder) revision() membership.Revision {
	item, _ := h.items.Get(key)
	return item.Revision()
}

// accepted is a revision and the time at which its acceptance was reported.
type accepted struct {
	revision membership.Revision
	at       time.Time
}

// configModel is a model of instances around one table, with partitions and outages.
type configModel struct {
	now              time.Time
	table            membership.Revision
	down             bool
	tableUnreachable map[string]bool
	partitioned      map[[2]string]bool
	holders          map[string]*holder
	accepted         []accepted
}

func (m *configModel) reachable(a, b string) bool {
	return !m.partitioned[[2]string{a, b}] && !m.partitioned[[2]string{b, a}]
}

func (m *configModel) drawHolder(t *rapid.T, label string) *holder {
	return m.holders[rapid.SampledFrom(names).Draw(t, label)]
}

// poll reads the table from a random instance.
func (m *configModel) poll(t *rapid.T) {
	h := m.drawHolder(t, "reader")
	if m.down || m.tableUnreachable[h.name] {
		return
	}
	h.items.Apply(membership.NewItem(key, m.table, 0))
	h.freshness.TableRead(m.now)
}

// exchange is a heartbeat with repair between two random instances.
func (m *configModel) exchange(t *rapid.T) {
	a, b := m.drawHolder(t, "from"), m.drawHolder(t, "to")
	if a == b || !m.reachable(a.name, b.name) {
		return
	}
	for _, item := range b.items.Differing(a.items.BucketDigests(), 100) {
		a.items.Apply(item)
	}
	for _, item := range a.items.Deltas(10, len(names)) {
		b.items.Apply(item)
	}
	a.freshness.Exchanged(m.now, b.name, b.freshness.Proof(m.now), names)
}

// accept commits a revision and acknowledges it once a majority of the witnesses holds it.
func (m *configModel) accept(t *rapid.T) {
	h := m.drawHolder(t, "operator")
	if m.down || m.tableUnreachable[h.name] {
		return
	}
	m.table++
	item := membership.NewItem(key, m.table, 0)
	h.items.Apply(item)
	copies := 1
	for _, name := range names {
		if name != h.name && m.reachable(h.name, name) {
			m.holders[name].items.Apply(item)
			copies++
		}
	}
	if 2*copies > len(names) {
		m.accepted = append(m.accepted, accepted{revision: m.table, at: m.now})
	}
}

func (m *configModel) check(t *rapid.T) {
	for _, name := range names {
		h := m.holders[name]
		r := h.revision()
		if r < h.highest {
			t.Fatalf("the revision of %s fell from %d to %d", name, h.highest, r)
		}
		h.highest = r
		if !h.freshness.Current(m.now) {
			continue
		}
		for _, a := range m.accepted {
			if m.now.Sub(a.at) > bound && r < a.revision {
				t.Fatalf("%s serves under revision %d; %d was accepted %v ago", name, r, a.revision, m.now.Sub(a.at))
			}
		}
	}
}

// TestAcceptedRevisionIsInForceWithinTheBound checks, under partitions, outages, restarts and changes of the configuration,
// that no current instance serves under a revision older than one that was acknowledged more than the bound ago.
func TestAcceptedRevisionIsInForceWithinTheBound(t *testing.T) {
	current := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &configModel{now: time.Unix(1000, 0), tableUnreachable: map[string]bool{}, partitioned: map[[2]string]bool{}, holders: map[string]*holder{}}
		for _, name := range names {
			m.holders[name] = newHolder(name, m.now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"poll":     m.poll,
			"exchange": m.exchange,
			"accept":   m.accept,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"outage": func(t *rapid.T) { m.down = rapid.Bool().Draw(t, "down") },
			"lose table": func(t *rapid.T) {
				m.tableUnreachable[rapid.SampledFrom(names).Draw(t, "name")] = rapid.Bool().Draw(t, "lost")
			},
			"cut": func(t *rapid.T) {
				pair := [2]string{rapid.SampledFrom(names).Draw(t, "one"), rapid.SampledFrom(names).Draw(t, "other")}
				m.partitioned[pair] = rapid.Bool().Draw(t, "cut")
			},
			"restart": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "name")
				m.holders[name] = newHolder(name, m.now)
			},
			"": func(t *rapid.T) {
				m.check(t)
				for _, h := range m.holders {
					if h.freshness.Current(m.now) {
						current++
					}
				}
			},
		})
	})
	if current == 0 {
		t.Error("no instance was ever current")
	}
}

func TestDigestsRepairMissedDeltas(t *testing.T) {
	a, b := membership.NewItems[int](), membership.NewItems[int]()
	for n := range 500 {
		item := membership.NewItem(fmt.Sprintf("contract/c-%d", n), 1, n)
		a.Apply(item)
		if n%7 != 0 {
			b.Apply(item)
		}
	}
	if a.Digest() == b.Digest() {
		t.Fatal("the digests of different sets are equal")
	}
	for _, item := range a.Differing(b.BucketDigests(), 1000) {
		b.Apply(item)
	}
	if a.Digest() != b.Digest() || a.Len() != b.Len() {
		t.Errorf("after repair %d items, want %d with the same digest", b.Len(), a.Len())
	}
}

func identity(name string, incarnation uint64) membership.Identity {
	return membership.NewIdentity(membership.IdentityConfig{Name: name, Incarnation: incarnation, PeerAddress: name})
}

func TestTargetsAreBoundedAndSilentPeersExpire(t *testing.T) {
	const fanout = 3
	now := time.Unix(1000, 0)
	r := membership.NewRoster(membership.RosterConfig{Self: identity("n0", 1), Fanout: fanout, DeadAfter: 3 * time.Second})
	for n := range 200 {
		r.Apply(membership.NewItem(fmt.Sprintf("n%d", n+1), 1, membership.NewPresence(identity(fmt.Sprintf("n%d", n+1), 1), membership.StateAlive)))
	}
	targets := r.Targets(now)
	if len(targets) != fanout+1 {
		t.Fatalf("%d targets, want %d whatever the fleet's size", len(targets), fanout+1)
	}
	silent := targets[0]
	for s := 1; s <= 4; s++ {
		at := now.Add(time.Duration(s) * time.Second)
		for _, target := range r.Targets(at) {
			if target.Name() != silent.Name() {
				r.RecordMessage(at, target)
			}
		}
	}
	dead := r.Expire(now.Add(4 * time.Second))
	if len(dead) != 1 || dead[0].Name() != silent.Name() {
		t.Errorf("declared dead: %v, want only %s", dead, silent.Name())
	}
}

func TestLiveInstanceRefutesItsDeath(t *testing.T) {
	r := membership.NewRoster(membership.RosterConfig{Self: identity("a", 5), Fanout: 3, DeadAfter: time.Second})
	r.Apply(membership.NewItem("a", 6, membership.NewPresence(identity("a", 5), membership.StateDead)))
	item, _ := r.Presences().Get("a")
	if item.Value().State() != membership.StateAlive || item.Revision() != 7 {
		t.Errorf("presence %v at revision %d, want alive at 7", item.Value().State(), item.Revision())
	}
}

func TestRankMovesFewKeysWhenInstanceLeaves(t *testing.T) {
	var fleet []string
	for n := range 50 {
		fleet = append(fleet, fmt.Sprintf("n%d", n))
	}
	moved := 0
	const keys = 1000
	for k := range keys {
		key := fmt.Sprintf("group/%d", k)
		if membership.Rank(key, fleet)[0] != membership.Rank(key, fleet[1:])[0] {
			moved++
		}
	}
	if rank := membership.RankOf("group/1", []membership.Identity{identity("n1", 1), identity("n2", 1), identity("n3", 1)}, "n2"); membership.Rank("group/1", []string{"n1", "n2", "n3"})[rank] != "n2" {
		t.Errorf("RankOf returned %d, where Rank has another instance", rank)
	}
	if moved > 3*keys/len(fleet) {
		t.Errorf("%d of %d keys moved when one of %d left", moved, keys, len(fleet))
	}
}

// Guards against a restarted witness that proves another instance current though it has lost its revisions; the property
// test found this case first.
func TestRestartedWitnessDoesNotProveFreshness(t *testing.T) {
	now := time.Unix(1000, 0)
	f := membership.NewFreshness(membership.FreshnessConfig{Self: "b", Bound: bound, StartedAt: now})
	for _, peer := range []string{"a", "c", "d"} {
		f.Exchanged(now, peer, membership.Proof{}, names)
	}
	if f.Current(now) {
		t.Error("instances that have just started proved another one current")
	}
	f.TableRead(now)
	for _, peer := range []string{"a", "d"} {
		f.Exchanged(now.Add(time.Second), peer, membership.Proof{Witness: true}, names)
	}
	if f.AsOf() != now.Add(time.Second) {
		t.Errorf("current as of %v, want the exchange with a majority", f.AsOf())
	}
}
