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

// finish completes a batch whose exchange has ended: it may acknowledge it, and hands the connection back.
func (s *callerSession) finish(ctx context.Context, r *request, x *exchange, whole bool) error {
	s.out = x.out
	if !whole {
		s.dropFailed()
		if x.clientErr != nil {
			return errClientGone
		}
		return retry.Judge(clock.Now(), retry.Request{Deadline: r.deadline}, x.attempt()).Error(x.attempt())
	}
	s.txStatus = x.txStatus
	s.skipping = x.aborted
	s.openSequence = s.batch.lastKind() == messageFlush
	s.inSequence = x.txStatus != 'I' || s.batch.lastKind() == messageFlush
	s.unleased = s.onReplica
	if !s.onReplica {
		if err := s.acknowledge(ctx, r, x); err != nil {
			s.discard()
			return err
		}
	}
	s.keepState(x)
	s.handBack()
	return s.awaitReplica(ctx, r, x)
}

// awaitReplica holds the answer back until a replica has the write, as the contract says.
//
// The connection is free by then, so that the wait costs latency only. An answer
// that goes out without a replica has waited for longer than it takes to replace a
// primary that is cut off from its replicas, whose leases have run out by then.
func (s *callerSession) awaitReplica(ctx context.Context, r *request, x *exchange) error {
	writes := s.binding.Contract().Writes()
	if s.onReplica || !s.mayHaveWritten(r, x) || writes.Replication() == contract.ReplicationOff {
		return nil
	}
	deadline := r.deadline
	if writes.Replication() == contract.ReplicationWait {
		deadline = clock.Now().Add(writes.Wait())
	}
	err := x.group.AwaitReplicated(ctx, x.committed.Point(), deadline)
	if fault.KindOf(err) == fault.KindNoPrimary && writes.Replication() == contract.ReplicationWait {
		return nil
	}
	if err != nil {
		return unacknowledged(err)
	}
	return nil
}

// discard gives up the connection for good; a session in a transaction cannot go on without it.
func (s *callerSession) discard() {
	s.setActive(nil)
	s.connPool.Discard(s.conn)
	s.conn = nil
}

// acknowledge raises the floor and waits until the answer may be given to the caller.
func (s *callerSession) acknowledge(ctx context.Context, r *request, x *exchange) error {
	g := x.group
	if err := g.AwaitLease(ctx, r.deadline); err != nil {
		return unacknowledged(err)
	}
	s.restsOn = g.UnknownPoint()
	if x.txStatus != 'I' || s.openSequence {
		return nil
	}
	if !x.hasStatus || !g.Leads(x.committed) {
		return unacknowledged(nil)
	}
	s.restsOn = x.committed.Point()
	if s.mayHaveWritten(r, x) {
		s.state.Raise(x.committed.Point(), clock.Now())
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

func unacknowledged(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOutcomeUnknown,
		Message: "the primary was not confirmed when it answered; the request may or may not have run",
		Remedy:  "read back the result before entering the request again",
		Cause:   cause,
	})
}

// keepState notes what the batch did to the state of its connection.
func (s *callerSession) keepState(x *exchange) {
	switch s.batch.effect {
	case effectReplay:
		s.keepSetting(x)
	case effectReset:
		if !x.succeeded() {
			return
		}
		s.settings.clear()
		s.conn.ForgetPrepared()
		s.conn.SetStateKey(0)
		clear(s.statements)
	case effectPin:
		s.kept = true
	}
}

// keepSetting notes a SET for replay on other connections, or keeps this one when it cannot be replayed.
func (s *callerSession) keepSetting(x *exchange) {
	if len(x.tags) == 0 {
		return
	}
	if x.pinned || s.inSequence || !x.succeeded() || !s.settings.add(s.batch.text) {
		s.kept = true
		return
	}
	s.conn.SetStateKey(s.settings.key)
}

// succeeded reports whether the batch's only statement ran to its end.
func (x *exchange) succeeded() bool { return len(x.tags) == 1 }

// handBack returns the connection unless a transaction or the session's state holds on to it.
func (s *callerSession) handBack() {
	if s.inSequence || s.kept {
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

// insertBeforeReady places msg ahead of the ReadyForQuery that ends out.
func insertBeforeReady(out []byte, msg pgproto3.BackendMessage) []byte {
	if len(out) < readyLength || out[len(out)-readyLength] != 'Z' {
		return out
	}
	ready := append([]byte(nil), out[len(out)-readyLength:]...)
	return append(appendMessage(out[:len(out)-readyLength], msg), ready...)
}
