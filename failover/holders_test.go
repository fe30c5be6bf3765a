package failover_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
)

// Bounds of the model of TestHoldersOfAcknowledgedWrites: each member may have a log of its own, and unheard ones a longer log
// than all others.
const (
	maxModelMembers = 5
	maxHeardLength  = 4
	maxLength       = 5
)

// Guards against both ways to be wrong about a member without knowing who was primary: it is promoted although it lacks an
// acknowledged write, or the group stays without a primary although every acknowledged write is known to be in its log. All sets
// of members that are heard, with all their logs, are compared with all logs that the others may have.
func TestHoldersOfAcknowledgedWrites(t *testing.T) {
	for members := 1; members <= maxModelMembers; members++ {
		for replicas := range min(members, 3) {
			for heard := 1; heard <= members; heard++ {
				forEachLengths(heard, maxHeardLength, func(lengths []int) { checkHolders(t, lengths, members-heard, replicas) })
			}
		}
	}
}

// forEachLengths calls visit with all ascending lengths of n logs up to longest.
func forEachLengths(n, longest int, visit func(lengths []int)) {
	var extend func(lengths []int)
	extend = func(lengths []int) {
		if len(lengths) == n {
			visit(lengths)
			return
		}
		from := 0
		if len(lengths) > 0 {
			from = lengths[len(lengths)-1]
		}
		for length := from; length <= longest; length++ {
			extend(append(slices.Clone(lengths), length))
		}
	}
	extend(nil)
}

// checkHolders compares the rule for each member that was heard with the logs that the unheard members may have.
func checkHolders(t *testing.T, lengths []int, unheard, replicas int) {
	t.Helper()
	points := map[string]group.Point{}
	for i, length := range lengths {
		points[fmt.Sprint("heard-", i)] = group.NewPoint(1, group.Position(length))
	}
	names := strings.Fields(strings.Repeat("unheard ", unheard))
	for i, length := range lengths {
		// A write may be acknowledged if its primary and the required replicas have it: as many logs are as long.
		lost := false
		forEachLengths(unheard, maxLength, func(others []int) {
			all := append(slices.Clone(lengths), others...)
			slices.Sort(all)
			lost = lost || replicas > 0 && all[len(all)-1-replicas] > length
		})
		if got := failover.HoldsAll(fmt.Sprint("heard-", i), points, names, replicas); got == lost {
			t.Errorf("with logs %v, %d unheard and %d required replicas, the log %d counts as complete: %v, want %v",
				lengths, unheard, replicas, length, got, !lost)
		}
	}
}

// promotedAfterStart lets a machine that has just started find replicas without a primary, and returns the members that it
// promotes within a minute, up to the first other than ineffective, whose promotion is answered and has no effect; reason is
// that of a wait.
func promotedAfterStart(s *sequentialFixture, received map[string]group.Position, ineffective string) (promoted []string, reason string) {
	var attempt failover.Claim
	promised := group.Term(1)
	for range int(time.Minute / sequentialStep) {
		var actions []failover.Action
		for name, position := range received {
			actions = append(actions, s.reportStatus(name, group.RoleReplica, position, promised, attempt.Attempt)...)
		}
		actions = append(actions, s.advance(sequentialStep)...)
		for _, action := range actions {
			switch a := action.(type) {
			case failover.Claim:
				attempt, promised = a, a.Term
				s.step(failover.ClaimResult{Attempt: a.Attempt, Outcome: failover.ClaimWon, Term: a.Term})
				s.step(failover.Revoked{Attempt: a.Attempt})
			case failover.Promote:
				promoted = append(promoted, a.Endpoint)
				if a.Endpoint != ineffective {
					return promoted, reason
				}
				s.answer(a, failover.PromotionAccepted)
			case failover.Explain:
				if a.Decision == failover.DecisionAwaitLog {
					reason = a.Evidence
				}
			}
		}
	}
	return promoted, reason
}

// Guards against a group that stays without a primary because nobody knows who was primary, and the lost member is awaited as if
// it alone could hold an acknowledged write; and against the cheaper rule that a majority suffices, which loses a write.
func TestUnknownPrimaryIsReplacedByMemberThatHoldsAllWrites(t *testing.T) {
	tests := []struct {
		name     string
		members  []string
		missing  []string
		replicas int
		received map[string]group.Position
		want     string
	}{
		{"one of three is lost", []string{"a", "b", "c"}, nil, 1, map[string]group.Position{"b": 10, "c": 12}, "c"},
		{"and is not listed any more", []string{"b", "c"}, []string{"a"}, 1, map[string]group.Position{"b": 10, "c": 12}, "c"},
		{"two of five are lost", []string{"a", "b", "c", "d", "e"}, nil, 1, map[string]group.Position{"b": 10, "c": 12, "d": 12}, ""},
		{"two of five are lost, writes need two replicas", []string{"a", "b", "c", "d", "e"}, nil, 2, map[string]group.Position{"b": 10, "c": 12, "d": 12}, "c"},
		{"one is lost and one is not listed any more", []string{"a", "b", "c", "d"}, []string{"e"}, 1, map[string]group.Position{"b": 10, "c": 12, "d": 12}, ""},
		{"writes need no replica", []string{"a", "b", "c"}, []string{"d", "e"}, 0, map[string]group.Position{"b": 10, "c": 12}, "c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newAnsweredFixture(withMembers(test.members...), func(cfg *failover.Config) { cfg.RequiredReplicas = test.replicas })
			s.machine.SetMissing(test.missing)
			promoted, reason := promotedAfterStart(s, test.received, "")
			if got := strings.Join(promoted, " "); got != test.want {
				t.Errorf("promoted %q, want %q", got, test.want)
			}
			if waits := reason != ""; waits != (test.want == "") {
				t.Errorf("reason of the wait %q", reason)
			}
		})
	}
}

// Guards against a demoted primary with the longest log that is ordered without end: the platform answers the order for the present
// primary, and changes nothing.
func TestMemberWhosePromotionHasNoEffectIsPassedOver(t *testing.T) {
	s := newAnsweredFixture(replicationRequired)
	promoted, _ := promotedAfterStart(s, map[string]group.Position{"a": 14, "b": 10, "c": 12}, "a")
	if got := strings.Join(promoted, " "); got != "a c" {
		t.Errorf("promoted %q, want a, which has the longest log, and c after that had no effect", got)
	}
}
