package membership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/monsoontiller/monsoontiller/membership"
)

// unequalFleet returns small instances, and large ones with four times their capacity.
func unequalFleet(small, large int) []membership.Identity {
	var out []membership.Identity
	for i := range small + large {
		capacity := uint32(200)
		if i >= small {
			capacity = 800
		}
		out = append(out, membership.NewIdentity(membership.IdentityConfig{Name: fmt.Sprintf("i%d", i), Capacity: capacity}))
	}
	return out
}

func TestHomesAreProportionalToCapacity(t *testing.T) {
	fleet := unequalFleet(70, 8)
	homes := map[uint32]int{}
	const groups, count = 400, 10
	for g := range groups {
		for _, home := range membership.Homes(fmt.Sprintf("g%d", g), fleet, count) {
			homes[home.Capacity()]++
		}
	}
	small := float64(homes[200]) / 70
	big := float64(homes[800]) / 8
	if ratio := big / small; ratio < 2.5 || ratio > 5 {
		t.Errorf("a big instance is home %.1f times as often as a small one, want about 4", ratio)
	}
}

// An instance that leaves moves only its own homes.
func TestLeavingInstanceMovesOnlyItsHomes(t *testing.T) {
	fleet := unequalFleet(40, 4)
	moved, total := 0, 0
	for g := range 100 {
		key := fmt.Sprintf("g%d", g)
		before := map[string]bool{}
		for _, home := range membership.Homes(key, fleet, 6) {
			before[home.Name()] = true
		}
		for _, home := range membership.Homes(key, fleet[1:], 6) {
			total++
			if !before[home.Name()] {
				moved++
			}
		}
		if before[fleet[0].Name()] {
			moved--
		}
	}
	if moved != 0 {
		t.Errorf("%d of %d homes moved besides those of the instance that left", moved, total)
	}
}

func TestHomesAreAllOfASmallFleet(t *testing.T) {
	if got := len(membership.Homes("g", unequalFleet(3, 0), 10)); got != 3 {
		t.Errorf("%d homes of 3 instances", got)
	}
}

// Guards against a partitioned data centre without a home. With a home in each data centre, its callers are served within
// it, and without a partition they cause no traffic between data centres.
func TestEachDataCentreHasAHome(t *testing.T) {
	var all []membership.Identity
	for i := range 60 {
		all = append(all, membership.NewIdentity(membership.IdentityConfig{
			Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%7%4), Capacity: uint32(200 + 150*(i%5)),
		}))
	}
	for g := range 100 {
		for _, count := range []int{4, 6} {
			homesByDataCentre := map[string]int{}
			for _, home := range membership.Homes(fmt.Sprintf("g%d", g), all, count) {
				homesByDataCentre[home.DataCentre()]++
			}
			if len(homesByDataCentre) != 4 {
				t.Fatalf("group %d: data centres of its %d homes: %v, want 4", g, count, homesByDataCentre)
			}
		}
	}
}

// interleavedHomes ranks the instances of each data centre alone, and puts the first of every data centre before the second of
// any. It calls Homes only where there is nothing to interleave: for one data centre, or one instance of each.
func interleavedHomes(key string, instances []membership.Identity, count int) []membership.Identity {
	byDataCentre := map[string][]membership.Identity{}
	for _, i := range instances {
		byDataCentre[i.DataCentre()] = append(byDataCentre[i.DataCentre()], i)
	}
	levels := make([][]membership.Identity, len(instances))
	for _, local := range byDataCentre {
		for rank, i := range membership.Homes(key, local, len(local)) {
			levels[rank] = append(levels[rank], i)
		}
	}
	var ranked []membership.Identity
	for _, level := range levels {
		ranked = append(ranked, membership.Homes(key, level, len(level))...)
	}
	return ranked[:min(count, len(ranked))]
}

// Guards against homes that differ from the ranking of all instances because only the best of each data centre are kept.
func TestHomesArePrefixOfRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "instances")
		var instances []membership.Identity
		for k := range n {
			instances = append(instances, membership.NewIdentity(membership.IdentityConfig{
				Name: fmt.Sprintf("i-%d", k), DataCentre: fmt.Sprintf("dc-%d", rapid.IntRange(0, 5).Draw(t, "data centre")),
				Capacity: uint32(rapid.IntRange(0, 800).Draw(t, "capacity")),
			}))
		}
		key := rapid.String().Draw(t, "key")
		count := rapid.IntRange(0, n+2).Draw(t, "count")
		got, want := membership.Homes(key, instances, count), interleavedHomes(key, instances, count)
		if len(got) != len(want) {
			t.Fatalf("%d homes, want %d", len(got), len(want))
		}
		for k := range got {
			if got[k] != want[k] {
				t.Fatalf("home %d is %s, want %s", k, got[k].Name(), want[k].Name())
			}
		}
	})
}

// Guards against a first home that differs from that of the whole order: the quota of an account would have two holders.
func TestFirstIsTheFirstOfHomes(t *testing.T) {
	for n := range 40 {
		instances := unequalFleet(n, n/4)
		for k := range 20 {
			key := fmt.Sprint("account/", k)
			first, ok := membership.First(key, instances)
			homes := membership.Homes(key, instances, len(instances))
			if ok != (len(homes) > 0) || ok && first != homes[0] {
				t.Fatalf("%d instances, %s: first %v, want the first of %v", len(instances), key, first, homes)
			}
		}
	}
}

// Guards against memory that a start of a large fleet takes for the shares of quotas. Load: each of 300 instances that start is a
// change after which the first homes of 80 accounts in 32 groups are looked up.
func TestFirstAllocatesNothing(t *testing.T) {
	instances := unequalFleet(6, 0)
	if allocations := testing.AllocsPerRun(100, func() { membership.First("account/group/name", instances) }); allocations > 0 {
		t.Errorf("%v allocations, want none", allocations)
	}
}

func BenchmarkFirst(b *testing.B) {
	instances := unequalFleet(6, 0)
	for b.Loop() {
		membership.First("account/group/name", instances)
	}
}

func BenchmarkHomesOfAccount(b *testing.B) {
	instances := unequalFleet(6, 0)
	for b.Loop() {
		membership.Homes("account/group/name", instances, len(instances))
	}
}
