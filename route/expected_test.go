package route_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

const lease = time.Second

// start is when the tests' primary and replicas were first heard of.
var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// newTracker returns a group of a primary a and replicas b (near) and c, all at position 10.
func newTracker() *route.Tracker {
	t := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: lease})
	t.SetEndpoints([]route.Endpoint{{Name: "a", Slots: 5}, {Name: "b", Near: true, Slots: 5}, {Name: "c", Slots: 5}})
	for _, name := range []string{"a", "b", "c"} {
		observe(t, name, start, 10)
	}
	return t
}

func observe(t *route.Tracker, name string, at time.Time, position group.Position) {
	role := group.RoleReplica
	if name == "a" {
		role = group.RolePrimary
	}
	t.Observe(at, at, group.NewStatus(group.StatusConfig{Endpoint: name, Role: role, Point: group.NewPoint(1, position), Promised: 1}))
}

func read(position group.Position) route.Request {
	return route.Request{Class: route.ClassRead, Floor: group.NewPoint(1, position), FloorAt: start}
}

func TestExpectedPrefersTheNearReplica(t *testing.T) {
	if got := (route.Expected{}).Decide(start, newTracker(), read(10)).Endpoint(); got != "b" {
		t.Errorf("went to %s", got)
	}
}

func TestExpectedLeavesALoadedReplica(t *testing.T) {
	tr := newTracker()
	for _, name := range []string{"a", "b", "c"} {
		tr.Took(name, 20*time.Millisecond)
	}
	tr.AddLoad("b", 5)
	if got := (route.Expected{}).Decide(start, tr, read(10)).Endpoint(); got != "c" {
		t.Errorf("went to %s, want the far replica without load", got)
	}
	tr.AddLoad("c", 10)
	if got := (route.Expected{}).Decide(start, tr, read(10)).Endpoint(); got != "a" {
		t.Errorf("went to %s, want the primary while both replicas are loaded", got)
	}
}

func TestExpectedLeavesASlowReplica(t *testing.T) {
	tr := newTracker()
	tr.Took("b", 100*time.Millisecond)
	tr.Took("c", 20*time.Millisecond)
	if got := (route.Expected{}).Decide(start, tr, read(10)).Endpoint(); got != "c" {
		t.Errorf("went to %s", got)
	}
}

func TestExpectedPassesOverWhoIsBehindAndThePrimaryWithoutALease(t *testing.T) {
	tr := newTracker()
	observe(tr, "a", after(time.Millisecond), 50)
	tr.Behind("b", after(time.Millisecond))
	observe(tr, "c", after(2*time.Millisecond), 50)
	if got := (route.Expected{}).Decide(after(3*time.Millisecond), tr, read(50)).Endpoint(); got != "c" {
		t.Errorf("went to %s", got)
	}
	late := after(2 * lease)
	if d := (route.Expected{}).Decide(late, tr, read(50)); d.Target() == route.TargetPrimary {
		t.Error("a read went to a primary that nobody has confirmed while a replica can serve it")
	}
}

// An ejected replica still serves where no other member can.
func TestExpectedUsesAnEjectedReplicaLast(t *testing.T) {
	tr := newTracker()
	for range 3 {
		tr.Failed("b", start)
	}
	if got := (route.Expected{}).Decide(start, tr, read(10)).Endpoint(); got != "c" {
		t.Errorf("went to %s", got)
	}
	tr.SetDown("c", true)
	late := after(2 * lease)
	for range 10 {
		tr.Failed("b", late)
	}
	if got := (route.Expected{}).Decide(late, tr, read(10)).Endpoint(); got != "b" {
		t.Errorf("went to %s, want the only member that can serve", got)
	}
}

func TestFloorSinceTakesTheOldestSampleThatIsYoungEnough(t *testing.T) {
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

// A primary that no replica confirms may have been replaced; its positions lack what the other acknowledged.
func TestFloorSinceTakesNoSamplePastTheLease(t *testing.T) {
	tr := newTracker()
	observe(tr, "a", after(lease+time.Millisecond), 30)
	if floor, _, ok := tr.FloorSince(after(lease)); ok {
		t.Errorf("floor %v from a sample that no lease covers", floor)
	}
	tr.StoreConfirmed(after(lease+2*time.Millisecond), 1)
	if floor, _, ok := tr.FloorSince(after(lease)); !ok || floor.Position() != 30 {
		t.Errorf("floor %v, %v after the store vouched for the term", floor, ok)
	}
}

// A replica that is cut off from a new primary forgets its promise as the promotion takes effect, and confirms
// the old term again; the new primary itself does not answer here.
func TestOneReplicaIsNoWitnessWherePromisesAreForgotten(t *testing.T) {
	tr := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: lease, AllReplicas: true})
	tr.SetEndpoints([]route.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for _, name := range []string{"a", "b", "c"} {
		observe(tr, name, start, 10)
	}
	late := after(2 * lease)
	observe(tr, "a", late, 11)
	observe(tr, "c", late, 10)
	if got := tr.ConfirmedAt(); !got.Equal(start) {
		t.Errorf("confirmed at %v without the word of b", got)
	}
	tr.StoreConfirmed(late, 1)
	if got := tr.ConfirmedAt(); !got.Equal(late) {
		t.Errorf("confirmed at %v, though the store vouched at %v", got, late)
	}
}

// The pattern: an instance gets the evidence of leases from another one, and its own reads find a replica's position
// all the time. The evidence is always a little older than the newest read.
func TestEvidenceOlderThanARequestsSampleCounts(t *testing.T) {
	tr := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: lease, AllReplicas: true})
	tr.SetEndpoints([]route.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for _, name := range []string{"a", "b", "c"} {
		observe(tr, name, start, 10)
	}
	at := after(200 * time.Millisecond)
	tr.Reached("b", after(300*time.Millisecond), after(310*time.Millisecond), group.NewPoint(1, 12))
	for _, name := range []string{"a", "b", "c"} {
		observe(tr, name, at, 11)
	}
	if got := tr.ConfirmedAt(); !got.Equal(at) {
		t.Errorf("confirmed at %v, though all members vouched at %v", got, at)
	}
}

func TestARevokedLeaseEndsAndComesBackLate(t *testing.T) {
	tr := newTracker()
	if got := tr.LeaseUntil(); !got.Equal(start.Add(lease)) {
		t.Fatalf("the lease ends at %v", got)
	}
	tr.RevokeLease(1, after(100*time.Millisecond), after(5*time.Second))
	if got := tr.LeaseUntil(); !got.Equal(after(100 * time.Millisecond)) {
		t.Errorf("a revoked lease ends at %v", got)
	}
	observe(tr, "a", after(200*time.Millisecond), 30)
	observe(tr, "b", after(200*time.Millisecond), 10)
	if got := tr.LeaseUntil(); got.After(after(100 * time.Millisecond)) {
		t.Errorf("a revoked lease came back until %v", got)
	}
	if floor, _, ok := tr.FloorSince(after(150 * time.Millisecond)); ok {
		t.Errorf("floor %v from a position past the lease", floor)
	}
	late := after(5*time.Second + time.Millisecond)
	observe(tr, "a", late, 31)
	observe(tr, "b", late, 30)
	if got := tr.LeaseUntil(); !got.Equal(late.Add(lease)) {
		t.Errorf("the lease ends at %v after the promotion came to nothing", got)
	}
}

func TestADemotedPrimaryConfirmsNothing(t *testing.T) {
	tr := newTracker()
	tr.Observe(after(time.Millisecond), after(time.Millisecond), group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RoleReplica, Point: group.NewPoint(1, 10), Promised: 1,
	}))
	if got := tr.ConfirmedAt(); !got.IsZero() {
		t.Errorf("a demoted primary is confirmed at %v", got)
	}
}

func TestSuccessionIsKnownFromADemotedPrimaryAndARevokedLease(t *testing.T) {
	tr := newTracker()
	if _, _, ok := tr.Succession(); ok {
		t.Error("a primary that leads is being replaced")
	}
	tr.Observe(after(time.Millisecond), after(time.Millisecond), group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RoleReplica, Point: group.NewPoint(1, 10), Promised: 1,
	}))
	if since, revoked, ok := tr.Succession(); !ok || revoked || !since.Equal(after(time.Millisecond)) {
		t.Errorf("since %v, revoked %v, %v", since, revoked, ok)
	}
	tr.RevokeLease(1, after(2*time.Millisecond), after(time.Minute))
	if since, revoked, ok := tr.Succession(); !ok || !revoked || !since.Equal(after(2*time.Millisecond)) {
		t.Errorf("since %v, revoked %v, %v", since, revoked, ok)
	}
	tr.Observe(after(time.Second), after(time.Second), group.NewStatus(group.StatusConfig{
		Endpoint: "b", Role: group.RolePrimary, Point: group.NewPoint(2, 10), Promised: 2,
	}))
	if _, _, ok := tr.Succession(); ok {
		t.Error("the new primary is being replaced")
	}
}

func TestTheStoreVouchesOnlyForItsTerm(t *testing.T) {
	tr := newTracker()
	tr.StoreConfirmed(after(time.Minute), 2)
	tr.Led("a", after(time.Minute), 1)
	if got := tr.ConfirmedAt(); !got.Equal(start) {
		t.Errorf("confirmed at %v by a word about another term", got)
	}
}

func TestProbingAsksFewAndEnough(t *testing.T) {
	p := route.Probing{Every: 250 * time.Millisecond, Idle: time.Second, Kicked: 100 * time.Millisecond}
	due := func(tr *route.Tracker, now time.Time, factor float64, kicked bool) string {
		out := ""
		for _, name := range tr.Endpoints() {
			if p.Due(now, tr, name, factor, kicked) {
				out += name
			}
		}
		return out
	}
	tr := newTracker()
	for _, test := range []struct {
		name   string
		at     time.Duration
		factor float64
		kicked bool
		want   string
	}{
		{"young evidence", 200 * time.Millisecond, 1, false, ""},
		{"a renewal", 250 * time.Millisecond, 1, false, "ab"},
		{"another instance renews", 250 * time.Millisecond, 2.4, false, ""},
		{"a request waits", 110 * time.Millisecond, 1, true, "ab"},
		{"two renewals missed", 500 * time.Millisecond, 1, false, "abc"},
		{"all idle", time.Second, 1, false, "abc"},
	} {
		if got := due(tr, after(test.at), test.factor, test.kicked); got != test.want {
			t.Errorf("%s: asked %q, want %q", test.name, got, test.want)
		}
	}
	tr.Led("a", after(200*time.Millisecond), 1)
	if got := due(tr, after(300*time.Millisecond), 1, false); got != "b" {
		t.Errorf("asked %q, though an accepted write confirmed the primary", got)
	}
}

func lagOf(t *testing.T, tr *route.Tracker, name string) time.Duration {
	t.Helper()
	for _, r := range tr.Replicas() {
		if r.Endpoint() == name {
			return r.Lag()
		}
	}
	t.Fatalf("%s is no replica", name)
	return 0
}

// The pattern: a replica's position is passed on by another instance, half a second after it was found.
func TestAPositionThatIsPassedOnLateIsNoLag(t *testing.T) {
	tr := newTracker()
	for i := range 10 {
		at := after(time.Duration(i) * 100 * time.Millisecond)
		observe(tr, "a", at, group.Position(11+i))
	}
	asked, heard := after(450*time.Millisecond), after(950*time.Millisecond)
	tr.Observe(asked, heard, group.NewStatus(group.StatusConfig{
		Endpoint: "b", Role: group.RoleReplica, Point: group.NewPoint(1, 14), Promised: 1,
	}))
	if got := lagOf(t, tr, "b"); got > 150*time.Millisecond {
		t.Errorf("the lag is %v, though the replica had what the primary had 100ms before", got)
	}
}

// The pattern: a primary is released. Its successor's replicas were held for the promotion, and are not behind after it.
func TestLagDoesNotOutliveATerm(t *testing.T) {
	tr := newTracker()
	for i := range 10 {
		observe(tr, "a", after(time.Duration(i)*100*time.Millisecond), group.Position(11+i))
	}
	observe(tr, "c", after(900*time.Millisecond), 10)
	if got := lagOf(t, tr, "c"); got < 500*time.Millisecond {
		t.Fatalf("the lag is %v, want most of a second", got)
	}
	at := after(time.Second)
	tr.Behind("c", at)
	status := func(name string, role group.Role) {
		tr.Observe(at, at, group.NewStatus(group.StatusConfig{Endpoint: name, Role: role, Point: group.NewPoint(2, 20), Promised: 2}))
	}
	status("b", group.RolePrimary)
	status("c", group.RoleReplica)
	if got := lagOf(t, tr, "c"); got != 0 {
		t.Errorf("the lag is %v in the new term, though the replica holds all", got)
	}
	if got := (route.Expected{}).Decide(at, tr, route.Request{Class: route.ClassRead, Floor: group.NewPoint(2, 20), FloorAt: at}); got.Endpoint() != "c" {
		t.Errorf("a read went to %q, want the replica that has what it needs", got.Endpoint())
	}
}
