package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/membership"
)

// The pattern: many instances are restarted one after the other, so that an instance watches others every moment. One
// that it last heard of long ago, and has not asked since, has not failed to answer.
func TestWhoWasNotAskedIsNotDeclaredDead(t *testing.T) {
	const deadAfter = 3 * time.Second
	r := membership.NewRoster(membership.RosterConfig{Self: identity("self", 1), Fanout: 3, DeadAfter: deadAfter})
	now := time.Unix(1000, 0)
	for i := range 12 {
		r.Heard(now, identity(fmt.Sprintf("i%d", i), 1))
	}
	for range 20 {
		now = now.Add(deadAfter + time.Second)
		targets := r.Targets(now)
		// All that are asked answer, and two of those that are watched leave right after it.
		for _, one := range targets {
			r.Heard(now, one)
		}
		for _, one := range targets[:min(2, len(targets))] {
			held, _ := r.Presences().Get(one.Name())
			r.Apply(membership.NewItem(one.Name(), held.Revision()+1, membership.NewPresence(one, membership.StateLeft)))
		}
		if dead := r.Expire(now); len(dead) > 0 {
			t.Fatalf("%s was declared dead without being asked", dead[0].Name())
		}
	}
}

// One that is asked and does not answer is declared dead.
func TestWhoDoesNotAnswerIsDeclaredDead(t *testing.T) {
	r := membership.NewRoster(membership.RosterConfig{Self: identity("self", 1), Fanout: 3, DeadAfter: 3 * time.Second})
	now := time.Unix(1000, 0)
	r.Heard(now, identity("silent", 1))
	for range 4 {
		r.Targets(now)
		if dead := r.Expire(now); len(dead) > 0 {
			t.Fatalf("declared dead at %v already", now)
		}
		now = now.Add(700 * time.Millisecond)
	}
	now = now.Add(300 * time.Millisecond)
	if dead := r.Expire(now); len(dead) != 1 {
		t.Errorf("%d were declared dead after the time for an answer, want 1", len(dead))
	}
}
