package fleet

import (
	"errors"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// ErrPromotionAPIUnreachable is wrapped by errors of Adapter.Promote if no connection to the promotion API was opened.
var ErrPromotionAPIUnreachable = errors.New("no connection to the promotion API was opened")

const (
	// unreachableTime is how long the promotion API may be unreachable before the coordinator leaves its duty to another
	// instance at the end of its lease.
	unreachableTime = 2 * time.Second
	// unansweredTime is that time if the API accepts connections: it is then more likely to be down for all instances.
	unansweredTime = coordinatorLeaseDuration
	// handoverTime is how long an instance leaves the duty to others: its lease ends for them meanwhile.
	handoverTime = coordinatorLeaseDuration
)

// apiReach tells whether the promotion API answers this instance; it is safe for concurrent use.
type apiReach struct {
	mu sync.Mutex
	// failingSince and failedAt are the times of the first and of the last order since the last answer, or zero.
	failingSince, failedAt time.Time
	// connected reports that the last of these orders opened a connection.
	connected bool
	// yieldedUntil is until when the duty is left to other instances.
	yieldedUntil time.Time
}

// record records the result of an order at now.
func (r *apiReach) record(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || fault.KindOf(err) == fault.KindConflict {
		r.failingSince, r.failedAt, r.yieldedUntil = time.Time{}, time.Time{}, time.Time{}
		return
	}
	if r.failingSince.IsZero() || now.Sub(r.failedAt) > handoverTime {
		r.failingSince = now
	}
	r.failedAt = now
	r.connected = !errors.Is(err, ErrPromotionAPIUnreachable)
}

// yields reports whether the coordinator lease is not to be claimed or renewed at now, so that an instance that reaches the
// promotion API can.
//
// The lease is not given up before its end: no order of another holder may follow one of
// this instance sooner than that allows.
func (r *apiReach) yields(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.yieldedUntil) {
		return true
	}
	limit := unreachableTime
	if r.connected {
		limit = unansweredTime
	}
	if r.failingSince.IsZero() || now.Sub(r.failingSince) < limit || now.Sub(r.failedAt) > handoverTime {
		return false
	}
	r.failingSince, r.failedAt = time.Time{}, time.Time{}
	r.yieldedUntil = now.Add(handoverTime)
	return true
}

// yieldError returns the error of a claim that is left to other instances.
func yieldError() error {
	return fault.New(fault.Config{
		Kind:    fault.KindConflict,
		Message: "the promotion API does not answer this instance, which leaves the lease of the promotion coordinator to others",
		Remedy:  "check the path from this instance to the promotion API",
	})
}
