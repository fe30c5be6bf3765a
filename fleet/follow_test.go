package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/store"
)

// staleStore answers reads of whole tables from a replica that is behind the history which it has dropped.
type staleStore struct {
	store.Store
	calls int
	// tooMany is called by each call after maxStaleCalls.
	tooMany func()
}

func (s *staleStore) count() {
	if s.calls++; s.calls > maxStaleCalls {
		s.tooMany()
	}
}

func (s *staleStore) All(context.Context, string) (store.Snapshot, error) {
	s.count()
	return store.Snapshot{Version: 10}, nil
}

func (s *staleStore) Changes(context.Context, string, uint64, time.Duration) (store.Snapshot, error) {
	s.count()
	return store.Snapshot{}, fault.New(fault.Config{Kind: fault.KindStale, Message: "the history was dropped", Remedy: "read the table"})
}

// Load: the store drops its history, and reads of whole tables are seconds old. Each follower must not read the table again
// and again without a pause.
func TestFollowerPausesWhileWholeReadsAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		s := &staleStore{tooMany: cancel}
		if err := fleet.Follow(ctx, s, "servers"); err != nil {
			t.Fatal(err)
		}
		if s.calls > maxStaleCalls {
			t.Errorf("%d calls in 5 s, want at most %d", s.calls, maxStaleCalls)
		}
	})
}

// maxStaleCalls is two calls for each of the retries of 5 s.
const maxStaleCalls = 40

// failingStore fails the first call that waits for a change; all later ones wait until they are given up.
type failingStore struct {
	store.Store
	reads, waits int
}

func (s *failingStore) All(context.Context, string) (store.Snapshot, error) {
	s.reads++
	return store.Snapshot{Version: 10}, nil
}

func (s *failingStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Snapshot, error) {
	if s.waits++; s.waits > 1 {
		<-ctx.Done()
	}
	return store.Snapshot{}, fault.New(fault.Config{Kind: fault.KindUnavailable, Message: "the connection was lost", Remedy: "try again"})
}

// Guards against a follower that waits for a change right after an outage, from which the store may have returned with
// an older copy: such a call shows the new era only when it ends.
func TestFollowerReadsTableAfterFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := fleet.Follow(ctx, s, "servers"); err != nil {
			t.Fatal(err)
		}
		if s.reads != 2 {
			t.Errorf("the table was read %d times, want once at the start and once after the failed call", s.reads)
		}
	})
}

// Load: hundreds of instances start again after a loss of power. Each must read the tables at once, but only those that
// follow the store for the others may wait for changes: each call has a price.
func TestInstanceReadsTableOnceAtItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &failingStore{}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := fleet.ReadAtStart(ctx, s, "servers"); err != nil {
			t.Fatal(err)
		}
		if s.reads != 1 || s.waits != 0 {
			t.Errorf("the table was read %d times, and %d calls waited for changes; want 1 and 0", s.reads, s.waits)
		}
	})
}
