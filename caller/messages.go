package caller

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/fault"
)

// handle adds a message of the caller to the batch and runs the batch when it is complete; an error ends the session.
func (s *callerSession) handle(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		s.batch.recordStatement(m.String, effectOf(m.String), isCopy(m.String))
		if err := s.batch.add(messageQuery, nil, m); err != nil {
			return s.reject(err)
		}
		return s.run(ctx)
	case *pgproto3.Sync:
		return s.addAndRun(ctx, messageSync, m)
	case *pgproto3.Flush:
		if s.batch.empty() {
			return nil
		}
		return s.addAndRun(ctx, messageFlush, m)
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

func errUnsupported(feature string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnsupported,
		Message: feature + " is not supported; the request did not run",
		Remedy:  "use the simple or the extended query protocol",
	})
}

func (s *callerSession) addAndRun(ctx context.Context, kind messageKind, msg pgproto3.FrontendMessage) error {
	if err := s.batch.add(kind, nil, msg); err != nil {
		return s.reject(err)
	}
	return s.run(ctx)
}

// reject sends a fatal error for a violation of the protocol or its limits, and returns it to end the session.
func (s *callerSession) reject(err error) error {
	s.refuse(err)
	return err
}

// extended adds a message of the extended protocol to the batch, with a statement name that all sessions share.
func (s *callerSession) extended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.batch.add(messageExecute, nil, m)
	case *pgproto3.Close:
		return s.closeMessage(m)
	}
	return errUnsupported("this message")
}

// parse adds a Parse; the added Sync is only a placeholder, since the plan queues the statement under its shared name.
func (s *callerSession) parse(m *pgproto3.Parse) error {
	if len(s.statements) >= maxStatements {
		return fault.New(fault.Config{
			Kind:    fault.KindOverloaded,
			Message: "the session has 10000 prepared statements; the request did not run",
			Remedy:  "close statements that are no longer used",
		})
	}
	p := newPreparedStatement(m)
	s.statements[m.Name] = p
	s.batch.recordStatement(p.query, effectNone, p.copy)
	return s.batch.add(messageParse, p, &pgproto3.Sync{})
}

func (s *callerSession) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return s.batch.add(messageBind, nil, m)
	}
	s.batch.recordStatement(p.query, p.effect, p.copy)
	renamed := *m
	renamed.PreparedStatement = p.name
	return s.batch.add(messageBind, p, &renamed)
}

func (s *callerSession) describe(m *pgproto3.Describe) error {
	p := s.statements[m.Name]
	if m.ObjectType != 'S' || p == nil {
		return s.batch.add(messageDescribe, nil, m)
	}
	s.batch.recordStatement(p.query, effectNone, false)
	return s.batch.add(messageDescribe, p, &pgproto3.Describe{ObjectType: 'S', Name: p.name})
}

func (s *callerSession) closeMessage(m *pgproto3.Close) error {
	if m.ObjectType != 'S' {
		return s.batch.add(messageClose, nil, m)
	}
	delete(s.statements, m.Name)
	if err := s.batch.add(messageClose, nil, m); err != nil {
		return err
	}
	s.batch.messages[len(s.batch.messages)-1].closesStatement = true
	return nil
}
