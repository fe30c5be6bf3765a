package route_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

const lease = time.Second

// start is when the members of newTracker were first observed.
var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// newTracker returns a tracker of a primary a and replicas b (in the same data centre) and c, all at position 10.
func newTracker() *route.Tracker {
	t := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: lease})
	t.SetEndpoints([]route.Endpoint{{Name: "a", Slots: 5}, {Name: "b", SameDataCentre: true, Slots: 5}, {Name: "c", Slots: 5}})
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

func TestEarliestAnswerPrefersReplicaInSameDataCentre(t *testing.T) {
	if got := (route.EarliestAnswer{}).Decide(start, newTracker(), read(10)).Endpoint(); got != "b" {
		t.Errorf("went to %s, want the replica in the same data centre", got)
	}
}

func TestEarliestAnswerAvoidsLoadedReplica(t *testing.T) {
	tr := newTracker()
	for _, name := range []string{"a", "b", "c"} {
		tr.RecordServiceTime(name, 20*time.Millisecond)
	}
	tr.AddLoad("b", 5)
	if got := (route.EarliestAnswer{}).Decide(start, tr, read(10)).Endpoint(); got != "c" {
		t.Errorf("went to %s, want the replica without load in another data centre", got)
	}
	tr.AddLoad("c", 10)
	if got := (route.EarliestAnswer{}).Decide(start, tr, read(10)).Endpoint(); got != "a" {
		t.Errorf("went to %s, want the primary while both replicas are loaded", got)
	}
}

func TestEarliestAnswerAvoidsSlowReplica(t *testing.T) {
	tr := newTracker()
	tr.RecordServiceTime("b", 100*time.Millisecond)
	tr.RecordServiceTime("c", 20*time.Millisecond)
	if got := (route.EarliestAnswer{}).Decide(start, tr, read(10)).Endpoint(); got != "c" {
		t.Errorf("went to %s, want the faster replica", got)
	}
}

func TestEarliestAnswerSkipsReplicaBehindAndPrimaryWithoutLease(t *testing.T) {
	tr := newTracker()
	observe(tr, "a", after(time.Millisecond), 50)
	tr.RecordBehind("b", after(time.Millisecond), group.NewPoint(1, 10))
	observe(tr, "c", after(2*time.Millisecond), 50)
	if got := (route.EarliestAnswer{}).Decide(after(3*time.Millisecond), tr, read(50)).Endpoint(); got != "c" {
		t.Errorf("went to %s, want the replica that has reached the floor", got)
	}
	late := after(2 * lease)
	if d := (route.EarliestAnswer{}).Decide(late, tr, read(50)); d.Target() == route.TargetPrimary {
		t.Error("a read went to a primary without a lease while a replica can serve it")
	}
}

// An ejected replica still serves where no other member can.
func TestEarliestAnswerUsesEjectedReplicaLast(t *testing.T) {
	tr := newTracker()
	for range 3 {
		tr.RecordFailure("b", start)
	}
	if got := (route.EarliestAnswer{}).Decide(start, tr, read(10)).Endpoint(); got != "c" {
		t.Errorf("went to %s, want the replica that is not ejected", got)
	}
	tr.SetDown("c", true)
	late := after(2 * lease)
	for range 10 {
		tr.RecordFailure("b", late)
	}
	if got := (route.EarliestAnswer{}).Decide(late, tr, read(10)).Endpoint(); got != "b" {
		t.Errorf("went to %s, want the only member that can serve", got)
	}
}

// Guards against reads at a primary that fails them at once, which made it look idle and fast. Load: a primary whose health
// check is good and that answers each request with an error.
func TestEarliestAnswerLeavesPrimaryThatFails(t *testing.T) {
	tr := newTracker()
	for _, name := range []string{"b", "c"} {
		tr.RecordServiceTime(name, 100*time.Millisecond)
	}
	for range 3 {
		tr.RecordFailure("a", start)
	}
	if got := (route.EarliestAnswer{}).Decide(start, tr, read(10)).Endpoint(); got != "b" {
		t.Errorf("went to %s, want a replica that serves", got)
	}
	if got := (route.EarliestAnswer{}).Decide(start, tr, read(100)).Endpoint(); got != "a" {
		t.Errorf("went to %s, want the primary, which alone holds the floor", got)
	}
}

// Guards against a retry at the member that has just failed the request, before its failures eject it.
func TestEarliestAnswerTriesAnotherMember(t *testing.T) {
	r := read(10)
	r.Failed = []string{"b"}
	if got := (route.EarliestAnswer{}).Decide(start, newTracker(), r).Endpoint(); got == "b" {
		t.Error("went to the member that has failed the request")
	}
}

// A replica that is partitioned from a new primary drops its promise when the promotion takes effect, and confirms
// the old term again; here, the new primary does not answer.
func TestLeaseNeedsAllReplicasWherePromisesAreDropped(t *testing.T) {
	tr := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: lease, RequireAllReplicas: true})
	tr.SetEndpoints([]route.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for _, name := range []string{"a", "b", "c"} {
		observe(tr, name, start, 10)
	}
	late := after(2 * lease)
	observe(tr, "a", late, 11)
	observe(tr, "c", late, 10)
	if got := tr.ConfirmedAt(); !got.Equal(start) {
		t.Errorf("confirmed at %v without a confirmation of b", got)
	}
	tr.ConfirmByStore(late, 1)
	if got := tr.ConfirmedAt(); !got.Equal(late) {
		t.Errorf("confirmed at %v, though the store confirmed at %v", got, late)
	}
}

// The test guards against ignored lease evidence. An instance receives evidence from another instance, while its own
// reads sample a replica's position all the time, so that the evidence is always slightly older than the newest sample.
func TestEvidenceOlderThanNewestSampleCounts(t *testing.T) {
	tr := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: lease, RequireAllReplicas: true})
	tr.SetEndpoints([]route.Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for _, name := range []string{"a", "b", "c"} {
		observe(tr, name, start, 10)
	}
	at := after(200 * time.Millisecond)
	tr.ObservePoint("b", after(300*time.Millisecond), after(310*time.Millisecond), group.NewPoint(1, 12))
	for _, name := range []string{"a", "b", "c"} {
		observe(tr, name, at, 11)
	}
	if got := tr.ConfirmedAt(); !got.Equal(at) {
		t.Errorf("confirmed at %v, though all members confirmed at %v", got, at)
	}
}

func TestRevokedLeaseEndsAndIsRenewedLate(t *testing.T) {
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
		t.Errorf("a revoked lease was renewed until %v", got)
	}
	if floor, _, ok := tr.FloorSince(after(150 * time.Millisecond)); ok {
		t.Errorf("floor %v from a sample after the lease", floor)
	}
	late := after(5*time.Second + time.Millisecond)
	observe(tr, "a", late, 31)
	observe(tr, "b", late, 30)
	if got := tr.LeaseUntil(); !got.Equal(late.Add(lease)) {
		t.Errorf("the lease ends at %v after the promotion was abandoned", got)
	}
}

// Guards against two primaries in use: a member may lead a term in which it must not be used, while another one may be.
func TestRevocationOfMembersSparesOthers(t *testing.T) {
	adopt := func(tr *route.Tracker, primary string) {
		for _, name := range []string{primary, "a", "b", "c"} {
			role := group.RoleReplica
			if name == primary {
				role = group.RolePrimary
			}
			tr.Observe(after(time.Second), after(time.Second), group.NewStatus(group.StatusConfig{
				Endpoint: name, Role: role, Point: group.NewPoint(2, 40), Promised: 2,
			}))
		}
	}
	for primary, usable := range map[string]bool{"b": false, "c": true} {
		tr := newTracker()
		tr.RevokeLease(1, after(100*time.Millisecond), after(5*time.Second))
		tr.RevokeLeaseOf([]string{"b"}, 2, after(100*time.Millisecond), after(5*time.Second))
		adopt(tr, primary)
		if got := tr.LeaseUntil().After(after(time.Second)); got != usable {
			t.Errorf("%s of term 2 may be used: %v, want %v", primary, got, usable)
		}
		tr.RevokeLeaseOf([]string{"d"}, 2, after(200*time.Millisecond), after(5*time.Second))
		if tr.LeaseRevoked() == usable {
			t.Errorf("the lease of %s is revoked: %v after a later revocation", primary, tr.LeaseRevoked())
		}
	}
}

func TestDemotedPrimaryConfirmsNoLease(t *testing.T) {
	tr := newTracker()
	tr.Observe(after(time.Millisecond), after(time.Millisecond), group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RoleReplica, Point: group.NewPoint(1, 10), Promised: 1,
	}))
	if got := tr.ConfirmedAt(); !got.IsZero() {
		t.Errorf("a demoted primary is confirmed at %v", got)
	}
}

func TestReplacementIsKnownFromDemotionAndRevocation(t *testing.T) {
	tr := newTracker()
	if _, _, ok := tr.PendingReplacement(); ok {
		t.Error("a replacement is reported of a primary that was not demoted")
	}
	tr.Observe(after(time.Millisecond), after(time.Millisecond), group.NewStatus(group.StatusConfig{
		Endpoint: "a", Role: group.RoleReplica, Point: group.NewPoint(1, 10), Promised: 1,
	}))
	if since, revoked, ok := tr.PendingReplacement(); !ok || revoked || !since.Equal(after(time.Millisecond)) {
		t.Errorf("since %v, revoked %v, %v", since, revoked, ok)
	}
	tr.RevokeLease(1, after(2*time.Millisecond), after(time.Minute))
	if since, revoked, ok := tr.PendingReplacement(); !ok || !revoked || !since.Equal(after(2*time.Millisecond)) {
		t.Errorf("since %v, revoked %v, %v", since, revoked, ok)
	}
	tr.Observe(after(time.Second), after(time.Second), group.NewStatus(group.StatusConfig{
		Endpoint: "b", Role: group.RolePrimary, Point: group.NewPoint(2, 10), Promised: 2,
	}))
	if _, _, ok := tr.PendingReplacement(); ok {
		t.Error("a replacement is reported of the new primary")
	}
}

func TestConfirmationCountsOnlyForItsTerm(t *testing.T) {
	tr := newTracker()
	tr.ConfirmByStore(after(time.Minute), 2)
	tr.ConfirmPrimary("a", after(time.Minute), 1)
	if got := tr.ConfirmedAt(); !got.Equal(start) {
		t.Errorf("confirmed at %v by a confirmation of another term", got)
	}
}

func TestProbingProbesDueMembersOnly(t *testing.T) {
	p := route.Probing{RenewalAge: 250 * time.Millisecond, MaxStatusAge: time.Second, TriggeredAge: 100 * time.Millisecond}
	due := func(tr *route.Tracker, now time.Time, factor float64, triggered bool) string {
		out := ""
		for _, name := range tr.Endpoints() {
			if p.Due(now, tr, name, factor, triggered) {
				out += name
			}
		}
		return out
	}
	tr := newTracker()
	for _, test := range []struct {
		name      string
		at        time.Duration
		factor    float64
		triggered bool
		want      string
	}{
		{"recent evidence", 200 * time.Millisecond, 1, false, ""},
		{"a renewal", 250 * time.Millisecond, 1, false, "ab"},
		{"another instance renews", 250 * time.Millisecond, 2.4, false, ""},
		{"a request waits", 110 * time.Millisecond, 1, true, "ab"},
		{"two renewals missed", 500 * time.Millisecond, 1, false, "abc"},
		{"all idle", time.Second, 1, false, "abc"},
	} {
		if got := due(tr, after(test.at), test.factor, test.triggered); got != test.want {
			t.Errorf("%s: probed %q, want %q", test.name, got, test.want)
		}
	}
	tr.ConfirmPrimary("a", after(200*time.Millisecond), 1)
	if got := due(tr, after(300*time.Millisecond), 1, false); got != "b" {
		t.Errorf("probed %q, though an accepted write confirmed the primary", got)
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

// Guards against a false lag when another instance forwards a replica's position half a second after reading it.
func TestForwardedPositionIsNotLag(t *testing.T) {
	tr := newTracker()
	for i := range 10 {
		at := after(time.Duration(i) * 100 * time.Millisecond)
		observe(tr, "a", at, group.Position(11+i))
	}
	sentAt, receivedAt := after(450*time.Millisecond), after(950*time.Millisecond)
	tr.Observe(sentAt, receivedAt, group.NewStatus(group.StatusConfig{
		Endpoint: "b", Role: group.RoleReplica, Point: group.NewPoint(1, 14), Promised: 1,
	}))
	if got := lagOf(t, tr, "b"); got > 150*time.Millisecond {
		t.Errorf("the lag is %v, though the replica had reached the primary's position of 100ms before", got)
	}
}

// The test guards against a lag that outlives its term. The replicas receive no log while a promotion fences them, but
// are not behind the new primary.
func TestNewTermResetsLag(t *testing.T) {
	tr := newTracker()
	for i := range 10 {
		observe(tr, "a", after(time.Duration(i)*100*time.Millisecond), group.Position(11+i))
	}
	observe(tr, "c", after(900*time.Millisecond), 10)
	if got := lagOf(t, tr, "c"); got < 500*time.Millisecond {
		t.Fatalf("the lag is %v, want most of a second", got)
	}
	at := after(time.Second)
	tr.RecordBehind("c", at, group.NewPoint(2, 10))
	status := func(name string, role group.Role) {
		tr.Observe(at, at, group.NewStatus(group.StatusConfig{Endpoint: name, Role: role, Point: group.NewPoint(2, 20), Promised: 2}))
	}
	status("b", group.RolePrimary)
	status("c", group.RoleReplica)
	if got := lagOf(t, tr, "c"); got != 0 {
		t.Errorf("the lag is %v in the new term, though the replica holds the whole log", got)
	}
	if got := (route.EarliestAnswer{}).Decide(at, tr, route.Request{Class: route.ClassRead, Floor: group.NewPoint(2, 20), FloorAt: at}); got.Endpoint() != "c" {
		t.Errorf("a read went to %q, want the replica that has reached the floor", got.Endpoint())
	}
}
