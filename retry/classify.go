package retry

import (
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Failure says how an attempt ended.
type Failure uint8

// The ways in which an attempt fails.
const (
	// FailureConnect means that no connection could be had.
	FailureConnect Failure = iota
	// FailureLost means that the connection ended or went silent before the whole answer came.
	FailureLost
	// FailureReadOnly means that the endpoint refused a write with SQLSTATE 25006.
	FailureReadOnly
	// FailureBehind means that a replica had not reached what the read must see.
	FailureBehind
	// FailureNoLease means that the attempt was held back before it was sent.
	FailureNoLease
	// FailureLeaseLapsed means that the answer came but may not be acknowledged.
	FailureLeaseLapsed
	// FailureBusy means that the endpoint had no capacity for the request and did not run it.
	FailureBusy
)

// Request is what a verdict depends on besides the failure.
type Request struct {
	Idempotent bool
	Deadline   time.Time
}

// Attempt describes one failed attempt.
type Attempt struct {
	Failure     Failure
	SentBytes   bool
	AnswerBegan bool
	InSequence  bool
}

// Verdict says what to do after a failed attempt.
type Verdict uint8

// The verdicts.
const (
	VerdictRetry Verdict = iota
	VerdictNotRun
	VerdictUnknown
)

// Judge returns the verdict on a failed attempt at now, before the retry budget is asked.
//
// InSequence marks an attempt inside an open transaction, which cannot move to
// another connection. AnswerBegan marks that part of the answer went to the
// caller, after which nothing may be repeated.
func Judge(now time.Time, r Request, a Attempt) Verdict {
	ran := mayHaveRun(a)
	if a.AnswerBegan || a.InSequence || !now.Before(r.Deadline) {
		return final(ran)
	}
	if !ran {
		return VerdictRetry
	}
	if r.Idempotent {
		return VerdictRetry
	}
	return VerdictUnknown
}

func final(ran bool) Verdict {
	if ran {
		return VerdictUnknown
	}
	return VerdictNotRun
}

// mayHaveRun reports whether the attempt can have had an effect.
func mayHaveRun(a Attempt) bool {
	switch a.Failure {
	case FailureConnect, FailureNoLease, FailureReadOnly, FailureBehind, FailureBusy:
		return false
	}
	return a.SentBytes
}

// Error returns the error that a caller gets for a final verdict.
func (v Verdict) Error(a Attempt) *fault.Error {
	if v == VerdictUnknown {
		return fault.New(fault.Config{
			Kind:    fault.KindOutcomeUnknown,
			Message: "the endpoint was lost before it answered; the request may or may not have run",
			Remedy:  "read back the result before entering the request again",
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
		"the endpoint takes no writes",
		"the replica is too far behind",
		"no primary is confirmed",
		"the primary's lease lapsed",
		"the endpoint is busy",
	}
	return names[f]
}
