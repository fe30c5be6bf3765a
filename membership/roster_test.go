package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/membership"
)

// Guards against a false declaration of death. While many instances restart one after the other, the watched instances
// change often. An instance whose last message is old, but which was not contacted since, has not failed to answer.
func TestInstanceNotContactedIsNotDeclaredDead(t *testing.T) {
	const deadAfter = 3 * time.Second
	r := membership.NewRoster(membership.RosterConfig{Self: identity("self", 1), Fanout: 3, DeadAfter: deadAfter})
	now := time.Unix(1000, 0)
	for i := range 12 {
		r.RecordMessage(now, identity(fmt.Sprintf("i%d", i), 1))
	}
	for range 20 {
		now = now.Add(deadAfter + time.Second)
		targets := r.Targets(now)
		// All targets answer, and two of the watched ones leave right after that.
		for _, target := range targets {
			r.RecordMessage(now, target)
		}
		for _, target := range targets[:min(2, len(targets))] {
			current, _ := r.Presences().Get(target.Name())
			r.Apply(membership.NewItem(target.Name(), current.Revision()+1, membership.NewPresence(target, membership.StateLeft)))
		}
		if dead := r.Expire(now); len(dead) > 0 {
			t.Fatalf("%s was declared dead without being contacted", dead[0].Name())
		}
	}
}

// An instance that is contacted and does not answer is declared dead.
func TestSilentInstanceIsDeclaredDead(t *testing.T) {
	r := membership.NewRoster(membership.RosterConfig{Self: identity("self", 1), Fanout: 3, DeadAfter: 3 * time.Second})
	now := time.Unix(1000, 0)
	r.RecordMessage(now, identity("silent", 1))
	for range 4 {
		r.Targets(now)
		if dead := r.Expire(now); len(dead) > 0 {
			t.Fatalf("declared dead at %v already", now)
		}
		now = now.Add(700 * time.Millisecond)
	}
	now = now.Add(300 * time.Millisecond)
	if dead := r.Expire(now); len(dead) != 1 {
		t.Errorf("%d instances were declared dead after the time for an answer, want 1", len(dead))
	}
}
