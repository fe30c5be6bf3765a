package caller

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// finish completes a batch whose exchange has ended: it checks that the answer may be acknowledged and releases the connection.
func (s *callerSession) finish(ctx context.Context, r *request, x *exchange, complete bool) error {
	s.answer = x.answer
	if !complete {
		s.discardFailed()
		if x.callerErr != nil {
			return errCallerLost
		}
		return retry.Classify(clock.Now(), retry.Request{Deadline: r.deadline}, x.attempt()).Error(x.attempt())
	}
	s.txStatus = x.txStatus
	s.skipping = x.stillSkipping
	s.awaitsSync = s.batch.lastKind() == messageFlush
	s.inTransaction = x.txStatus != 'I' || s.batch.lastKind() == messageFlush
	s.leaseExempt = s.onReplica
	if !s.onReplica {
		if err := s.acknowledge(ctx, r, x); err != nil {
			s.discard()
			return err
		}
	}
	s.applyEffect(x)
	s.releaseConnection()
	return s.awaitReplica(ctx, r, x)
}

// awaitReplica delays the answer to a write until a replica holds it, if the contract demands that.
//
// The connection has been released before, so that the wait adds latency only. An
// answer that is sent without a replica has waited longer than it takes for a primary
// that is partitioned from its replicas to lose its leases and be replaced.
func (s *callerSession) awaitReplica(ctx context.Context, r *request, x *exchange) error {
	writes := s.binding.Contract().Writes()
	if s.onReplica || !s.mayHaveWritten(r, x) || writes.Replication() == contract.ReplicationOff {
		return nil
	}
	deadline := r.deadline
	if writes.Replication() == contract.ReplicationWait {
		deadline = clock.Now().Add(writes.MaxWait())
	}
	err := x.group.AwaitReplicated(ctx, x.statusAfter.Point(), deadline)
	if fault.KindOf(err) == fault.KindNoPrimary && writes.Replication() == contract.ReplicationWait {
		return nil
	}
	if err != nil {
		return errUnacknowledged(err)
	}
	return nil
}

// discard closes the session's connection; an open transaction is lost with it.
func (s *callerSession) discard() {
	s.setActive(nil)
	s.connPool.Discard(s.conn)
	s.conn = nil
}

// acknowledge waits for a valid lease, checks that the primary of the newest term answered, and raises the floor after a write.
func (s *callerSession) acknowledge(ctx context.Context, r *request, x *exchange) error {
	g := x.group
	if err := g.AwaitLease(ctx, r.deadline); err != nil {
		return errUnacknowledged(err)
	}
	s.answerPoint = g.UnknownPoint()
	if x.txStatus != 'I' || s.awaitsSync {
		return nil
	}
	if !x.hasStatusAfter || !g.IsFromPrimary(x.statusAfter) {
		return errUnacknowledged(nil)
	}
	s.answerPoint = x.statusAfter.Point()
	if s.mayHaveWritten(r, x) {
		s.state().Raise(x.statusAfter.Point(), clock.Now())
		s.reportToken()
	}
	return nil
}

// mayHaveWritten reports whether the batch can have committed a change.
func (s *callerSession) mayHaveWritten(r *request, x *exchange) bool {
	if x.txStatus != 'I' {
		return false
	}
	return !r.hints.reads() || x.pinned
}

func errUnacknowledged(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOutcomeUnknown,
		Message: "the primary was not confirmed when it answered; the request may or may not have run",
		Remedy:  "read back the result before sending the request again",
		Cause:   cause,
	})
}

// applyEffect updates the session by the effect of the batch on the state of its connection.
func (s *callerSession) applyEffect(x *exchange) {
	switch s.batch.effect {
	case effectReplay:
		s.recordSetting(x)
	case effectReset:
		if !x.succeeded() {
			return
		}
		s.settings.clear()
		s.conn.ClearPrepared()
		s.conn.SetStateKey("")
		clear(s.statements)
	case effectPin:
		s.pinnedByState = true
	}
}

// recordSetting records a SET for replay on other connections, or pins the connection if it cannot be replayed.
func (s *callerSession) recordSetting(x *exchange) {
	if len(x.commandTags) == 0 {
		return
	}
	if x.pinned || s.inTransaction || !x.succeeded() || !s.settings.add(s.batch.text) {
		s.pinnedByState = true
		return
	}
	s.conn.SetStateKey(s.settings.key)
}

// succeeded reports whether exactly one statement of the batch completed.
func (x *exchange) succeeded() bool { return len(x.commandTags) == 1 }

// releaseConnection returns the connection to its pool unless a transaction or the session's state pins it.
func (s *callerSession) releaseConnection() {
	if s.inTransaction || s.pinnedByState {
		return
	}
	s.setActive(nil)
	s.connPool.Release(s.conn)
	s.conn = nil
}

// reads reports whether the hints declare the request read-only.
func (h Hints) reads() bool { return h.class == route.ClassRead }

func appendError(out []byte, severity string, e *fault.Error) []byte {
	return appendMessage(out, &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Kind().SQLState(),
		Message:             strings.ToValidUTF8(e.Message(), "?"),
		Hint:                e.Remedy(),
	})
}

func appendReady(out []byte, status byte) []byte {
	return appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: status})
}

func appendMessage(out []byte, msg pgproto3.BackendMessage) []byte {
	encoded, err := msg.Encode(out)
	if err != nil {
		return out
	}
	return encoded
}

// readyLength is the encoded length of ReadyForQuery.
const readyLength = 6

// insertBeforeReady inserts msg before the ReadyForQuery that ends out; without one it returns out unchanged.
func insertBeforeReady(out []byte, msg pgproto3.BackendMessage) []byte {
	if len(out) < readyLength || out[len(out)-readyLength] != 'Z' {
		return out
	}
	ready := append([]byte(nil), out[len(out)-readyLength:]...)
	return append(appendMessage(out[:len(out)-readyLength], msg), ready...)
}
