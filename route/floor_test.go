package route_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

func TestFloorSinceReturnsOldestSampleInInterval(t *testing.T) {
	tr := newTracker()
	for i := range 8 {
		at := after(time.Duration(i+1) * 300 * time.Millisecond)
		observe(tr, "a", at, group.Position(20+i))
		observe(tr, "b", at, 10)
	}
	floor, _, ok := tr.FloorSince(after(800 * time.Millisecond))
	if !ok || floor != group.NewPoint(1, 22) {
		t.Errorf("floor %v, %v; want the position of the sample at 900 ms", floor, ok)
	}
}

// A primary that no replica confirms may have been replaced; its positions lack the commits of the new primary.
func TestFloorSinceIgnoresSamplesAfterLease(t *testing.T) {
	tr := newTracker()
	observe(tr, "a", after(lease+time.Millisecond), 30)
	if floor, _, ok := tr.FloorSince(after(lease)); ok {
		t.Errorf("floor %v from a sample after the lease", floor)
	}
	tr.ConfirmByStore(after(lease+2*time.Millisecond), 1)
	if floor, _, ok := tr.FloorSince(after(lease)); !ok || floor.Position() != 30 {
		t.Errorf("floor %v, %v after the store confirmed the term", floor, ok)
	}
}

// Load: reads of bounded staleness during a planned change of the primary. Once the old primary is demoted and the leases
// are revoked, nothing can be committed until the promotion; the replicas that hold the last position can serve every read
// that accepts data of that age.
func TestFloorsOutlastDemotionUntilRevocation(t *testing.T) {
	tr := newTracker()
	sampled := after(50 * time.Millisecond)
	observe(tr, "a", sampled, 12)
	demoted := after(100 * time.Millisecond)
	tr.Observe(demoted, demoted, group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RoleReplica, Point: group.NewPoint(1, 12), Promised: 1,
	}))
	if floor, _, ok := tr.FloorSince(sampled); !ok || floor.Position() != 12 {
		t.Errorf("floor %v, %v after the demotion, want the last position of the old primary", floor, ok)
	}
	if !tr.LeaseUntil().IsZero() {
		t.Error("the demoted primary has a lease")
	}
	revoked := after(150 * time.Millisecond)
	tr.RevokeLease(1, revoked, after(time.Minute))
	if _, _, ok := tr.FloorSince(sampled); !ok {
		t.Error("no floor after the revocation, although the sample is older")
	}
	tr.ObservePoint("a", after(200*time.Millisecond), after(200*time.Millisecond), group.NewPoint(1, 12))
	if floor, _, ok := tr.FloorSince(after(160 * time.Millisecond)); ok {
		t.Errorf("floor %v from a sample after the revocation, when another primary may have committed", floor)
	}
}

// Load: reads of bounded staleness just after a promotion. The log of the new primary ends with an entry of the old term
// until its first commit; a floor that names the new term at that position names an entry that no log holds, so that every
// replica refuses it until the floor has moved past it.
func TestFloorNamesInheritedEntryUntilFirstCommit(t *testing.T) {
	tr := newTracker()
	promoted := after(2 * time.Second)
	observeIn := func(name string, role group.Role, received group.Point) {
		tr.Observe(promoted, promoted, group.NewStatus(group.StatusConfig{
			Endpoint: name, Role: role, Point: group.NewPoint(2, received.Position()), Received: received, Promised: 2,
		}))
	}
	inherited := group.NewPoint(1, 10)
	observeIn("b", group.RolePrimary, inherited)
	observeIn("c", group.RoleReplica, inherited)
	floor, _, ok := tr.FloorSince(promoted)
	if !ok || floor != inherited {
		t.Errorf("the floor is %v (%v), want the inherited entry %v", floor, ok, inherited)
	}
	committed := promoted.Add(300 * time.Millisecond)
	tr.ObservePoint("b", committed, committed, group.NewPoint(2, 11))
	if floor, _, ok := tr.FloorSince(committed); !ok || floor != group.NewPoint(2, 11) {
		t.Errorf("the floor after the first commit is %v (%v), want 2/11", floor, ok)
	}
}

// Load: replicas a second behind, and sessions that read what they have just written among many that accept old data. A
// replica that refuses the floor of one such session must keep the reads of lower floors; otherwise these fill the slots
// of the primary while the replica is idle.
func TestReplicaBehindOneFloorServesLowerFloors(t *testing.T) {
	tr := newTracker()
	observe(tr, "a", after(time.Millisecond), 50)
	tr.SetDown("c", true)
	now := after(2 * time.Millisecond)
	tr.RecordBehind("b", now, group.NewPoint(1, 50))
	if got := (route.EarliestAnswer{}).Decide(now, tr, read(10)).Endpoint(); got != "b" {
		t.Errorf("a read of an old floor went to %s, want the replica that has reached it", got)
	}
	if got := (route.EarliestAnswer{}).Decide(now, tr, read(50)).Endpoint(); got != "a" {
		t.Errorf("a read of the refused floor went to %s, want the primary", got)
	}
	tr.RecordBehind("b", now, group.NewPoint(1, 8))
	if got := (route.EarliestAnswer{}).Decide(now, tr, read(10)).Endpoint(); got != "a" {
		t.Errorf("a read went to %s, which has refused a lower floor", got)
	}
}

// Load: a partition leaves the primary with most instances and both replicas with the others. Nobody can commit then, so
// that reads which accept data of some age can still be served by the primary, as by any member that holds their floor.
func TestReadsOfOldDataUsePrimaryWithoutLease(t *testing.T) {
	tr := newTracker()
	lapsed := after(lease + 100*time.Millisecond)
	tr.SetDown("b", true)
	tr.SetDown("c", true)
	tr.ObservePoint("a", lapsed, lapsed, group.NewPoint(1, 10))
	d := (route.EarliestAnswer{}).Decide(lapsed, tr, read(10))
	if d.Endpoint() != "a" || d.Target() != route.TargetReplica {
		t.Errorf("went to %q as %v, want the primary with the check of a replica", d.Endpoint(), d.Target())
	}
	if d := (route.EarliestAnswer{}).Decide(lapsed, tr, route.Request{Class: route.ClassWrite}); d.Target() != route.TargetPrimary {
		t.Errorf("a write went to %q as %v, want the primary, for which it must wait", d.Endpoint(), d.Target())
	}
	dark := lapsed.Add(lease)
	if d := (route.EarliestAnswer{}).Decide(dark, tr, read(10)); d.Target() == route.TargetReplica {
		t.Errorf("a read went to %q, which has not answered for a lease", d.Endpoint())
	}
}
