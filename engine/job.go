package engine

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// job is one statement on its way: alone, or as the first of a transaction.
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

// staleMargin is taken off the greatest age of data, for the way of a caller's first byte to this instance.
const staleMargin = 20 * time.Millisecond

// Prepare returns at once: what a decision lacks, it waits for.
func (j *job[L]) Prepare(context.Context) error { return nil }

// Route sends writes and reads of the newest data to the primary, and other reads to where their floor is reached.
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
	if floor.Less(j.session.floor) {
		floor = j.session.floor
	}
	return route.Request{Class: route.ClassRead, Floor: floor, FloorAt: at, WaitBudget: reads.ReplicaWait()}, nil
}

// startedAt is when the first byte that the read's age is measured from came in.
func (j *job[L]) startedAt() time.Time {
	if tx := j.session.tx; tx != nil {
		return tx.startedAt
	}
	return j.receivedAt
}

// mayReadReplica reports whether a replica can serve the job at all.
func (j *job[L]) mayReadReplica(c contract.Consistency) bool {
	if c == contract.ConsistencyPrimary {
		return false
	}
	if tx := j.session.tx; tx != nil {
		return tx.readOnly
	}
	return !j.writes
}

// Exchange sends the job over the held link, after a BEGIN when it opens a transaction.
func (j *job[L]) Exchange(h Held[L]) Outcome {
	j.endpoint = h.Endpoint
	if j.session.tx != nil {
		return j.openTransaction(h)
	}
	floor := group.Point{}
	if h.OnReplica {
		floor = h.Request.Floor
	}
	a, sent, ok := j.session.exec(h, j.deadline, Command{Statement: j.statement, Floor: floor}, j.preparedStmt, false)
	if !ok {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: sent}}
	}
	if a.State != TxNone {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	}
	return j.evaluate(h, a)
}

// evaluate decides what becomes of a complete answer.
func (j *job[L]) evaluate(h Held[L], a Answer) Outcome {
	if a.Refusal != nil {
		if o, again := j.retryable(h, a.Refusal); again {
			return o
		}
		j.answer = a
		return Outcome{Answered: true}
	}
	if !h.OnReplica && !j.session.remainsPrimary(h.Endpoint, j.deadline) {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLeaseLapsed, SentBytes: true}, Reusable: true}
	}
	if j.writes {
		j.session.floor = a.Point
	}
	j.answer = a
	return Outcome{Answered: true}
}

// retryable returns the failed attempt that a refusal stands for; again is false when the caller gets the refusal itself.
func (j *job[L]) retryable(h Held[L], r *Refusal) (o Outcome, again bool) {
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

// exec sends a command with what its link needs ahead of it, and returns the command's answer.
//
// ok is false when the link is lost, or when something ahead of the command was refused.
func (s *Session[L]) exec(h Held[L], deadline time.Time, c Command, needs *preparedStatement, inTx bool) (a Answer, sent, ok bool) {
	state := h.Link.State()
	s.commands = state.restore(s.commands[:0], s.values, needs, inTx)
	if needs != nil {
		c.Alias = needs.alias
	}
	s.commands = append(s.commands, c)
	sentAt := s.cfg.Clock()
	answers, sent, err := h.Link.Exec(deadline, s.commands, s.answers[:0])
	s.answers = answers
	if err != nil {
		return a, sent, false
	}
	last := len(answers) - 1
	for _, one := range answers[:last] {
		if one.Refusal != nil {
			return a, true, false
		}
	}
	a = answers[last]
	h.Link.SetAnsweredAt(s.cfg.Clock())
	if !a.Point.IsZero() {
		s.terms.Group.ObservePoint(h.Endpoint, sentAt, a.Point)
	}
	if a.Refusal == nil && !h.OnReplica && requiresPrimary(c.Statement, needs) {
		s.terms.Group.ObservePrimary(h.Endpoint, sentAt, a.Point)
	}
	return a, true, true
}

// requiresPrimary reports whether only a primary takes the statement.
func requiresPrimary(st Statement, needs *preparedStatement) bool {
	switch st.Op {
	case OpWrite, OpBegin:
		return true
	case OpExecute:
		return needs != nil && needs.writes
	}
	return false
}

// remainsPrimary reports whether an answer of the primary may be given to its caller.
//
// A lease that ran out meanwhile may be confirmed again within a moment; if the
// same member still leads then, it led all the time.
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
