package route_test

import (
	"slices"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/route"
)

// TestRecentFailuresComeLast guards against sessions that all wait for the timeout of the same cut-off target, which they
// prefer by the same order, and against a target that stays avoided after it has answered again.
func TestRecentFailuresComeLast(t *testing.T) {
	const period = time.Second
	now := time.Unix(1000, 0)
	f := route.NewRecentFailures[string](route.RecentFailuresConfig{Period: period})
	targets := []string{"a", "b", "c"}
	check := func(at time.Time, want ...string) {
		t.Helper()
		if got := f.Order(at, targets); !slices.Equal(got, want) {
			t.Errorf("after %v: order %v, want %v", at.Sub(now), got, want)
		}
	}
	check(now, "a", "b", "c")
	f.Failed(now, "a")
	check(now.Add(period-time.Millisecond), "b", "c", "a")
	check(now.Add(period), "a", "b", "c")
	check(now.Add(period+time.Millisecond), "b", "c", "a")
	f.Answered("a")
	check(now.Add(period+time.Millisecond), "a", "b", "c")
	if !slices.Equal(targets, []string{"a", "b", "c"}) {
		t.Errorf("the given order changed to %v", targets)
	}
}
