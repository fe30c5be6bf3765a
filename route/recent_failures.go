package route

import (
	"slices"
	"sync"
	"time"
)

// RecentFailuresConfig configures a RecentFailures.
type RecentFailuresConfig struct {
	// Period is how long a failure puts a target behind others; then one request tries it first again.
	Period time.Duration
}

// RecentFailures orders targets such that those that failed recently come last; it is safe for concurrent use.
//
// Where all requests prefer the same target, each of them would otherwise wait for the
// timeout of one that is cut off, until the fleet knows that it is gone.
type RecentFailures[K comparable] struct {
	period   time.Duration
	mu       sync.Mutex
	failedAt map[K]time.Time
}

// NewRecentFailures returns a RecentFailures without failures.
func NewRecentFailures[K comparable](cfg RecentFailuresConfig) *RecentFailures[K] {
	return &RecentFailures[K]{period: cfg.Period, failedAt: map[K]time.Time{}}
}

// Failed records that a target failed at now.
func (f *RecentFailures[K]) Failed(now time.Time, target K) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt[target] = now
}

// Answered records that a target answered.
func (f *RecentFailures[K]) Answered(target K) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failedAt, target)
}

// Order returns the targets in order, those that have failed within the period before now last.
//
// A target whose period has just ended is put first for one call only: its failure counts as new until it answers.
func (f *RecentFailures[K]) Order(now time.Time, targets []K) []K {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failedAt) == 0 {
		return targets
	}
	ordered := slices.Clone(targets)
	slices.SortStableFunc(ordered, func(a, b K) int { return f.rank(now, a) - f.rank(now, b) })
	if len(ordered) > 0 {
		if _, failed := f.failedAt[ordered[0]]; failed {
			f.failedAt[ordered[0]] = now
		}
	}
	return ordered
}

// AllFailed reports whether all targets have failed within the period before now.
func (f *RecentFailures[K]) AllFailed(now time.Time, targets []K) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(targets, func(target K) bool { return f.rank(now, target) == 0 })
}

// rank returns 1 for a target that failed within the period before now, and 0 for others.
func (f *RecentFailures[K]) rank(now time.Time, target K) int {
	failedAt, failed := f.failedAt[target]
	if failed && now.Sub(failedAt) < f.period {
		return 1
	}
	return 0
}
