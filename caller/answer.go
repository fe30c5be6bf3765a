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

// run serves the collected batch and passes its answer on.
func (s *callerSession) run(ctx context.Context) error {
	s.busy.Store(true)
	defer s.busy.Store(false)
	defer s.batch.reset()
	started := clock.Now()
	s.out = s.out[:0]
	r, err := s.execute(ctx, started)
	r.customer = s.customer
	r.took = clock.Since(started)
	if err != nil && !errors.Is(err, errClientGone) {
		err = s.answerError(err)
		r.outcome = outcomeOf(err)
	}
	if err == nil && !s.unleased && !s.binding.Group().MayAcknowledge(s.restsOn) {
		err = s.answerError(unacknowledged(nil))
		r.outcome = OutcomeUnknown
	}
	s.server.cfg.Recorder.Record(r)
	if fatal := s.fatalAfter(err); fatal != nil {
		_ = s.flushOut()
		return fatal
	}
	return s.flushOut()
}

// errClientGone means that the caller's connection failed while an answer was passed on.
var errClientGone = errors.New("the caller's connection failed")

func outcomeOf(err error) Outcome {
	if fault.KindOf(err).Ran() == fault.RanUnknown {
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
	s.out = appendError(s.out[:0], severity, e)
	if severity == "FATAL" {
		return e
	}
	if !s.batch.empty() && s.batch.lastKind() == messageFlush {
		s.skipping = true
		return e
	}
	s.skipping = false
	s.out = appendReady(s.out, 'I')
	return e
}

// mustClose reports whether the session cannot go on after e: its transaction or its state is gone.
func (s *callerSession) mustClose(e *fault.Error) bool {
	if e.Kind() == fault.KindDraining {
		return true
	}
	return s.inSequence
}

func (s *callerSession) fatalAfter(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errClientGone) || s.mustClose(fault.As(err)) {
		return err
	}
	return nil
}

func (s *callerSession) flushOut() error {
	if len(s.out) == 0 {
		return nil
	}
	if err := s.nc.SetWriteDeadline(time.Now().Add(s.server.cfg.WriteTimeout)); err != nil {
		return err
	}
	_, err := s.nc.Write(s.out)
	s.out = s.out[:0]
	if cap(s.out) > 4*flushBytes {
		s.out = nil
	}
	return err
}

// reportToken tells the caller its new token when the floor rose.
func (s *callerSession) reportToken() {
	floor, _ := s.state.Floor()
	if floor.IsZero() {
		return
	}
	token := s.server.cfg.Tokens.Encode(session.Scope{Customer: s.customer, Database: s.database}, floor)
	if token == s.token {
		return
	}
	s.token = token
	s.out = insertBeforeReady(s.out, &pgproto3.ParameterStatus{Name: parameterPrefix + hintToken, Value: token})
}
