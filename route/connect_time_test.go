package route_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// TestReadsStayWhereTheirAccountIsConnected guards against reads of a small account that alternate between replicas and open
// a connection for each request, under the load of 80 accounts that share 11 connections to each endpoint.
func TestReadsStayWhereTheirAccountIsConnected(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := route.NewTracker(route.TrackerConfig{Group: "orders", Lease: time.Minute})
	tracker.SetEndpoints([]route.Endpoint{
		{Name: "near", SameDataCentre: true, Slots: 4}, {Name: "far", Slots: 4}, {Name: "primary", SameDataCentre: true, Slots: 4},
	})
	for name, role := range map[string]group.Role{"near": group.RoleReplica, "far": group.RoleReplica, "primary": group.RolePrimary} {
		tracker.Observe(now, now, group.NewStatus(group.StatusConfig{
			Endpoint: name, Role: role, Point: group.NewPoint(1, 10), Received: group.NewPoint(1, 10),
		}))
	}
	request := route.Request{Class: route.ClassRead, Floor: group.NewPoint(1, 5), FloorAt: now}
	decide := func() string { return route.EarliestAnswer{}.Decide(now, tracker, request).Endpoint() }
	if got := decide(); got != "near" {
		t.Fatalf("without connections that belong to accounts, the read goes to %s, want near", got)
	}
	request.ConnectTime = map[string]time.Duration{"near": 15 * time.Millisecond, "primary": 15 * time.Millisecond}
	if got := decide(); got != "far" {
		t.Errorf("the read goes to %s, want far, where the account has a connection", got)
	}
	for range 16 {
		tracker.AddLoad("far", 1)
	}
	if got := decide(); got != "near" {
		t.Errorf("the read goes to %s, want near: far is loaded beyond the time to open a connection", got)
	}
}
