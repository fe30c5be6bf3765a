package caller

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/session"
)

// run executes the collected batch, writes its answer to the caller and records the result.
func (s *callerSession) run(ctx context.Context) error {
	s.busy.Store(true)
	defer s.busy.Store(false)
	defer s.batch.reset()
	started := clock.Now()
	s.answer = s.answer[:0]
	r, err := s.execute(ctx, started)
	r.customer = s.customer
	r.duration = clock.Since(started)
	if err != nil && !errors.Is(err, errCallerLost) {
		err = s.answerError(err)
		r.outcome = outcomeOf(err)
	}
	if err == nil && !s.leaseExempt && !s.binding.Group().MayAcknowledge(s.answerPoint) {
		err = s.answerError(errUnacknowledged(nil))
		r.outcome = OutcomeUnknown
	}
	s.server.cfg.Recorder.Record(r)
	if fatal := s.fatalAfter(err); fatal != nil {
		_ = s.writeAnswer()
		return fatal
	}
	return s.writeAnswer()
}

// errCallerLost means that the caller's connection failed while an answer was written to it.
var errCallerLost = errors.New("the caller's connection failed")

func outcomeOf(err error) Outcome {
	if fault.KindOf(err).Effect() == fault.EffectUnknown {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// answerError writes err as the batch's answer and returns it.
func (s *callerSession) answerError(err error) error {
	e := fault.As(err)
	severity := "ERROR"
	if s.mustClose(e) {
		severity = "FATAL"
	}
	s.answer = appendError(s.answer[:0], severity, e)
	if severity == "FATAL" {
		return e
	}
	if !s.batch.empty() && s.batch.lastKind() == messageFlush {
		s.skipping = true
		return e
	}
	s.skipping = false
	s.answer = appendReady(s.answer, 'I')
	return e
}

// mustClose reports whether the session must end after e, because the instance drains or the open transaction is lost.
func (s *callerSession) mustClose(e *fault.Error) bool {
	if e.Kind() == fault.KindDraining {
		return true
	}
	return s.inTransaction
}

// fatalAfter returns err if it ends the session, and nil otherwise.
func (s *callerSession) fatalAfter(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errCallerLost) || s.mustClose(fault.As(err)) {
		return err
	}
	return nil
}

// writeAnswer writes the collected answer to the caller and releases a buffer that has grown large.
func (s *callerSession) writeAnswer() error {
	if len(s.answer) == 0 {
		return nil
	}
	if err := s.nc.SetWriteDeadline(time.Now().Add(s.server.cfg.WriteTimeout)); err != nil {
		return err
	}
	_, err := s.nc.Write(s.answer)
	s.answer = s.answer[:0]
	if cap(s.answer) > 4*flushBytes {
		s.answer = nil
	}
	return err
}

// reportToken sends the caller a new token if the floor has risen.
func (s *callerSession) reportToken() {
	floor, _ := s.state().Floor()
	if floor.IsZero() {
		return
	}
	token := s.server.cfg.Tokens.Encode(session.Scope{Customer: s.customer, Database: s.database}, s.binding.Group().Log(), floor)
	if token == s.token {
		return
	}
	s.token = token
	s.answer = insertBeforeReady(s.answer, &pgproto3.ParameterStatus{Name: parameterPrefix + hintToken, Value: token})
}
