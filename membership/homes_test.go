package membership_test

import (
	"fmt"
	"testing"

	"github.com/monsoontiller/monsoontiller/membership"
)

// unequalFleet returns small instances and big ones with four times their capacity.
func unequalFleet(small, big int) []membership.Identity {
	var out []membership.Identity
	for i := range small + big {
		capacity := uint32(200)
		if i >= small {
			capacity = 800
		}
		out = append(out, membership.NewIdentity(membership.IdentityConfig{Name: fmt.Sprintf("i%d", i), Capacity: capacity}))
	}
	return out
}

func TestHomesFollowTheCapacity(t *testing.T) {
	fleet := unequalFleet(70, 8)
	homes := map[uint32]int{}
	const groups, count = 400, 10
	for g := range groups {
		for _, one := range membership.Homes(fmt.Sprintf("g%d", g), fleet, count) {
			homes[one.Capacity()]++
		}
	}
	small := float64(homes[200]) / 70
	big := float64(homes[800]) / 8
	if ratio := big / small; ratio < 2.5 || ratio > 5 {
		t.Errorf("a big instance is home %.1f times as often as a small one, want about 4", ratio)
	}
}

// An instance that leaves moves only its own places.
func TestHomesMoveLittle(t *testing.T) {
	fleet := unequalFleet(40, 4)
	moved, places := 0, 0
	for g := range 100 {
		key := fmt.Sprintf("g%d", g)
		before := map[string]bool{}
		for _, one := range membership.Homes(key, fleet, 6) {
			before[one.Name()] = true
		}
		for _, one := range membership.Homes(key, fleet[1:], 6) {
			places++
			if !before[one.Name()] {
				moved++
			}
		}
		if before[fleet[0].Name()] {
			moved--
		}
	}
	if moved != 0 {
		t.Errorf("%d of %d places moved besides those of the instance that left", moved, places)
	}
}

func TestHomesAreAllOfASmallFleet(t *testing.T) {
	if got := len(membership.Homes("g", unequalFleet(3, 0), 10)); got != 3 {
		t.Errorf("%d homes of 3 instances", got)
	}
}

// The pattern: a data centre is cut off. With a home in each, its callers are served within it, and pay for no
// bytes between data centres while nothing is cut.
func TestEachDataCentreHasAHome(t *testing.T) {
	var all []membership.Identity
	for i := range 60 {
		all = append(all, membership.NewIdentity(membership.IdentityConfig{
			Name: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%7%4), Capacity: uint32(200 + 150*(i%5)),
		}))
	}
	for g := range 100 {
		for _, count := range []int{4, 6} {
			in := map[string]int{}
			for _, one := range membership.Homes(fmt.Sprintf("g%d", g), all, count) {
				in[one.DataCentre()]++
			}
			if len(in) != 4 {
				t.Fatalf("group %d has its %d homes in %v", g, count, in)
			}
		}
	}
}
