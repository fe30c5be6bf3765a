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
	server   *Server
	nc       net.Conn
	backend  *pgproto3.Backend
	key      sessionKey
	customer string
	database string
	binding  Binding
	hints    Hints
	hasHints bool
	states   group.PerLog[*session.Session]
	// connectedAt is when the session connected.
	connectedAt time.Time
	settings    settings
	statements  map[string]*preparedStatement
	batch       batch
	answer      []byte
	token       string

	conn      *endpoint.Conn
	connPool  *engine.Connections[*endpoint.Conn]
	endpoint  string
	onReplica bool
	txStatus  byte
	// skipping reports that the endpoint skips messages up to Sync after an error.
	skipping bool
	// pinnedByState reports that state of the session exists on its connection only, so that the connection is kept.
	pinnedByState bool
	// inTransaction reports that a transaction is open: an explicit one, or the implicit one of messages without Sync.
	inTransaction bool
	// awaitsSync reports that the last batch ended with Flush, so that the endpoint awaits further messages up to Sync.
	awaitsSync bool
	// idleDeadlineSet reports that the caller's next request is awaited for a limited time.
	idleDeadlineSet bool

	// leaseExempt reports that the answer needs no lease, because a replica gave it.
	leaseExempt bool
	// answerPoint is the log point on which an answer of the primary depends; a failover that loses it voids the answer.
	answerPoint group.Point

	mu sync.Mutex
	// active is the connection to which cancel requests go, guarded by mu.
	active *endpoint.Conn
	busy   atomic.Bool
}

// errTerminated ends a session whose caller sent Terminate.
var errTerminated = errors.New("the caller terminated the session")

// serve runs the session's requests until the caller disconnects or the server drains.
func (s *callerSession) serve(ctx context.Context) {
	defer s.discardAtEnd()
	for {
		if s.server.draining() && s.isIdle() {
			s.refuse(engine.ErrDraining())
			return
		}
		if err := s.setIdleDeadline(); err != nil {
			return
		}
		msg, err := s.backend.Receive()
		if err != nil {
			if s.refuseIdleTimeout(err) {
				return
			}
			if s.wokenByDrain(err) {
				continue
			}
			s.refuseOversized(err)
			return
		}
		if err := s.handle(ctx, msg); err != nil {
			return
		}
		if err := s.clearIdleDeadline(); err != nil {
			return
		}
	}
}

// clearIdleDeadline removes the read deadline once the transaction has ended.
//
// A drain that starts meanwhile sets its own deadline, which is then restored.
func (s *callerSession) clearIdleDeadline() error {
	if !s.idleDeadlineSet || s.inTransaction || s.server.draining() {
		return nil
	}
	s.idleDeadlineSet = false
	if err := s.nc.SetReadDeadline(time.Time{}); err != nil || !s.server.draining() {
		return err
	}
	return s.nc.SetReadDeadline(time.Unix(1, 0))
}

// isIdle reports whether the session has no request or transaction in progress.
func (s *callerSession) isIdle() bool {
	return s.batch.empty() && s.txStatus == 'I' && !s.inTransaction
}

// setIdleDeadline limits how long an open transaction may hold its connection without a request.
func (s *callerSession) setIdleDeadline() error {
	if !s.inTransaction || s.server.draining() {
		return nil
	}
	s.idleDeadlineSet = true
	return s.nc.SetReadDeadline(time.Now().Add(s.binding.Contract().Limits().TransactionIdle()))
}

// refuseIdleTimeout sends a fatal error if err means that an open transaction was idle for too long, and reports whether it did.
func (s *callerSession) refuseIdleTimeout(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.server.draining() || !s.inTransaction {
		return false
	}
	s.refuse(fault.New(fault.Config{
		Kind:    fault.KindTimeout,
		Message: "the transaction was idle for longer than the contract allows; it was rolled back",
		Remedy:  "commit sooner, or raise limits.transaction_idle in the contract",
	}))
	return true
}

// wokenByDrain reports whether err comes from the read deadline set by Drain, and removes that deadline.
func (s *callerSession) wokenByDrain(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) || !s.server.draining() {
		return false
	}
	return s.nc.SetReadDeadline(time.Time{}) == nil
}

// refuseOversized sends a fatal error if err means that a message exceeds the size limit.
func (s *callerSession) refuseOversized(err error) {
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
	s.answer = appendError(s.answer[:0], "FATAL", fault.As(err))
	_ = s.writeAnswer()
}

// discardAtEnd closes the connection that the session still holds.
func (s *callerSession) discardAtEnd() {
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

// cancel cancels the statement that the session is running, if any.
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

// state returns the session's state in the log of the group to which it is bound.
func (s *callerSession) state() *session.Session {
	log := s.binding.Group().Log()
	state, ok := s.states.Get(log)
	if !ok {
		state = session.New(session.Config{ConnectedAt: s.connectedAt})
		s.states.Set(log, state)
	}
	return state
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
