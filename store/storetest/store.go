package storetest

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/store"
)

// Store implements store.Store in memory; it is safe for concurrent use.
type Store struct {
	mu               sync.Mutex
	rows             map[string]map[string]store.Row
	changes          []store.Row
	version          uint64
	compactedVersion uint64
	now              time.Duration
	changed          chan struct{}
	down             bool
	outages          int
	answersToLose    int
	commitsToDelay   int
	tableToDelay     string
	delayed          []store.Tx
	beforeCommit     func()
	calls            int
	era              uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]map[string]store.Row{}, changed: make(chan struct{})}
}

// Advance advances the store's clock, which otherwise stands still.
func (s *Store) Advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now += d
}

// SetDown begins or ends an outage, in which every call fails with KindUnavailable, also those that wait for a change.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.outages++
	}
	s.down = down
	s.wakeLocked()
}

// wakeLocked wakes the calls that wait for a change.
func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// LoseAnswers makes the next n commits fail with KindOutcomeUnknown after they were applied.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// DelayCommits makes the next n commits that change a table fail with KindOutcomeUnknown before they are applied; perform applies
// those of them whose conditions hold then, and ends the delays.
func (s *Store) DelayCommits(table string, n int) (perform func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableToDelay, s.commitsToDelay = table, n
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.commitsToDelay = 0
		for _, tx := range s.delayed {
			if s.holdLocked(tx.Expect) {
				s.apply(tx)
			}
		}
		s.delayed = nil
	}
}

// Delayed returns the number of commits that have been delayed and not performed yet.
func (s *Store) Delayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// Compact drops the history of changes, so that Changes fails with KindStale for earlier versions.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.compactedVersion = s.version
}

// BeforeNextCommit sets a function that is called once, before the next commit checks its conditions.
func (s *Store) BeforeNextCommit(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCommit = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row in a transaction without conditions, as a concurrent writer would.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(store.Tx{Upserts: []store.Row{{Table: table, Key: key, Value: value}}})
}

// Remove removes a row in a transaction without conditions, as a concurrent writer would.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(store.Tx{Remove: []store.Row{{Table: table, Key: key}}})
}

var errAnswerLost = fault.New(fault.Config{Kind: fault.KindOutcomeUnknown, Message: "the answer was lost", Remedy: "read again"})

var errDown = fault.New(fault.Config{Kind: fault.KindUnavailable, Message: "the store is down", Remedy: "try again"})

// All returns every row of a table.
func (s *Store) All(_ context.Context, table string) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return store.Snapshot{}, errDown
	}
	out := s.emptyLocked()
	for _, r := range s.rows[table] {
		out.Rows = append(out.Rows, r)
	}
	sort.Slice(out.Rows, func(a, b int) bool { return out.Rows[a].Key < out.Rows[b].Key })
	return out, nil
}

// Changes returns the changes of a table after version; it waits for a change until wait has passed or ctx ends.
func (s *Store) Changes(ctx context.Context, table string, version uint64, wait time.Duration) (store.Snapshot, error) {
	waited := time.After(wait)
	s.mu.Lock()
	outages := s.outages
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.calls++
		out := s.emptyLocked()
		down, stale, changed := s.down || s.outages != outages, version < s.compactedVersion || version > s.version, s.changed
		for _, r := range s.changes {
			if r.Table == table && r.Version > version {
				out.Rows = append(out.Rows, r)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return store.Snapshot{}, errDown
		case stale:
			return store.Snapshot{Era: out.Era}, fault.New(fault.Config{Kind: fault.KindStale, Message: "the store does not hold the history after this version", Remedy: "read the whole table again"})
		case len(out.Rows) > 0 || wait == 0:
			return out, nil
		}
		select {
		case <-changed:
		case <-waited:
			return store.Snapshot{Version: version, Era: out.Era, Now: out.Now}, nil
		case <-ctx.Done():
			return store.Snapshot{}, errors.Join(errDown, ctx.Err())
		}
	}
}

// Commit applies a transaction if its conditions hold.
func (s *Store) Commit(_ context.Context, tx store.Tx) (store.Snapshot, error) {
	s.mu.Lock()
	beforeCommit := s.beforeCommit
	s.beforeCommit = nil
	s.mu.Unlock()
	if beforeCommit != nil {
		beforeCommit()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return store.Snapshot{}, errDown
	}
	if s.commitsToDelay > 0 && changes(tx, s.tableToDelay) {
		s.commitsToDelay--
		s.delayed = append(s.delayed, tx)
		return store.Snapshot{}, errAnswerLost
	}
	if !s.holdLocked(tx.Expect) {
		return s.currentLocked(tx.Expect), fault.New(fault.Config{Kind: fault.KindConflict, Message: "a row is not at the expected version", Remedy: "read it again"})
	}
	s.apply(tx)
	if s.answersToLose > 0 {
		s.answersToLose--
		return store.Snapshot{}, errAnswerLost
	}
	return s.emptyLocked(), nil
}

// changes reports whether a transaction changes a table.
func changes(tx store.Tx, table string) bool {
	ofTable := func(r store.Row) bool { return r.Table == table }
	return slices.ContainsFunc(tx.Upserts, ofTable) || slices.ContainsFunc(tx.Remove, ofTable)
}

// holdLocked reports whether conditions hold.
func (s *Store) holdLocked(conditions []store.Row) bool {
	for _, condition := range conditions {
		if s.rows[condition.Table][condition.Key].Version != condition.Version {
			return false
		}
	}
	return true
}

// currentLocked returns a snapshot of the current rows that conditions name.
func (s *Store) currentLocked(conditions []store.Row) store.Snapshot {
	current := s.emptyLocked()
	for _, condition := range conditions {
		if row, ok := s.rows[condition.Table][condition.Key]; ok {
			current.Rows = append(current.Rows, row)
		}
	}
	return current
}

// emptyLocked returns a snapshot without rows.
func (s *Store) emptyLocked() store.Snapshot {
	return store.Snapshot{Version: s.version, Era: s.era, Now: s.now}
}

func (s *Store) apply(tx store.Tx) {
	s.version++
	for _, r := range tx.Upserts {
		r.Version = s.version
		if s.rows[r.Table] == nil {
			s.rows[r.Table] = map[string]store.Row{}
		}
		s.rows[r.Table][r.Key] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Remove {
		delete(s.rows[r.Table], r.Key)
		s.changes = append(s.changes, store.Row{Table: r.Table, Key: r.Key, Version: s.version, Deleted: true})
	}
	s.wakeLocked()
}
