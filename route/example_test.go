package route_test

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

func ExampleEarliestReplica() {
	now := time.Unix(100, 0)
	t := route.NewTracker(route.TrackerConfig{Group: "orders-1", Endpoints: []string{"a", "b"}})
	status := func(endpoint string, role group.Role, position group.Position) group.Status {
		return group.NewStatus(group.StatusConfig{
			Endpoint: endpoint, Role: role, Point: group.NewPoint(1, position),
			History: group.NewHistory(group.NewTermStart(1, 0)),
		})
	}
	t.Observe(now, now, status("a", group.RolePrimary, 20))
	t.Observe(now, now, status("b", group.RoleReplica, 10))
	read := route.Request{Class: route.ClassRead, Floor: group.NewPoint(1, 10), FloorAt: now}
	fmt.Println(route.EarliestReplica{}.Decide(now, t, read).Endpoint())
	read.Floor = group.NewPoint(1, 15)
	fmt.Println(route.EarliestReplica{}.Decide(now, t, read).Endpoint())
	// Output:
	// b
	// a
}
