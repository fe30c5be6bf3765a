package fleet_test

import (
	"slices"
	"testing"

	"github.com/monsoontiller/monsoontiller/fleet"
)

// Guards against a promotion that forgets a replica whose entry has lapsed, and against one that waits for a replica which has
// left or is listed again.
func TestEndpointIsMissingUntilItsAddressIsListed(t *testing.T) {
	entry := func(name, group, address string) fleet.Entry {
		return fleet.Entry{Endpoint: name, Group: group, Address: address}
	}
	m := fleet.MissingEndpoints{}
	m.Dropped(entry("a", "g1", "10.0.0.1:1"), false)
	m.Dropped(entry("b", "g1", "10.0.0.2:1"), false)
	m.Dropped(entry("c", "g1", "10.0.0.3:1"), true)
	m.Dropped(entry("d", "g2", "10.0.0.4:1"), false)
	if got, want := m.Of("g1"), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Fatalf("%v are missing, want %v", got, want)
	}
	m.Listed(entry("e", "g2", "10.0.0.1:1"))
	if got, want := m.Of("g1"), []string{"a", "b"}; !slices.Equal(got, want) {
		t.Errorf("%v are missing after another group took over an address, want %v", got, want)
	}
	m.Listed(entry("f", "g1", "10.0.0.1:1"))
	m.Listed(entry("b", "g1", "10.0.0.9:1"))
	if got := m.Of("g1"); len(got) != 0 {
		t.Errorf("%v are missing although they are listed again", got)
	}
}
