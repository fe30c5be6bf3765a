package fleet_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/fleet"
)

// Guards against homes that stay different for good after an entry with a capacity that is too large was corrected or removed.
func TestSlotsOfGroupFollowItsEntries(t *testing.T) {
	const connections, instances = 66, 75
	entry := func(endpoint, group string, slots int) fleet.Entry {
		return fleet.Entry{Endpoint: endpoint, Group: group, Slots: slots}
	}
	usual := []fleet.Entry{entry("a", "g1", 6), entry("b", "g1", 6), entry("c", "g1", 6)}
	wantHomes, wantShare := fleet.HomeCount(connections, 6, instances, 0)
	for _, test := range []struct {
		name    string
		entries []fleet.Entry
		dropped []string
		want    int
	}{
		{"usual", nil, nil, 6},
		{"corrected", []fleet.Entry{entry("b", "g1", 1<<20), entry("b", "g1", 6)}, nil, 6},
		{"removed", []fleet.Entry{entry("x", "g1", 1<<20)}, []string{"x"}, 6},
		{"moved to another group", []fleet.Entry{entry("x", "g1", 1<<20), entry("x", "g2", 1<<20)}, nil, 6},
		{"entries missing for a while", nil, []string{"a", "b", "c", "unknown"}, 6},
		{"a larger member", []fleet.Entry{entry("c", "g1", 8)}, nil, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := fleet.NewGroupSlots()
			for _, e := range append(append([]fleet.Entry(nil), usual...), test.entries...) {
				s.Put(e)
			}
			for _, name := range test.dropped {
				s.Drop(name)
			}
			if got := s.Of("g1"); got != test.want {
				t.Errorf("the group has %d slots, want %d", got, test.want)
			}
			homes, share := fleet.HomeCount(connections, s.Of("g1"), instances, 0)
			if test.want == 6 && (homes != wantHomes || share != wantShare) {
				t.Errorf("%d homes of %d, want %d of %d", homes, share, wantHomes, wantShare)
			}
		})
	}
	if got := fleet.NewGroupSlots().Of("g1"); got != 0 {
		t.Errorf("a group without entries has %d slots, want 0", got)
	}
}
