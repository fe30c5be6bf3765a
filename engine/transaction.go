package engine

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
)

// transaction is the open transaction of a session.
type transaction[L StatementLink[L]] struct {
	readOnly  bool
	startedAt time.Time
	// open reports whether the transaction runs on held; it has no link before its first statement.
	open bool
	held HeldLink[L]
	// term is the term in which the transaction began.
	term   group.Term
	wrote  bool
	failed bool
	// failure is the error text for the statements after a failure.
	failure string
}

// rollbackTimeout bounds the wait for an endpoint to roll back; then the link is closed, which rolls back as well.
const rollbackTimeout = 300 * time.Millisecond

// inTransaction runs a statement while a transaction is open.
func (s *Session[L]) inTransaction(ctx context.Context, st Statement, receivedAt time.Time) Answer {
	if s.tx.failed {
		return s.afterFailure(st)
	}
	switch st.Op {
	case OpSet, OpPrepare, OpDeallocate:
		return s.runLocal(st)
	case OpRollback:
		s.rollback()
		s.tx = nil
		return done(TxNone)
	case OpRead, OpWrite, OpExecute, OpCommit:
	default:
		return refuse(ReasonMalformed, "a transaction is already open; commit it or roll it back first", TxOpen)
	}
	j, refused := s.newJob(st, receivedAt)
	if refused != nil {
		return *refused
	}
	if s.tx.readOnly && j.writes {
		return refuse(ReasonReadOnly, "the transaction is read-only; begin a read-write transaction", TxOpen)
	}
	if !s.tx.open {
		return s.runFirst(ctx, j)
	}
	return s.releasePermit(s.runNext(ctx, j))
}

// afterFailure answers a statement of a failed transaction, which accepts only COMMIT and ROLLBACK.
func (s *Session[L]) afterFailure(st Statement) Answer {
	switch st.Op {
	case OpRollback:
		s.tx = nil
		return done(TxNone)
	case OpCommit:
		failure := s.tx.failure
		s.tx = nil
		return refuse(ReasonAborted, failure, TxNone)
	}
	return refuse(ReasonMalformed, s.tx.failure, TxFailed)
}

// runFirst chooses the transaction's endpoint and runs its first statement there.
func (s *Session[L]) runFirst(ctx context.Context, j *job[L]) Answer {
	h, e, err := s.serve(ctx, j)
	if err != nil {
		s.markFailed("the transaction could not be started")
		return s.record(j, e, h, s.refusal(Statement{Op: OpRead}, err, s.stateAfterFailure(j)))
	}
	s.tx.held = h
	s.tx.open = true
	return s.record(j, e, h, s.releasePermit(s.applyAnswer(j, j.answer)))
}

// releasePermit releases the permit of the transaction's link until the next statement, and returns a.
func (s *Session[L]) releasePermit(a Answer) Answer {
	if s.HoldsLink() {
		s.tx.held.Connections.ReleasePermit(s.tx.held.Link)
	}
	return a
}

// stateAfterFailure returns the state after a failed statement; a failed COMMIT ends the transaction.
func (s *Session[L]) stateAfterFailure(j *job[L]) TxState {
	if j.statement.Op != OpCommit {
		return TxFailed
	}
	s.tx = nil
	return TxNone
}

// openTransaction begins a transaction on the held link and runs its first statement there.
//
// Nothing is durable before COMMIT, so a failure here may be retried at another endpoint.
func (j *job[L]) openTransaction(h HeldLink[L]) Outcome {
	s := j.session
	begin := Command{Statement: Statement{ID: ProxyStatementID, Op: OpBegin}}
	if s.tx.readOnly {
		begin.Statement.Op = OpBeginRead
	}
	if h.OnReplica {
		begin.Floor = h.Request.Floor
	}
	a, failed := s.exec(h, j.deadline, begin, nil, false)
	if failed != nil {
		return Outcome{Attempt: *failed}
	}
	if a.Refusal != nil || a.State != TxOpen {
		return j.beginFailed(h, a)
	}
	if !h.OnReplica && !s.terms.Group.LeaseValid() {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureNoLease}}
	}
	s.tx.term = s.currentTerm()
	a, failed = s.exec(h, j.deadline, Command{Statement: j.statement}, j.preparedStmt, true)
	if failed != nil {
		return Outcome{Attempt: *failed}
	}
	if a.Refusal != nil {
		if o, mayRetry := j.retryable(h, a.Refusal); mayRetry {
			o.Reusable = false
			return o
		}
	}
	j.answer = a
	return Outcome{Answered: true, Failed: a.Refusal != nil && a.Refusal.Reason == ReasonFailed}
}

// beginFailed returns the failed attempt of a refused BEGIN.
func (j *job[L]) beginFailed(h HeldLink[L], a Answer) Outcome {
	if a.Refusal == nil || a.State != TxNone {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	}
	if o, mayRetry := j.retryable(h, a.Refusal); mayRetry {
		return o
	}
	return Outcome{Attempt: retry.Attempt{Failure: retry.FailureBusy}}
}

// currentTerm returns the newest term known of the session's group.
func (s *Session[L]) currentTerm() group.Term {
	g := s.terms.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Term()
}

// runNext runs a later statement on the transaction's link.
func (s *Session[L]) runNext(ctx context.Context, j *job[L]) Answer {
	tx := s.tx
	j.endpoint = tx.held.Endpoint
	if err := tx.held.Connections.ReacquirePermit(ctx, tx.held.Link, j.deadline); err != nil {
		s.rollback()
		failure := fault.As(err).Message()
		s.markFailed(failure)
		return s.record(j, nil, tx.held, refuse(ReasonAborted, failure, s.stateAfterFailure(j)))
	}
	if !tx.held.OnReplica && !s.remainsPrimaryInTerm(j.deadline) {
		return s.record(j, nil, tx.held, s.abort(j, "the primary was replaced, or its lease could not be confirmed, during the transaction"))
	}
	a, failed := s.exec(tx.held, j.deadline, Command{Statement: j.statement}, j.preparedStmt, true)
	if failed != nil {
		if j.statement.Op == OpCommit && failed.SentBytes && tx.wrote {
			return s.record(j, nil, tx.held, s.inDoubt())
		}
		return s.record(j, nil, tx.held, s.abort(j, failed.Failure.String()+"; the transaction was rolled back"))
	}
	return s.record(j, nil, tx.held, s.applyAnswer(j, a))
}

// remainsPrimaryInTerm reports whether the transaction's endpoint is still primary in the term in which it began.
func (s *Session[L]) remainsPrimaryInTerm(deadline time.Time) bool {
	return s.remainsPrimary(s.tx.held.Endpoint, deadline) && s.currentTerm() == s.tx.term
}

// applyAnswer updates the session's transaction from an endpoint's answer.
func (s *Session[L]) applyAnswer(j *job[L], a Answer) Answer {
	tx := s.tx
	if a.Refusal == nil && j.writes {
		tx.wrote = true
	}
	if j.statement.Op == OpCommit {
		return s.applyCommit(j, a)
	}
	switch a.State {
	case TxOpen:
		if a.Refusal != nil && a.Refusal.Reason == ReasonOverloaded {
			return s.abort(j, a.Refusal.Text)
		}
		return a
	case TxFailed:
		text := "a statement of the transaction failed; the transaction was rolled back"
		s.rollback()
		s.markFailed(text)
		return a
	}
	// The endpoint ended the transaction without a COMMIT or ROLLBACK.
	s.release()
	s.markFailed("the endpoint ended the transaction unexpectedly")
	a.State = TxFailed
	return a
}

// applyCommit ends the session's transaction from the endpoint's answer to COMMIT.
func (s *Session[L]) applyCommit(j *job[L], a Answer) Answer {
	tx := s.tx
	if a.State != TxNone {
		s.rollback()
		s.tx = nil
		if a.Refusal == nil {
			return refuse(ReasonInDoubt, "the endpoint did not end the transaction; read back the result before retrying", TxNone)
		}
		a.State = TxNone
		return a
	}
	if a.Refusal == nil && tx.wrote && !s.remainsPrimaryInTerm(j.deadline) {
		return s.inDoubt()
	}
	if a.Refusal == nil && tx.wrote {
		s.raiseFloor(a.Point)
	}
	s.release()
	s.tx = nil
	return a
}

// inDoubt ends a transaction whose COMMIT may or may not have taken effect.
func (s *Session[L]) inDoubt() Answer {
	s.tx.held.Discard()
	s.tx = nil
	return refuse(ReasonInDoubt, "the connection to the primary was lost, or the primary was replaced, before the commit was confirmed; read back the result before retrying", TxNone)
}

// abort discards the transaction's link, which rolls the transaction back, and refuses the statement.
func (s *Session[L]) abort(j *job[L], failure string) Answer {
	s.tx.held.Discard()
	s.tx.open = false
	s.markFailed(failure)
	return refuse(ReasonAborted, failure, s.stateAfterFailure(j))
}

// markFailed records a failure, after which the transaction can only be ended.
func (s *Session[L]) markFailed(failure string) {
	s.tx.failed = true
	s.tx.failure = failure
}

// release returns the transaction's link, on which the transaction has ended.
func (s *Session[L]) release() {
	s.tx.held.Release()
	s.tx.open = false
}

// rollback rolls the transaction back at its endpoint, if it has begun there.
func (s *Session[L]) rollback() {
	if !s.tx.open {
		return
	}
	command := Command{Statement: Statement{ID: ProxyStatementID, Op: OpRollback}}
	a, failed := s.exec(s.tx.held, s.cfg.Clock().Add(rollbackTimeout), command, nil, true)
	if failed != nil || a.State != TxNone {
		s.tx.held.Discard()
		s.tx.open = false
		return
	}
	s.release()
}

// Expire rolls back a transaction that exceeded the idle limit; its next statement fails with that reason.
func (s *Session[L]) Expire() {
	s.rollback()
	s.markFailed("the transaction was idle for longer than the contract allows; it was rolled back")
}

// Interrupt rolls back the open transaction because this instance is shutting down.
func (s *Session[L]) Interrupt() {
	s.rollback()
	s.markFailed("this instance is shutting down; the transaction was rolled back")
}
