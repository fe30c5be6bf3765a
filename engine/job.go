package engine

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// job is one statement being run; it is the Operation of a single statement, or of the first one of a transaction.
type job[L StatementLink[L]] struct {
	session      *Session[L]
	statement    Statement
	preparedStmt *preparedStatement
	writes       bool
	receivedAt   time.Time
	deadline     time.Time
	endpoint     string
	answer       Answer
}

// staleMargin is subtracted from the maximum staleness to allow for the network delay between caller and instance.
const staleMargin = 20 * time.Millisecond

// Prepare returns at once: the routing decision itself includes the wait that it requires.
func (j *job[L]) Prepare(context.Context) error { return nil }

// Route sends writes, and reads that need the newest data, to the primary, and other reads to a member that has
// reached their floor.
func (j *job[L]) Route(_ time.Time, t *route.Tracker) (route.Request, error) {
	primary := route.Request{Class: route.ClassWrite}
	reads := j.session.terms.Contract.Reads()
	if !j.mayReadReplica(reads.Consistency()) {
		return primary, nil
	}
	floor, at, ok := t.FloorSince(j.startedAt().Add(staleMargin - reads.MaxStaleness()))
	if !ok {
		return primary, nil
	}
	// A commit of an earlier term is at or below the floor, or a failover has lost it.
	if own, ok := j.session.floors.Get(j.session.terms.Group.Log()); ok && own.Term() >= t.Term() && floor.Less(own) {
		floor = own
	}
	return route.Request{Class: route.ClassRead, Floor: floor, FloorAt: at, WaitBudget: reads.ReplicaWait()}, nil
}

// startedAt returns when the statement, or its transaction, was received; staleness is measured from then.
func (j *job[L]) startedAt() time.Time {
	if tx := j.session.tx; tx != nil {
		return tx.startedAt
	}
	return j.receivedAt
}

// mayReadReplica reports whether a replica may serve the job.
func (j *job[L]) mayReadReplica(c contract.Consistency) bool {
	if c == contract.ConsistencyPrimary {
		return false
	}
	if tx := j.session.tx; tx != nil {
		return tx.readOnly
	}
	return !j.writes
}

// Exchange sends the statement over the held link, after a BEGIN if it is the first of a transaction.
func (j *job[L]) Exchange(h HeldLink[L]) Outcome {
	j.endpoint = h.Endpoint
	if j.session.tx != nil {
		return j.openTransaction(h)
	}
	floor := group.Point{}
	if h.OnReplica {
		floor = h.Request.Floor
	}
	a, failed := j.session.exec(h, j.deadline, Command{Statement: j.statement, Floor: floor}, j.preparedStmt, false)
	if failed != nil {
		return Outcome{Attempt: *failed}
	}
	if a.State != TxNone {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	}
	return j.evaluate(h, a)
}

// evaluate turns a complete answer into an outcome.
func (j *job[L]) evaluate(h HeldLink[L], a Answer) Outcome {
	if a.Refusal != nil {
		if o, mayRetry := j.retryable(h, a.Refusal); mayRetry {
			return o
		}
		j.answer = a
		return Outcome{Answered: true, Failed: a.Refusal.Reason == ReasonFailed}
	}
	if !h.OnReplica && !j.session.remainsPrimary(h.Endpoint, j.deadline) {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLeaseLapsed, SentBytes: true}, Reusable: true}
	}
	if j.writes {
		j.session.raiseFloor(a.Point)
	}
	j.answer = a
	return Outcome{Answered: true}
}

// retryable maps a refusal to a failed attempt; mayRetry is false if the refusal goes to the caller.
func (j *job[L]) retryable(h HeldLink[L], r *Refusal) (o Outcome, mayRetry bool) {
	o.Reusable = true
	switch r.Reason {
	case ReasonBehind:
		o.Attempt.Failure = retry.FailureBehind
	case ReasonReadOnly:
		o.Attempt.Failure = retry.FailureReadOnly
	case ReasonOverloaded:
		o.Attempt.Failure = retry.FailureBusy
	case ReasonWrongEndpoint, ReasonTooManyLinks:
		o.Attempt.Failure = retry.FailureConnect
	case ReasonUnknownStatement:
		h.Link.State().clearPrepared()
		o.Attempt.Failure = retry.FailureBusy
	case ReasonFailed, ReasonTimeout:
		if j.writes {
			return o, false
		}
		o.Attempt = retry.Attempt{Failure: retry.FailureLost, SentBytes: true}
	default:
		return o, false
	}
	return o, true
}

// requiresPrimary reports whether only a primary accepts the statement.
func requiresPrimary(st Statement, stmt *preparedStatement) bool {
	switch st.Op {
	case OpWrite, OpBegin:
		return true
	case OpExecute:
		return stmt != nil && stmt.writes
	}
	return false
}

// remainsPrimary reports whether endpoint is still the confirmed primary, so that its answer may be acknowledged.
//
// It waits for an expired lease to be confirmed again: if the same member is then
// still primary, it was primary all the time.
func (s *Session[L]) remainsPrimary(endpoint string, deadline time.Time) bool {
	g := s.terms.Group
	if g.LeaseValid() {
		return g.Primary() == endpoint
	}
	if g.AwaitLease(context.Background(), deadline) != nil {
		return false
	}
	return g.Primary() == endpoint
}
