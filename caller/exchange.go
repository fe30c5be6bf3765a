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

// flushBytes is the size at which a buffered answer is written to the caller.
const flushBytes = 64 << 10

// exchangeConfig describes one attempt at a batch on one connection.
type exchangeConfig struct {
	group     *engine.Group[*endpoint.Conn]
	conn      *endpoint.Conn
	caller    net.Conn
	batch     *batch
	settings  *settings
	request   route.Request
	onReplica bool
	// pinned reports that the session already held the connection, so that no other endpoint can run the batch.
	pinned bool
	// skipping reports that the endpoint skips messages up to Sync after an error.
	skipping bool
	deadline time.Time
	answer   []byte
	// writeTimeout bounds each write to a caller that does not read.
	writeTimeout time.Duration
	// endpoint is the name of the member at the other end of the connection.
	endpoint string
	// awaitsSync reports that the previous batch ended with Flush, so that no other query may be sent before Sync.
	awaitsSync bool
}

// exchange sends a batch over one connection and relays the answer.
type exchange struct {
	exchangeConfig
	plan             plan
	sentAt           time.Time
	sent             bool
	answerBegan      bool
	commandCompleted bool
	txStatus         byte
	statusAfter      group.Status
	hasStatusAfter   bool
	failure          retry.Failure
	commandTags      []string
	callerErr        error
	// unrestorable reports that the endpoint refused a query that restores the caller's settings.
	unrestorable bool
	// rejected reports that another endpoint can run the request, so that this answer is discarded.
	rejected bool
	// stillSkipping reports that the endpoint skips messages of the next batch too, up to Sync.
	stillSkipping bool
}

func newExchange(cfg exchangeConfig) *exchange {
	return &exchange{exchangeConfig: cfg, plan: plan{conn: cfg.conn}, txStatus: 'I'}
}

// attempt returns the state of the exchange on which the retry rules decide.
func (x *exchange) attempt() retry.Attempt {
	return retry.Attempt{
		Failure:     x.failure,
		SentBytes:   x.sent,
		AnswerBegan: x.answerBegan,
		Pinned:      x.pinned,
	}
}

// run sends the batch and relays its answer up to, but not including, the last flush.
//
// It reports whether the answer is complete; otherwise failure holds the reason,
// and the connection is reusable only if a rejected answer was read to its end.
func (x *exchange) run() (complete bool) {
	if err := x.restore(); err != nil {
		x.failure = retry.FailureLost
		if x.unrestorable {
			x.failure = retry.FailureSession
		}
		return false
	}
	if err := x.relay(); err != nil {
		x.failure = retry.FailureLost
		return false
	}
	x.conn.SetAnsweredAt(clock.Now())
	return !x.rejected
}

// relay sends the batch and reads its answer.
func (x *exchange) relay() error {
	if err := x.queue(); err != nil {
		return err
	}
	sent, err := x.send()
	x.sent = sent
	if err != nil {
		return err
	}
	return x.readSteps()
}

// readSteps reads the answers to all steps of the plan.
func (x *exchange) readSteps() error {
	for len(x.plan.steps) > 0 {
		s := x.plan.steps[0]
		x.plan.steps = x.plan.steps[1:]
		if err := x.readStep(s); err != nil {
			return err
		}
	}
	return nil
}

// send sends what is queued and, if a query could be put first, waits for the first byte of its answer; sent reports whether
// a byte may have been sent.
func (x *exchange) send() (sent bool, err error) {
	if err := x.conn.SetDeadline(clock.Wall(x.deadline)); err != nil {
		return false, err
	}
	x.sentAt = clock.Now()
	sent, err = x.conn.Flush()
	if err != nil || x.awaitsSync {
		return sent, err
	}
	return sent, x.awaitPing()
}

// pingTimeout is how long a connection may take to answer before a probe is triggered, and again before its result is checked.
const pingTimeout = 250 * time.Millisecond

// awaitPing waits for the first byte of the answer to a query that the proxy has put
// first because the endpoint answers it at once.
//
// It fails when the endpoint has answered a probe that was sent later on another
// connection, because this connection is then broken. While the endpoint answers
// on no connection, it waits until the deadline.
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
		x.group.ProbeNow()
	}
}

func errSilent(endpoint string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "a connection to " + endpoint + " does not answer while others do",
		Remedy:  "no action needed; the connection is replaced",
	})
}

// queue queues the caller's batch together with the queries that the proxy adds.
//
// A replica's status comes before the batch, so that its position is verified before
// its answer is forwarded. The primary's status comes after the batch, so that it
// covers the batch. A ping comes first where no replica's status does. Between Flush
// and Sync, no query can be added.
func (x *exchange) queue() error {
	if x.onReplica && !x.pinned {
		x.plan.queueStatus(stepStatusBefore)
	}
	if !x.awaitsSync && (!x.onReplica || x.pinned) {
		if err := x.plan.queuePing(); err != nil {
			return err
		}
	}
	if err := x.plan.queueBatch(x.batch); err != nil {
		return err
	}
	if x.skipping {
		x.stillSkipping = x.plan.skipToSync()
	}
	if x.onReplica || x.batch.lastKind() == messageFlush {
		return nil
	}
	x.plan.queueStatus(stepStatusAfter)
	return nil
}

// readStep reads the answer to one step and processes it as its kind requires.
func (x *exchange) readStep(s step) error {
	switch s.kind {
	case stepLocal:
		x.answer = append(x.answer, s.local...)
		return nil
	case stepRestore, stepPing:
		return x.readInternal(s.kind == stepRestore)
	case stepStatusBefore:
		return x.verifyReplica()
	case stepStatusAfter:
		return x.readStatusAfter()
	}
	return x.relayStep(s)
}

// relayStep forwards messages until the step's answer is complete.
func (x *exchange) relayStep(s step) error {
	for {
		msg, err := x.conn.Receive()
		if err != nil {
			return err
		}
		done, err := x.relayMessage(s, msg)
		if err != nil || done {
			return err
		}
	}
}

func (x *exchange) relayMessage(s step, msg pgproto3.BackendMessage) (done bool, err error) {
	switch m := msg.(type) {
	case *pgproto3.ErrorResponse:
		return x.relayError(s, m)
	case *pgproto3.ReadyForQuery:
		x.txStatus = m.TxStatus
		return true, x.forward(msg)
	case *pgproto3.CommandComplete:
		x.commandCompleted = true
		x.commandTags = append(x.commandTags, string(m.CommandTag))
		return s.kind == stepMessage, x.forward(msg)
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return false, errCopy()
	case *pgproto3.ParseComplete, *pgproto3.CloseComplete:
		if s.kind == stepInjected {
			return true, nil
		}
		return true, x.forward(msg)
	case *pgproto3.BindComplete, *pgproto3.NoData, *pgproto3.PortalSuspended, *pgproto3.EmptyQueryResponse:
		return s.kind == stepMessage, x.forward(msg)
	case *pgproto3.RowDescription:
		return s.kind == stepMessage, x.forward(msg)
	}
	return false, x.forward(msg)
}

// relayError forwards an error unchanged, unless a read-only endpoint refused a write that can still run elsewhere.
func (x *exchange) relayError(s step, m *pgproto3.ErrorResponse) (done bool, err error) {
	if m.Code == codeReadOnly && !x.commandCompleted && !x.answerBegan && !x.pinned {
		x.rejected = true
		x.failure = retry.FailureReadOnly
	}
	if s.preparedName != "" {
		x.conn.RemovePrepared(s.preparedName)
	}
	if s.kind != stepReady {
		x.stillSkipping = x.plan.skipToSync()
		return true, x.forward(m)
	}
	return false, x.forward(m)
}

// codeReadOnly is the SQLSTATE with which a read-only endpoint refuses a write without running it.
const codeReadOnly = "25006"

// forward appends a message to the answer, and writes the answer to the caller once it reaches flushBytes.
func (x *exchange) forward(msg pgproto3.BackendMessage) error {
	if x.rejected {
		return nil
	}
	out, err := msg.Encode(x.answer)
	if err != nil {
		return err
	}
	x.answer = out
	if len(x.answer) < flushBytes {
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

// flush writes the buffered answer to the caller.
func (x *exchange) flush() error {
	if len(x.answer) == 0 {
		return nil
	}
	x.answerBegan = true
	if err := x.caller.SetWriteDeadline(time.Now().Add(x.writeTimeout)); err != nil {
		return err
	}
	_, err := x.caller.Write(x.answer)
	x.answer = x.answer[:0]
	x.callerErr = err
	return err
}

// readStatus reads the answer to a status query; ok is false when the endpoint returned no status.
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

// verifyReplica checks the replica's position and, if the replica is too far behind, rejects the answer that follows.
func (x *exchange) verifyReplica() error {
	s, ok, err := x.readStatus()
	if err != nil {
		return err
	}
	if ok && x.group.Verify(x.sentAt, s, x.request) == route.VerdictServe {
		return nil
	}
	x.rejected = true
	x.failure = retry.FailureBehind
	return nil
}

// readStatusAfter records the primary's status after the batch.
func (x *exchange) readStatusAfter() error {
	s, ok, err := x.readStatus()
	if err != nil {
		return err
	}
	x.statusAfter = s
	x.hasStatusAfter = ok
	if ok {
		x.group.Observe(x.sentAt, s)
	}
	return nil
}
