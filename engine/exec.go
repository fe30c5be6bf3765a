package engine

import (
	"time"

	"github.com/monsoontiller/monsoontiller/retry"
)

// exec runs a command on a link that has the session's state, and returns its answer.
//
// An endpoint runs each command whatever it answered to those before it. So a statement of the caller is sent only once the
// endpoint has confirmed the session's values on the link. Two commands go out together with what they depend on: an EXECUTE
// with its PREPARE, since an endpoint refuses the name of a statement that is not prepared, and a BEGIN with the values, since
// it runs nothing of the caller, and its link is discarded if a value was refused.
//
// failed is nil if the command was answered. Otherwise the state of the link is unknown, and it must be discarded.
func (s *Session[L]) exec(h HeldLink[L], deadline time.Time, c Command, stmt *preparedStatement, inTx bool) (a Answer, failed *retry.Attempt) {
	state := h.Link.State()
	s.commands = s.commands[:0]
	if c.Statement.Op != OpRollback {
		s.commands = state.appendRestore(s.commands, s.values, inTx)
	}
	begins := c.Statement.Op == OpBegin || c.Statement.Op == OpBeginRead
	if len(s.commands) > 0 && !begins {
		if failed := s.restore(h, deadline); failed != nil {
			return a, failed
		}
		s.commands = s.commands[:0]
	}
	s.commands = state.appendPrepare(s.commands, stmt)
	if stmt != nil {
		c.Alias = stmt.alias
	}
	s.commands = append(s.commands, c)
	sentAt := s.cfg.Clock()
	answers, sent, err := h.Link.Exec(deadline, s.commands, s.answers[:0])
	s.answers = answers
	if err != nil {
		return a, &retry.Attempt{Failure: retry.FailureLost, SentBytes: sent}
	}
	last := len(answers) - 1
	a = answers[last]
	if !state.recordAll(s.commands[:last], answers) && (begins || inTx && a.Refusal != nil) {
		return a, &retry.Attempt{Failure: retry.FailureSession}
	}
	h.Link.SetAnsweredAt(s.cfg.Clock())
	if !a.Point.IsZero() {
		s.terms.Group.ObservePoint(h.Endpoint, sentAt, a.Point)
	}
	if a.Refusal == nil && !h.OnReplica && requiresPrimary(c.Statement, stmt) {
		s.terms.Group.ObservePrimary(h.Endpoint, sentAt, a.Point)
	}
	return a, nil
}

// restore sends the commands that give the link the session's values, and returns once the endpoint has confirmed all of them.
func (s *Session[L]) restore(h HeldLink[L], deadline time.Time) (failed *retry.Attempt) {
	answers, _, err := h.Link.Exec(deadline, s.commands, s.answers[:0])
	s.answers = answers
	if err != nil {
		return &retry.Attempt{Failure: retry.FailureLost}
	}
	if !h.Link.State().recordAll(s.commands, answers) {
		return &retry.Attempt{Failure: retry.FailureSession}
	}
	return nil
}

// recordAll applies the commands that the endpoint has confirmed, and reports whether it has confirmed all of them.
func (s *LinkState) recordAll(commands []Command, answers []Answer) bool {
	confirmed := true
	for i, c := range commands {
		if answers[i].Refusal != nil {
			confirmed = false
			continue
		}
		s.record(c)
	}
	return confirmed
}
