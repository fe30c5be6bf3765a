package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/session"
)

// callerSession serves one caller's connection.
type callerSession struct {
	server     *Server
	nc         net.Conn
	backend    *pgproto3.Backend
	key        sessionKey
	customer   string
	database   string
	binding    Binding
	marks      Marks
	hasMarks   bool
	state      *session.Session
	settings   settings
	statements map[string]*prepared
	unit       unit
	out        []byte
	token      string

	conn       *endpoint.Conn
	connPool   *endpoint.Connections
	endpoint   string
	onReplica  bool
	txStatus   byte
	skipping   bool
	kept       bool
	inSequence bool
	// openSequence says that the last unit ended with Flush, so that the server awaits more of it.
	openSequence bool
	// bounded says that the caller's next request is awaited for a limited time.
	bounded bool

	refusedByReplica bool
	// unleased says that the answer needs no lease, because no primary gave it.
	unleased bool
	// restsOn is the log point on which an answer of the primary rests.
	restsOn group.Point

	mu     sync.Mutex
	active *endpoint.Conn
	busy   atomic.Bool
}

// errTerminated ends a session whose caller said goodbye.
var errTerminated = errors.New("the caller terminated the session")

// serve runs the session's requests until the caller leaves or the server drains.
func (s *callerSession) serve(ctx context.Context) {
	defer s.releaseAtEnd()
	for {
		if s.server.draining() && s.atRest() {
			s.refuse(errDraining())
			return
		}
		if err := s.boundIdleTransaction(); err != nil {
			return
		}
		msg, err := s.backend.Receive()
		if err != nil {
			if s.idleTooLong(err) {
				return
			}
			if s.keepReading(err) {
				continue
			}
			s.explainReceive(err)
			return
		}
		if err := s.handle(ctx, msg); err != nil {
			return
		}
		if err := s.unboundIdle(); err != nil {
			return
		}
	}
}

// unboundIdle lifts the limit on a caller that has no transaction open.
func (s *callerSession) unboundIdle() error {
	if !s.bounded || s.inSequence || s.server.draining() {
		return nil
	}
	s.bounded = false
	if err := s.nc.SetReadDeadline(time.Time{}); err != nil || !s.server.draining() {
		return err
	}
	return s.nc.SetReadDeadline(time.Unix(1, 0))
}

// atRest reports whether nothing of the session is in flight.
func (s *callerSession) atRest() bool {
	return s.unit.empty() && s.txStatus == 'I' && !s.inSequence
}

// boundIdleTransaction limits how long an open transaction may hold its connection without a request.
func (s *callerSession) boundIdleTransaction() error {
	if !s.inSequence || s.server.draining() {
		return nil
	}
	s.bounded = true
	return s.nc.SetReadDeadline(time.Now().Add(s.binding.Contract().Limits().TransactionIdle()))
}

// idleTooLong ends a session whose transaction has waited for its caller for too long.
func (s *callerSession) idleTooLong(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.server.draining() || !s.inSequence {
		return false
	}
	s.refuse(fault.New(fault.Config{
		Kind:    fault.KindTimeout,
		Message: "the transaction was idle for longer than the contract allows; it was rolled back",
		Remedy:  "commit sooner, or raise limits.transaction_idle in the contract",
	}))
	return true
}

// keepReading reports whether err only woke the session up to notice a drain.
func (s *callerSession) keepReading(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !s.server.draining() {
		return false
	}
	return s.nc.SetReadDeadline(time.Time{}) == nil
}

func (s *callerSession) explainReceive(err error) {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		s.refuse(fault.New(fault.Config{
			Kind:    fault.KindProtocol,
			Message: "a message is longer than 64 MiB; the request did not run",
			Remedy:  "send smaller messages",
		}))
	}
}

// refuse sends a fatal error, after which the connection is closed.
func (s *callerSession) refuse(err error) {
	s.out = appendError(s.out[:0], "FATAL", fault.As(err))
	_ = s.flushOut()
}

func errDraining() error {
	return fault.New(fault.Config{
		Kind:    fault.KindDraining,
		Message: "this instance is shutting down; nothing of this request ran",
		Remedy:  "connect again; the balancer leads to another instance",
	})
}

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

// run serves the collected unit and passes its answer on.
func (s *callerSession) run(ctx context.Context) error {
	s.busy.Store(true)
	defer s.busy.Store(false)
	defer s.unit.reset()
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

// answerError writes err as the unit's answer and returns it.
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
	if !s.unit.empty() && s.unit.end() == opFlush {
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

// releaseAtEnd gives up the connection that the session still holds.
func (s *callerSession) releaseAtEnd() {
	if s.conn == nil {
		return
	}
	s.setActive(nil)
	s.connPool.Discard(s.conn)
	s.conn = nil
}

func (s *callerSession) setActive(conn *endpoint.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = conn
}

// cancel passes a cancel request on to the statement that runs now, if any.
func (s *callerSession) cancel(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil || !s.busy.Load() {
		return
	}
	s.active.MarkCanceled()
	if err := s.active.Cancel(ctx); err != nil {
		s.server.log("cancel failed", "error", err.Error())
	}
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
	s.out = insertBeforeReady(s.out, &pgproto3.ParameterStatus{Name: parameterPrefix + markToken, Value: token})
}

// requestMarks returns the marks of the unit.
func (s *callerSession) requestMarks() (Marks, error) {
	base := s.marks
	if !s.hasMarks {
		base = DefaultMarks(s.binding.Contract().Reads())
	}
	return base.WithComments(s.unit.text)
}

func (s *callerSession) routeRequest(m Marks, floor group.Point, floorAt time.Time, budget time.Duration) route.Request {
	return route.Request{
		Class:        m.class,
		Floor:        floor,
		FloorAt:      floorAt,
		MaxStaleness: m.maxStaleness,
		WaitBudget:   budget,
	}
}

func randomFraction() float64 { return rand.Float64() }
