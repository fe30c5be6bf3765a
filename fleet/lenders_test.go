package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/membership"
)

// TestLendersTakeTurns guards against a burst of one account that asks the same instance again and again while others hold
// the tokens, and against calls that pile up at an instance that does not answer.
func TestLendersTakeTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	l := fleet.NewLenders()
	holders := func(string) []string { return []string{"one", "two", "three"} }
	short := map[string]float64{"hot": 4}
	var asked []string
	for range 4 {
		for lender := range l.Plan(now, short, holders) {
			asked = append(asked, lender)
		}
	}
	if len(asked) != 3 {
		t.Fatalf("asked %v, want each of three instances once while the calls are in progress", asked)
	}
	l.Answered(now, "one", short, map[string]float64{"hot": 2})
	l.Answered(now, "three", short, map[string]float64{"hot": 2})
	l.Answered(now, "two", short, nil)
	if plan := l.Plan(now.Add(49*time.Millisecond), short, holders); len(plan) != 0 {
		t.Errorf("plan %v within the pause after an answer without tokens", plan)
	}
	now = now.Add(60 * time.Millisecond)
	for range 6 {
		plan := l.Plan(now, short, holders)
		if len(plan) != 1 {
			t.Fatalf("plan %v, want one instance to be asked after the pause", plan)
		}
		for lender := range plan {
			if lender == "two" {
				t.Error("asked two, which had nothing to lend 60 ms ago")
			}
			l.Answered(now, lender, short, map[string]float64{"hot": 1})
		}
	}
	later := now.Add(time.Second)
	if plan := l.Plan(later, short, func(string) []string { return []string{"two"} }); len(plan["two"]) != 1 {
		t.Errorf("plan %v, want the instance to be asked again after the backoff", plan)
	}
	if plan := l.Plan(later, short, func(string) []string { return nil }); len(plan) != 0 {
		t.Errorf("plan %v without instances", plan)
	}
}

// TestShortAccountsDoNotFloodPeers guards against calls without end while 70 accounts are short on an instance: after the loss
// of a third of 58 instances no other has tokens to lend.
func TestShortAccountsDoNotFloodPeers(t *testing.T) {
	const seconds = 10
	now := time.Unix(1000, 0)
	l := fleet.NewLenders()
	short := map[string]float64{}
	for n := range 70 {
		short[fmt.Sprint("account-", n)] = 1
	}
	holders := func(account string) []string {
		var out []string
		for n := range 8 {
			out = append(out, fmt.Sprint("instance-", (len(account)*7+n*5+int(account[len(account)-1]))%57))
		}
		return out
	}
	calls := 0
	for range seconds * 200 {
		now = now.Add(5 * time.Millisecond)
		plan := l.Plan(now, short, holders)
		if len(plan) > 4 {
			t.Fatalf("%d calls at once", len(plan))
		}
		for lender, amounts := range plan {
			calls++
			l.Answered(now, lender, amounts, nil)
		}
	}
	if most := 100 * seconds; calls > most {
		t.Errorf("%d calls in %d s, want at most %d", calls, seconds, most)
	}
}

// TestFleetRestarted guards against an instance that restarts alone and refills what others have already lent, and against
// a restart of all after which accounts wait for loans that nobody holds.
func TestFleetRestarted(t *testing.T) {
	start := uint64(time.Unix(1000, 0).UnixNano())
	at := func(d time.Duration) membership.Identity {
		return membership.NewIdentity(membership.IdentityConfig{Name: "i", Incarnation: start + uint64(d)})
	}
	self := at(0)
	together := []membership.Identity{at(-time.Second), at(500 * time.Millisecond)}
	for _, tc := range []struct {
		name string
		age  time.Duration
		live []membership.Identity
		want bool
	}{
		{"all together", time.Second, together, true},
		{"one is older", time.Second, append([]membership.Identity{at(-time.Minute)}, together...), false},
		{"long ago", time.Minute, together, false},
	} {
		if got := fleet.FleetRestarted(self, tc.age, tc.live); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
