package caller

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
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
	hints      Hints
	hasHints   bool
	state      *session.Session
	settings   settings
	statements map[string]*preparedStatement
	batch      batch
	out        []byte
	token      string

	conn       *endpoint.Conn
	connPool   *engine.Connections[*endpoint.Conn]
	endpoint   string
	onReplica  bool
	txStatus   byte
	skipping   bool
	kept       bool
	inSequence bool
	// openSequence says that the last batch ended with Flush, so that the server awaits more of it.
	openSequence bool
	// bounded says that the caller's next request is awaited for a limited time.
	bounded bool

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
			s.refuse(engine.ErrDraining())
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
	return s.batch.empty() && s.txStatus == 'I' && !s.inSequence
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

// releaseAtEnd gives up the connection that the session still holds.
func (s *callerSession) releaseAtEnd() {
	if s.conn == nil {
		return
	}
	s.discard()
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

// requestHints returns the hints of the batch; comments take precedence over startup parameters, and these over the contract.
func (s *callerSession) requestHints() (Hints, error) {
	base := s.hints
	if !s.hasHints {
		base = DefaultHints(s.binding.Contract().Reads())
	}
	return base.WithComments(s.batch.text)
}

func (s *callerSession) routeRequest(hints Hints, floor group.Point, floorAt time.Time, budget time.Duration) route.Request {
	return route.Request{
		Class:        hints.class,
		Floor:        floor,
		FloorAt:      floorAt,
		MaxStaleness: hints.maxStaleness,
		WaitBudget:   budget,
	}
}
