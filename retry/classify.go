package retry

import (
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Failure is the reason why an attempt failed.
type Failure uint8

// The reasons why an attempt fails.
const (
	// FailureConnect means that no connection was available.
	FailureConnect Failure = iota
	// FailureLost means that the connection was closed or timed out before the answer was complete.
	FailureLost
	// FailureReadOnly means that the endpoint refused a write with SQLSTATE 25006.
	FailureReadOnly
	// FailureBehind means that a replica had not reached the log point that the read must see.
	FailureBehind
	// FailureNoLease means that the attempt was not sent because no primary was confirmed by a lease.
	FailureNoLease
	// FailureLeaseLapsed means that the answer arrived but may not be acknowledged, since no lease covers it.
	FailureLeaseLapsed
	// FailureBusy means that the endpoint had no capacity for the request and did not run it.
	FailureBusy
	// FailureSession means that the endpoint refused a value or a prepared statement of the session, without which the
	// request did not run.
	FailureSession
)

// Request holds the properties of a request on which a verdict depends.
type Request struct {
	Idempotent bool
	Deadline   time.Time
}

// Attempt describes one failed attempt.
type Attempt struct {
	Failure     Failure
	SentBytes   bool
	AnswerBegan bool
	Pinned      bool
}

// Verdict is the action to take after a failed attempt.
type Verdict uint8

// The verdicts on a failed attempt.
const (
	// VerdictRetry means that the request may be sent again.
	VerdictRetry Verdict = iota
	// VerdictNotRun means that the request fails and did not run.
	VerdictNotRun
	// VerdictUnknown means that the request fails and may have run.
	VerdictUnknown
)

// Classify returns the verdict on a failed attempt at now, without regard to the retry budget.
//
// Pinned marks an attempt inside an open transaction, which cannot move to
// another connection. AnswerBegan marks an attempt of which part of the answer
// was sent to the caller; such an attempt is never repeated.
func Classify(now time.Time, r Request, a Attempt) Verdict {
	ran := mayHaveRun(a)
	if a.AnswerBegan || a.Pinned || !now.Before(r.Deadline) {
		return finalVerdict(ran)
	}
	if !ran {
		return VerdictRetry
	}
	if r.Idempotent {
		return VerdictRetry
	}
	return VerdictUnknown
}

func finalVerdict(ran bool) Verdict {
	if ran {
		return VerdictUnknown
	}
	return VerdictNotRun
}

// mayHaveRun reports whether the endpoint may have run the request.
func mayHaveRun(a Attempt) bool {
	switch a.Failure {
	case FailureConnect, FailureNoLease, FailureReadOnly, FailureBehind, FailureBusy, FailureSession:
		return false
	}
	return a.SentBytes
}

// Error returns the error that the caller receives for a final verdict.
func (v Verdict) Error(a Attempt) *fault.Error {
	if v == VerdictUnknown {
		return fault.New(fault.Config{
			Kind:    fault.KindOutcomeUnknown,
			Message: "the endpoint was lost before it answered; the request may or may not have run",
			Remedy:  "read back the result before sending the request again",
		})
	}
	return fault.New(fault.Config{
		Kind:    notRunKind(a.Failure),
		Message: "the request did not run: " + a.Failure.String(),
		Remedy:  "try again in a second",
	})
}

func notRunKind(f Failure) fault.Kind {
	switch f {
	case FailureNoLease, FailureLeaseLapsed, FailureReadOnly:
		return fault.KindNoPrimary
	case FailureBehind:
		return fault.KindNoReplica
	case FailureBusy:
		return fault.KindOverloaded
	}
	return fault.KindUnavailable
}

// String returns the failure as a phrase.
func (f Failure) String() string {
	names := [...]string{
		"no connection to the endpoint",
		"the connection was lost",
		"the endpoint accepts no writes",
		"the replica is too far behind",
		"no primary is confirmed",
		"the primary's lease lapsed",
		"the endpoint is busy",
		"the session's values could not be set at the endpoint",
	}
	return names[f]
}
