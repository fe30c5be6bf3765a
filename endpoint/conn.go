package endpoint

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
)

// DialConfig holds the address, the credentials and the options of a connection to an endpoint.
type DialConfig struct {
	Address     string
	User        string
	Password    string
	Database    string
	Application string
	TLS         *tls.Config
	Timeout     time.Duration
}

// Conn is one connection to an endpoint. Only Close and Cancel are safe for concurrent use.
type Conn struct {
	nc          net.Conn
	in          *peekReader
	frontend    *pgproto3.Frontend
	address     string
	key         string
	application string
	pid         uint32
	secret      []byte
	parameters  []pgproto3.ParameterStatus
	answeredAt  time.Time
	prepared    *statementCache
	stateKey    string
	canceled    bool
	out         []byte
}

// Dial opens and authenticates a connection.
//
// It fails with KindUnavailable, with KindOverloaded when the endpoint is at its connection limit, or with
// KindUnauthorized or KindProtocol when SCRAM authentication fails.
func Dial(ctx context.Context, cfg DialConfig) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	nc, err := dialTCP(ctx, cfg)
	if err != nil {
		return nil, engine.Unreachable(cfg.Address, err)
	}
	c := &Conn{
		nc:          nc,
		in:          &peekReader{nc: nc},
		address:     cfg.Address,
		key:         cfg.Database,
		application: cfg.Application,
		prepared:    newStatementCache(),
	}
	c.frontend = pgproto3.NewFrontend(c.in, nc)
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	err = c.startup(cfg)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// startup sends the startup message and reads messages up to the first ReadyForQuery.
func (c *Conn) startup(cfg DialConfig) error {
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             cfg.User,
			"database":         cfg.Database,
			"application_name": cfg.Application,
		},
	})
	if err := c.frontend.Flush(); err != nil {
		return engine.Unreachable(cfg.Address, err)
	}
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return engine.Unreachable(cfg.Address, err)
		}
		ready, err := c.handleStartupMessage(cfg, msg)
		if err != nil || ready {
			return err
		}
	}
}

func (c *Conn) handleStartupMessage(cfg DialConfig, msg pgproto3.BackendMessage) (ready bool, err error) {
	switch m := msg.(type) {
	case *pgproto3.AuthenticationSASL:
		return false, c.authenticate(cfg)
	case *pgproto3.AuthenticationCleartextPassword:
		c.frontend.Send(&pgproto3.PasswordMessage{Password: cfg.Password})
		return false, c.frontend.Flush()
	case *pgproto3.ParameterStatus:
		c.parameters = append(c.parameters, *m)
	case *pgproto3.BackendKeyData:
		c.pid = m.ProcessID
		c.secret = append([]byte(nil), m.SecretKey...)
	case *pgproto3.ErrorResponse:
		return false, errorFromResponse(cfg.Address, m)
	case *pgproto3.ReadyForQuery:
		return true, nil
	}
	return false, nil
}

func errorFromResponse(address string, m *pgproto3.ErrorResponse) error {
	kind := fault.KindUnavailable
	if m.Code == fault.KindOverloaded.SQLState() {
		kind = fault.KindOverloaded
	}
	return fault.New(fault.Config{
		Kind:    kind,
		Message: "endpoint " + address + " answered with an error: " + m.Code + " " + m.Message,
		Remedy:  "check the endpoint's user, database and connection limit in the contract",
	})
}

// Address returns the endpoint's host:port.
func (c *Conn) Address() string { return c.address }

// Key returns the pool key, which is the database name.
func (c *Conn) Key() string { return c.key }

// Parameters returns the parameters that the endpoint reported at startup.
func (c *Conn) Parameters() []pgproto3.ParameterStatus { return c.parameters }

// AnsweredAt returns the time of the endpoint's last answer on this connection.
func (c *Conn) AnsweredAt() time.Time { return c.answeredAt }

// SetAnsweredAt records that the endpoint answered at now.
func (c *Conn) SetAnsweredAt(now time.Time) { c.answeredAt = now }

// StateKey identifies the session settings in force on the connection; "" means none.
func (c *Conn) StateKey() string { return c.stateKey }

// SetStateKey records the session settings in force on the connection.
func (c *Conn) SetStateKey(key string) { c.stateKey = key }

// Queue appends a message to the output buffer, which the next Flush sends.
func (c *Conn) Queue(msg pgproto3.FrontendMessage) error {
	out, err := msg.Encode(c.out)
	if err != nil {
		return fault.New(fault.Config{
			Kind:    fault.KindProtocol,
			Message: "the protocol message cannot be encoded",
			Remedy:  "make the statement or its parameters smaller",
			Cause:   err,
		})
	}
	c.out = out
	return nil
}

// QueueRaw appends an encoded message to the output buffer, which the next Flush sends.
func (c *Conn) QueueRaw(encoded []byte) { c.out = append(c.out, encoded...) }

// Flush sends the queued messages; sent reports whether at least one byte was written.
func (c *Conn) Flush() (sent bool, err error) {
	n, err := c.nc.Write(c.out)
	c.out = c.out[:0]
	return n > 0, err
}

// Receive returns the endpoint's next message, valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) { return c.frontend.Receive() }

// Peek waits until the endpoint has sent data and leaves the data for Receive.
func (c *Conn) Peek() error { return c.in.fill() }

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) error { return c.nc.SetDeadline(t) }

// Close closes the connection at once, without a Terminate message.
func (c *Conn) Close() error { return c.nc.Close() }

// Canceled reports whether a cancel request was sent for this connection at any time.
func (c *Conn) Canceled() bool { return c.canceled }

// Unresponsive reports false: idle connections are checked by a status request before their use.
func (c *Conn) Unresponsive() bool { return false }

// MarkCanceled records that a cancel request may still reach the endpoint, so that the connection is not shared again.
func (c *Conn) MarkCanceled() { c.canceled = true }

// Cancel sends a cancel request for the statement that runs on the connection, on a TCP connection of its own, and
// returns once the endpoint has closed that connection.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return engine.Unreachable(c.address, err)
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	msg := &pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	encoded, err := msg.Encode(nil)
	if err != nil {
		return engine.Unreachable(c.address, err)
	}
	if _, err := nc.Write(encoded); err != nil {
		return engine.Unreachable(c.address, err)
	}
	_, _ = nc.Read(make([]byte, 1))
	return nil
}
