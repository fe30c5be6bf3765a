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
	// open says that held carries the transaction; before its first statement it has no link.
	open bool
	held Held[L]
	// term is that of the primary that carries the transaction.
	term   group.Term
	wrote  bool
	failed bool
	// failure explains a failure to the next statement.
	failure string
}

// rollbackTimeout bounds the wait for an endpoint to roll back, after which the link is closed, which rolls back too.
const rollbackTimeout = 300 * time.Millisecond

// inTransaction answers a statement while a transaction is open.
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
		return refuse(ReasonMalformed, "a transaction is open", TxOpen)
	}
	j, refused := s.newJob(st, receivedAt)
	if refused != nil {
		return *refused
	}
	if s.tx.readOnly && j.writes {
		return refuse(ReasonReadOnly, "the transaction is read-only", TxOpen)
	}
	if !s.tx.open {
		return s.runFirst(ctx, j)
	}
	return s.releasePermit(s.runNext(ctx, j))
}

// afterFailure answers the statements of a failed transaction, which can only be ended.
func (s *Session[L]) afterFailure(st Statement) Answer {
	switch st.Op {
	case OpRollback:
		s.tx = nil
		return done(TxNone)
	case OpCommit:
		why := s.tx.failure
		s.tx = nil
		return refuse(ReasonAborted, why, TxNone)
	}
	return refuse(ReasonMalformed, s.tx.failure, TxFailed)
}

// runFirst places the transaction with its runFirst statement.
func (s *Session[L]) runFirst(ctx context.Context, j *job[L]) Answer {
	h, f, err := s.serve(ctx, j)
	if err != nil {
		s.markFailed("the transaction could not be started")
		return s.record(j, f, h, s.refusal(Statement{Op: OpRead}, err, s.stateAfterFailure(j)))
	}
	s.tx.held = h
	s.tx.open = true
	return s.record(j, f, h, s.releasePermit(s.applyAnswer(j, j.answer)))
}

// releasePermit ends the turn of the transaction's link until its next statement.
func (s *Session[L]) releasePermit(a Answer) Answer {
	if s.Holding() {
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
// Nothing lasts before COMMIT, so that a failure up to then may be repeated elsewhere.
func (j *job[L]) openTransaction(h Held[L]) Outcome {
	s := j.session
	begin := Command{Statement: Statement{ID: OwnID, Op: OpBegin}}
	if s.tx.readOnly {
		begin.Statement.Op = OpBeginRead
	}
	if h.OnReplica {
		begin.Floor = h.Request.Floor
	}
	a, _, ok := s.exec(h, j.deadline, begin, nil, false)
	if !ok {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	}
	if a.Refusal != nil || a.State != TxOpen {
		return j.beginFailed(h, a)
	}
	if !h.OnReplica && !s.terms.Group.LeaseValid() {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureNoLease}}
	}
	s.tx.term = s.currentTerm()
	a, _, ok = s.exec(h, j.deadline, Command{Statement: j.statement}, j.preparedStmt, true)
	if !ok {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	}
	if a.Refusal != nil {
		if o, again := j.retryable(h, a.Refusal); again {
			o.Reusable = false
			return o
		}
	}
	j.answer = a
	return Outcome{Answered: true}
}

// beginFailed returns the failed attempt of a BEGIN that was refused.
func (j *job[L]) beginFailed(h Held[L], a Answer) Outcome {
	if a.Refusal == nil || a.State != TxNone {
		return Outcome{Attempt: retry.Attempt{Failure: retry.FailureLost, SentBytes: true}}
	}
	if o, again := j.retryable(h, a.Refusal); again {
		return o
	}
	return Outcome{Attempt: retry.Attempt{Failure: retry.FailureBusy}}
}

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
		why := fault.As(err).Message()
		s.markFailed(why)
		return s.record(j, nil, tx.held, refuse(ReasonAborted, why, s.stateAfterFailure(j)))
	}
	if !tx.held.OnReplica && !s.remainsPrimaryInTerm(j.deadline) {
		return s.record(j, nil, tx.held, s.abort(j, "the primary was replaced, or is not confirmed, during the transaction"))
	}
	a, sent, ok := s.exec(tx.held, j.deadline, Command{Statement: j.statement}, j.preparedStmt, true)
	if !ok {
		if j.statement.Op == OpCommit && sent && tx.wrote {
			return s.record(j, nil, tx.held, s.inDoubt())
		}
		return s.record(j, nil, tx.held, s.abort(j, "the endpoint was lost during the transaction; nothing of it is kept"))
	}
	return s.record(j, nil, tx.held, s.applyAnswer(j, a))
}

// remainsPrimaryInTerm reports whether the member that carries the transaction still leads in the same term.
func (s *Session[L]) remainsPrimaryInTerm(deadline time.Time) bool {
	return s.remainsPrimary(s.tx.held.Endpoint, deadline) && s.currentTerm() == s.tx.term
}

// applyAnswer brings the session's transaction in line with an endpoint's answer.
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
		text := "a statement of the transaction failed"
		s.rollback()
		s.markFailed(text)
		return a
	}
	// The endpoint ended the transaction by itself.
	s.release()
	s.markFailed("the endpoint ended the transaction")
	a.State = TxFailed
	return a
}

// applyCommit settles the answer to COMMIT.
func (s *Session[L]) applyCommit(j *job[L], a Answer) Answer {
	tx := s.tx
	if a.State != TxNone {
		s.rollback()
		s.tx = nil
		if a.Refusal == nil {
			return refuse(ReasonInDoubt, "the endpoint did not end the transaction", TxNone)
		}
		a.State = TxNone
		return a
	}
	if a.Refusal == nil && tx.wrote && !s.remainsPrimaryInTerm(j.deadline) {
		return s.inDoubt()
	}
	if a.Refusal == nil && tx.wrote {
		s.floor = a.Point
	}
	s.release()
	s.tx = nil
	return a
}

// inDoubt ends a transaction whose COMMIT may or may not have taken effect.
func (s *Session[L]) inDoubt() Answer {
	s.tx.held.Discard()
	s.tx = nil
	return refuse(ReasonInDoubt, "the endpoint was lost, or replaced, before it confirmed the commit", TxNone)
}

// abort gives up the transaction, of which nothing is kept, and answers the statement so.
func (s *Session[L]) abort(j *job[L], why string) Answer {
	s.tx.held.Discard()
	s.tx.open = false
	s.markFailed(why)
	return refuse(ReasonAborted, why, s.stateAfterFailure(j))
}

// markFailed marks the transaction as one that can only be ended.
func (s *Session[L]) markFailed(why string) {
	s.tx.failed = true
	s.tx.failure = why
}

// release gives the transaction's link back, which has left the transaction.
func (s *Session[L]) release() {
	s.tx.held.Release()
	s.tx.open = false
}

// rollback ends the transaction at its endpoint, if it has reached one.
func (s *Session[L]) rollback() {
	if !s.tx.open {
		return
	}
	command := Command{Statement: Statement{ID: OwnID, Op: OpRollback}}
	a, _, ok := s.exec(s.tx.held, s.cfg.Clock().Add(rollbackTimeout), command, nil, true)
	if !ok || a.State != TxNone {
		s.tx.held.Discard()
		s.tx.open = false
		return
	}
	s.release()
}

// Expire rolls back a transaction that has waited for its caller for too long; the next statement learns of it.
func (s *Session[L]) Expire() {
	s.rollback()
	s.markFailed("the transaction was idle for longer than the contract allows; it was rolled back")
}

// Interrupt rolls the open transaction back because this instance shuts down.
func (s *Session[L]) Interrupt() {
	s.rollback()
	s.markFailed("this instance is shutting down; the transaction was rolled back")
}
