package caller

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// flushBytes is how much of an answer is collected before it is passed on.
const flushBytes = 64 << 10

// exchangeConfig describes one attempt at a batch on one connection.
type exchangeConfig struct {
	group     *engine.Group[*endpoint.Conn]
	conn      *endpoint.Conn
	client    net.Conn
	batch     *batch
	settings  *settings
	request   route.Request
	onReplica bool
	pinned    bool
	skipping  bool
	deadline  time.Time
	out       []byte
	// writeTimeout bounds each write to a caller that does not read.
	writeTimeout time.Duration
	// endpoint is the name of the member that the connection leads to.
	endpoint string
	// open says that the server still reads an extended-protocol sequence, in which no other query may stand.
	open bool
}

// exchange sends a batch over one connection and relays the answer.
type exchange struct {
	exchangeConfig
	plan      plan
	sentAt    time.Time
	sent      bool
	began     bool
	completed bool
	txStatus  byte
	committed group.Status
	hasStatus bool
	failure   retry.Failure
	tags      []string
	clientErr error
	refused   bool
	aborted   bool
}

func newExchange(cfg exchangeConfig) *exchange {
	return &exchange{exchangeConfig: cfg, plan: plan{conn: cfg.conn}, txStatus: 'I'}
}

// attempt returns the exchange as the retry rules see it.
func (x *exchange) attempt() retry.Attempt {
	return retry.Attempt{
		Failure:     x.failure,
		SentBytes:   x.sent,
		AnswerBegan: x.began,
		InSequence:  x.pinned,
	}
}

// run sends the batch and relays its answer up to, but not including, the last flush.
//
// It reports whether the answer is whole; otherwise failure says why. The
// connection can be used again only if reusable reports true.
func (x *exchange) run() (whole bool) {
	if err := x.send(); err != nil {
		x.failure = retry.FailureLost
		return false
	}
	for len(x.plan.steps) > 0 {
		s := x.plan.steps[0]
		x.plan.steps = x.plan.steps[1:]
		if err := x.step(s); err != nil {
			x.failure = retry.FailureLost
			return false
		}
	}
	x.conn.SetAnsweredAt(clock.Now())
	return !x.refused
}

func (x *exchange) send() error {
	if err := x.queue(); err != nil {
		return err
	}
	if err := x.conn.SetDeadline(clock.Wall(x.deadline)); err != nil {
		return err
	}
	x.sentAt = clock.Now()
	sent, err := x.conn.Flush()
	x.sent = sent
	if err != nil || x.open {
		return err
	}
	return x.awaitPing()
}

// pingTimeout is how long a connection may take to show that it is alive before a probe is asked for, and again before its answer is weighed.
const pingTimeout = 250 * time.Millisecond

// awaitPing waits for the first byte of the answer to a query that takes no time.
//
// It fails when the endpoint has answered a probe on another connection that was
// sent later: then this connection has gone silent. As long as the endpoint is
// silent altogether, it waits on.
func (x *exchange) awaitPing() error {
	for {
		now := clock.Now()
		wait := min(pingTimeout, x.deadline.Sub(now))
		if err := x.conn.SetDeadline(clock.Wall(now.Add(wait))); err != nil {
			return err
		}
		err := x.conn.Peek()
		if err == nil {
			return x.conn.SetDeadline(clock.Wall(x.deadline))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !clock.Now().Before(x.deadline) {
			return err
		}
		if x.group.AnsweredAt(x.endpoint).After(x.sentAt) {
			return errSilent(x.endpoint)
		}
		x.group.Kick()
	}
}

func errSilent(endpoint string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "a connection to " + endpoint + " has gone silent while others answer",
		Remedy:  "nothing needs doing; the connection is replaced",
	})
}

func (x *exchange) queue() error {
	if !x.pinned {
		if err := x.plan.restore(x.settings); err != nil {
			return err
		}
	}
	if x.onReplica && !x.pinned {
		x.plan.queueStatus(stepStatusBefore)
	}
	if !x.open && (!x.onReplica || x.pinned) {
		if err := x.plan.queuePing(); err != nil {
			return err
		}
	}
	if err := x.plan.queueBatch(x.batch); err != nil {
		return err
	}
	if x.skipping {
		x.aborted = x.plan.skipToSync()
	}
	if x.onReplica || x.batch.lastKind() == messageFlush {
		return nil
	}
	x.plan.queueStatus(stepStatusAfter)
	return nil
}

// step reads and relays the answer to one step.
func (x *exchange) step(s step) error {
	switch s.kind {
	case stepLocal:
		x.out = append(x.out, s.local...)
		return nil
	case stepRestore, stepPing:
		return x.readHidden(s.kind == stepRestore)
	case stepStatusBefore:
		return x.readPosition()
	case stepStatusAfter:
		return x.readCommitted()
	}
	return x.relay(s)
}

// relay passes messages on until the step's answer is complete.
func (x *exchange) relay(s step) error {
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		done, err := x.relayOne(s, msg)
		if err != nil || done {
			return err
		}
	}
}

func (x *exchange) relayOne(s step, msg pgproto3.BackendMessage) (done bool, err error) {
	switch m := msg.(type) {
	case *pgproto3.ErrorResponse:
		return x.relayError(s, m)
	case *pgproto3.ReadyForQuery:
		x.txStatus = m.TxStatus
		return true, x.pass(msg)
	case *pgproto3.CommandComplete:
		x.completed = true
		x.tags = append(x.tags, string(m.CommandTag))
		return s.kind == stepMessage, x.pass(msg)
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return false, errCopy()
	case *pgproto3.ParseComplete, *pgproto3.CloseComplete:
		if s.kind == stepInjected {
			return true, nil
		}
		return true, x.pass(msg)
	case *pgproto3.BindComplete, *pgproto3.NoData, *pgproto3.PortalSuspended, *pgproto3.EmptyQueryResponse:
		return s.kind == stepMessage, x.pass(msg)
	case *pgproto3.RowDescription:
		return s.kind == stepMessage, x.pass(msg)
	}
	return false, x.pass(msg)
}

// relayError notes a refusal that lets the request run elsewhere, or passes the error on unchanged.
func (x *exchange) relayError(s step, m *pgproto3.ErrorResponse) (done bool, err error) {
	if m.Code == codeReadOnly && !x.completed && !x.began && !x.pinned {
		x.refused = true
		x.failure = retry.FailureReadOnly
	}
	if s.preparedName != "" {
		x.conn.RemovePrepared(s.preparedName)
	}
	if s.kind != stepReady {
		x.aborted = x.plan.skipToSync()
		return true, x.pass(m)
	}
	return false, x.pass(m)
}

// codeReadOnly is the SQLSTATE of a write that an endpoint refused without running it.
const codeReadOnly = "25006"

// pass encodes a message for the caller and passes on what has collected when it is large.
func (x *exchange) pass(msg pgproto3.BackendMessage) error {
	if x.refused {
		return nil
	}
	out, err := msg.Encode(x.out)
	if err != nil {
		return err
	}
	x.out = out
	if len(x.out) < flushBytes {
		return nil
	}
	if !x.onReplica && !x.group.LeaseValid() {
		return errLeaseLapsed()
	}
	return x.flush()
}

func errLeaseLapsed() error {
	return fault.New(fault.Config{
		Kind:    fault.KindNoPrimary,
		Message: "the primary's lease lapsed while it answered",
		Remedy:  "try again in a few seconds",
	})
}

// flush writes what has collected to the caller.
func (x *exchange) flush() error {
	if len(x.out) == 0 {
		return nil
	}
	x.began = true
	if err := x.client.SetWriteDeadline(time.Now().Add(x.writeTimeout)); err != nil {
		return err
	}
	_, err := x.client.Write(x.out)
	x.out = x.out[:0]
	x.clientErr = err
	return err
}

// readHidden swallows the answer to a query of the proxy's own; the error of one that restores settings makes the connection useless.
func (x *exchange) readHidden(restores bool) error {
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			if restores {
				return unrestorable(m)
			}
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

func unrestorable(m *pgproto3.ErrorResponse) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "session settings cannot be restored: " + m.Code + " " + m.Message,
		Remedy:  "check the SET statements and startup parameters of the session",
	})
}

// readStatus reads the answer to a status query; ok is false when the endpoint refused it.
func (x *exchange) readStatus() (s group.Status, ok bool, err error) {
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return s, false, err
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			if s, err = endpoint.ParseStatus(m); err != nil {
				return s, false, err
			}
			ok = true
		case *pgproto3.ReadyForQuery:
			return s, ok, nil
		}
	}
}

// readPosition judges the replica's position and, if it does not do, drops the answer that follows.
func (x *exchange) readPosition() error {
	s, ok, err := x.readStatus()
	if err != nil {
		return err
	}
	if ok && x.group.Verify(x.sentAt, s, x.request) == route.VerdictServe {
		return nil
	}
	x.refused = true
	x.failure = retry.FailureBehind
	return nil
}

// readCommitted takes the primary's status after the batch.
func (x *exchange) readCommitted() error {
	s, ok, err := x.readStatus()
	if err != nil {
		return err
	}
	x.committed = s
	x.hasStatus = ok
	if ok {
		x.group.Observe(x.sentAt, s)
	}
	return nil
}
