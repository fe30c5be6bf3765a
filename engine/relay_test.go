package engine_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
)

// answers counts the statuses that a group reports to its observer.
type answers struct{ count int }

func (a *answers) Probed(group.Status)      { a.count++ }
func (a *answers) ProbeFailed(string, bool) {}

// Load: a primary goes dark, and the instance that probes it keeps relaying its last status to the others. The relays give
// send times that vary with the network delay; if each later one counted as an answer, the others would not notice the
// loss, and the promotion would wait for their views.
func TestStatusRelayedAgainIsNoAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	observer := &answers{}
	g := engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name: "orders", Members: []engine.Address{{Endpoint: "a"}}, Lease: time.Second, Clock: func() time.Time { return now }, Observer: observer,
	})
	status := group.NewStatus(group.StatusConfig{Endpoint: "a", Role: group.RolePrimary, Point: group.NewPoint(1, 10), Promised: 1})
	for _, jitter := range []time.Duration{0, 300 * time.Microsecond, 2 * time.Millisecond, time.Millisecond, 5 * time.Millisecond} {
		g.ObserveRelayed(now.Add(jitter), status)
	}
	if observer.count != 1 {
		t.Errorf("one status relayed five times counts as %d answers", observer.count)
	}
	g.ObserveRelayed(now.Add(250*time.Millisecond), status)
	if observer.count != 2 {
		t.Errorf("%d answers after the next status, want 2", observer.count)
	}
}
