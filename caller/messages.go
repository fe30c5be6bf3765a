package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/fault"
)

func (s *callerSession) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.unit.note(m.String, effectOf(m.String), isCopy(m.String))
		if err := s.unit.add(opQuery, nil, m); err != nil {
			return s.reject(err)
		}
		return s.run(ctx)
	case *pgproto3.Sync:
		return s.addAndRun(ctx, opSync, m)
	case *pgproto3.Flush:
		if s.unit.empty() {
			return nil
		}
		return s.addAndRun(ctx, opFlush, m)
	case *pgproto3.Terminate:
		return errTerminated
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	case *pgproto3.FunctionCall:
		return s.reject(errUnsupported("the function call message"))
	}
	if err := s.extended(msg); err != nil {
		return s.reject(err)
	}
	return nil
}

func errUnsupported(what string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnsupported,
		Message: what + " is not carried; the request did not run",
		Remedy:  "use the simple or the extended query protocol",
	})
}

func (s *callerSession) addAndRun(ctx context.Context, kind opKind, msg pgproto3.FrontendMessage) error {
	if err := s.unit.add(kind, nil, msg); err != nil {
		return s.reject(err)
	}
	return s.run(ctx)
}

// reject ends a session that broke the protocol or its bounds.
func (s *callerSession) reject(err error) error {
	s.refuse(err)
	return err
}

// extended adds one message of the extended protocol to the unit, with the statement's name made common to all sessions.
func (s *callerSession) extended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.unit.add(opExecute, nil, m)
	case *pgproto3.Close:
		return s.closeMessage(m)
	}
	return errUnsupported("this message")
}

func (s *callerSession) parse(m *pgproto3.Parse) error {
	if len(s.statements) >= maxStatements {
		return fault.New(fault.Config{
			Kind:    fault.KindOverloaded,
			Message: "the session has 10000 prepared statements; the request did not run",
			Remedy:  "close statements that are no longer used",
		})
	}
	p := newPrepared(m)
	s.statements[m.Name] = p
	s.unit.note(p.query, effectNone, p.copy)
	return s.unit.add(opParse, p, &pgproto3.Sync{})
}

func (s *callerSession) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return s.unit.add(opBind, nil, m)
	}
	s.unit.note(p.query, p.effect, p.copy)
	renamed := *m
	renamed.PreparedStatement = p.name
	return s.unit.add(opBind, p, &renamed)
}

func (s *callerSession) describe(m *pgproto3.Describe) error {
	p := s.statements[m.Name]
	if m.ObjectType != 'S' || p == nil {
		return s.unit.add(opDescribe, nil, m)
	}
	s.unit.note(p.query, effectNone, false)
	return s.unit.add(opDescribe, p, &pgproto3.Describe{ObjectType: 'S', Name: p.name})
}

func (s *callerSession) closeMessage(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		return s.unit.add(opClose, nil, m)
	}
	delete(s.statements, m.Name)
	if err := s.unit.add(opClose, nil, m); err != nil {
		return err
	}
	s.unit.ops[len(s.unit.ops)-1].named = true
	return nil
}
