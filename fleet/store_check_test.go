package fleet_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/store"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// Load: the store turns away a third of a large fleet, among them all instances that follow it. A new configuration must be
// found by another instance early enough to spread within five seconds, and the calls of all instances together must not
// grow with the fleet.
func TestStoreChecksFindChangesThatFollowersMiss(t *testing.T) {
	const (
		turnedAway = 0.35
		bound      = 3 * time.Second
		trials     = 2000
	)
	for _, n := range []int{17, 74, 300, 3500} {
		perSecond := float64(n) * fleet.StoreCheckChance(n) / fleet.StoreCheckTick.Seconds()
		if want := 1 / fleet.StoreCheckInterval.Seconds(); perSecond > want+0.01 {
			t.Errorf("%d instances check the store %.2f times a second, want at most %.2f", n, perSecond, want)
		}
		r := rand.New(rand.NewPCG(uint64(n), 1))
		late := 0
		for range trials {
			ticks := int(bound / fleet.StoreCheckTick)
			found := false
			for range ticks * int(float64(n)*(1-turnedAway)) {
				found = found || r.Float64() < fleet.StoreCheckChance(n)
			}
			if !found {
				late++
			}
		}
		if share := float64(late) / trials; share > 0.002 {
			t.Errorf("%d instances: no check within %v in %.2f%% of the trials", n, bound, 100*share)
		}
	}
}

// Load: the answers to all calls that wait for changes are lost at once, in fleets of every size. One of the instances must find a
// new configuration early enough to spread within three seconds, and a leaving endpoint within the seven for which it serves.
func TestStoreChecksFindChangesThatAllInstancesMiss(t *testing.T) {
	const trials = 5000
	for _, n := range []int{1, 2, 3, 4, 5, 9, 13, 16, 17, 31, 102, 300} {
		r := rand.New(rand.NewPCG(uint64(n), 2))
		for _, table := range []struct {
			name   string
			bound  time.Duration
			chance float64
		}{
			{"configuration", 2 * time.Second, fleet.StoreCheckChance(n)},
			{"endpoints", 7 * time.Second, fleet.StoreCheckChance(n) * fleet.EndpointCheckChance(n)},
		} {
			late := 0
			for range trials {
				found := false
				for range int(table.bound/fleet.StoreCheckTick) * n {
					found = found || r.Float64() < table.chance
				}
				if !found {
					late++
				}
			}
			if share := float64(late) / trials; share > 0.002 {
				t.Errorf("%d instances: no check of the %s within %v in %.2f%% of the trials", n, table.name, table.bound, 100*share)
			}
		}
	}
}

// Load: a partition separates an instance from its source of evidence and from the instances that it exchanges heartbeats
// with, but not from the store. It must not wait for its turn among hundreds, nor check more than once a tick.
func TestInstanceWithoutSourceChecksTheStore(t *testing.T) {
	for _, c := range []struct {
		name       string
		sinceLast  time.Duration
		sourceLost bool
		random     float64
		want       bool
	}{
		{"its source failed", time.Minute, true, 0.99, true},
		{"its source failed again within a tick", fleet.StoreCheckTick / 2, true, 0, false},
		{"its source answers", time.Minute, false, 0.99, false},
		{"its turn", time.Minute, false, 0, true},
	} {
		if got := fleet.StoreCheckDue(c.sinceLast, c.sourceLost, 300, c.random); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// readCounter counts the bytes of the rows that calls return.
type readCounter struct {
	store.Store
	bytes int
}

func (c *readCounter) count(s store.Snapshot, err error) (store.Snapshot, error) {
	for _, r := range s.Rows {
		c.bytes += len(r.Value)
	}
	return s, err
}

func (c *readCounter) All(ctx context.Context, table string) (store.Snapshot, error) {
	return c.count(c.Store.All(ctx, table))
}

func (c *readCounter) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Snapshot, error) {
	return c.count(c.Store.Changes(ctx, table, version, wait))
}

// Load: heartbeats fail on a narrow link, so that an instance checks the store at every tick, and the configuration is large.
// If each check read it again, the link would stay full, and the heartbeats would fail for good.
func TestStoreChecksReadOnlyChanges(t *testing.T) {
	// size is in bytes.
	const size, checks = 200_000, 20
	rows := storetest.New()
	rows.Put("op", "config", make([]byte, size))
	s := &readCounter{Store: rows}
	var newest store.Snapshot
	step := fleet.CatchUp(s, "op", func(s store.Snapshot) { newest = s })
	check := func() {
		t.Helper()
		if err := step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for range checks {
		check()
	}
	if s.bytes != size {
		t.Errorf("%d checks read %d bytes, want the %d of one configuration", checks, s.bytes, size)
	}
	rows.Put("op", "config", []byte("newer"))
	check()
	if row, ok := newest.Row("config"); !ok || string(row.Value) != "newer" {
		t.Error("a check does not apply the changed configuration")
	}
	rows.Put("op", "config", []byte("newest"))
	rows.Compact()
	if err := step(t.Context()); fault.KindOf(err) != fault.KindStale {
		t.Fatalf("error %v after the history was dropped, want KindStale", err)
	}
	check()
	if row, ok := newest.Row("config"); !ok || string(row.Value) != "newest" {
		t.Error("a check does not read the table again after the history was dropped")
	}
}
