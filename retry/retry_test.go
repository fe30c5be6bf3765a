package retry_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/retry"
)

var (
	now      = time.Unix(1000, 0)
	deadline = now.Add(time.Second)
)

func TestClassify(t *testing.T) {
	nonIdempotent := retry.Request{Deadline: deadline}
	idempotent := retry.Request{Deadline: deadline, Idempotent: true}
	pastDeadline := retry.Request{Deadline: now, Idempotent: true}
	tests := []struct {
		name    string
		request retry.Request
		attempt retry.Attempt
		want    retry.Verdict
	}{
		{"not idempotent, no connection", nonIdempotent, retry.Attempt{Failure: retry.FailureConnect}, retry.VerdictRetry},
		{"not idempotent, lost before a byte was sent", nonIdempotent, retry.Attempt{Failure: retry.FailureLost}, retry.VerdictRetry},
		{"not idempotent, lost after a byte was sent", nonIdempotent, retry.Attempt{Failure: retry.FailureLost, SentBytes: true}, retry.VerdictUnknown},
		{"not idempotent, refused by a replica", nonIdempotent, retry.Attempt{Failure: retry.FailureReadOnly, SentBytes: true}, retry.VerdictRetry},
		{"not idempotent, lease lapsed", nonIdempotent, retry.Attempt{Failure: retry.FailureLeaseLapsed, SentBytes: true}, retry.VerdictUnknown},
		{"idempotent, lost after a byte was sent", idempotent, retry.Attempt{Failure: retry.FailureLost, SentBytes: true}, retry.VerdictRetry},
		{"idempotent, part of the answer sent to the caller", idempotent, retry.Attempt{Failure: retry.FailureLost, SentBytes: true, AnswerBegan: true}, retry.VerdictUnknown},
		{"idempotent, in a transaction", idempotent, retry.Attempt{Failure: retry.FailureLost, SentBytes: true, Pinned: true}, retry.VerdictUnknown},
		{"past the deadline, not sent", pastDeadline, retry.Attempt{Failure: retry.FailureNoLease}, retry.VerdictNotRun},
		{"past the deadline, sent", pastDeadline, retry.Attempt{Failure: retry.FailureLost, SentBytes: true}, retry.VerdictUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := retry.Classify(now, test.request, test.attempt); got != test.want {
				t.Errorf("Classify = %v, want %v", got, test.want)
			}
		})
	}
}

func TestNotRunErrorsStateThatNothingRan(t *testing.T) {
	failures := []retry.Failure{retry.FailureConnect, retry.FailureNoLease, retry.FailureBehind, retry.FailureReadOnly}
	for _, f := range failures {
		err := retry.VerdictNotRun.Error(retry.Attempt{Failure: f})
		if err.Kind().Effect() != fault.EffectNone {
			t.Errorf("%v: kind %v does not state that nothing ran", f, err.Kind())
		}
	}
}

func TestBudgetBoundsRetriesToShareOfRequests(t *testing.T) {
	const requests = 1000
	b := retry.NewBudget(retry.BudgetConfig{Ratio: 0.1, Burst: 10})
	retries := 0
	for range requests {
		b.Request()
		if b.Allow(now) {
			retries++
		}
	}
	if limit := requests/10 + 10; retries > limit {
		t.Errorf("%d retries for %d requests, want at most %d", retries, requests, limit)
	}
}

func TestBackoffStaysWithinBounds(t *testing.T) {
	b := retry.NewBackoff(retry.BackoffConfig{FirstBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond})
	for n := 1; n < 70; n++ {
		if w := b.Wait(n, 0.999); w < 0 || w > 100*time.Millisecond {
			t.Errorf("Wait(%d) = %v", n, w)
		}
	}
	if w := b.Wait(1, 0.5); w != 5*time.Millisecond {
		t.Errorf("Wait(1, 0.5) = %v, want 5ms", w)
	}
}
