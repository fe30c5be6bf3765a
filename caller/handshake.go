package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/scram"
	"github.com/monsoontiller/monsoontiller/session"
)

// sessionKey identifies a session in cancel requests.
type sessionKey struct {
	pid    uint32
	secret [secretBytes]byte
}

const (
	secretBytes = 4
	// instanceShift splits a process ID into the instance's seat number above and a counter of sessions below.
	instanceShift   = 20
	counterMask     = 1<<instanceShift - 1
	maxStartupBytes = 16 << 10
)

func newSessionKey(pid uint32, secret []byte) (sessionKey, bool) {
	if len(secret) != secretBytes {
		return sessionKey{}, false
	}
	return sessionKey{pid: pid, secret: [secretBytes]byte(secret)}, true
}

// SeatOf returns the seat number of the instance that issued the process ID pid.
func SeatOf(pid uint32) uint16 { return uint16(pid >> instanceShift) }

// handshake performs the startup phase of a connection, from its first byte to a session.
type handshake struct {
	server    *Server
	nc        net.Conn
	backend   *pgproto3.Backend
	usesTLS   bool
	overLimit bool
}

// run returns the session, or nil after a cancel request; it fails when the connection was refused.
func (h *handshake) run(ctx context.Context) (*callerSession, error) {
	deadline := time.Now().Add(h.server.cfg.StartupTimeout)
	if err := h.nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	h.backend = pgproto3.NewBackend(h.nc, h.nc)
	for {
		msg, err := h.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, h.refuse(errStartup(err))
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest:
			if err := h.upgradeTLS(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := h.nc.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			h.cancel(ctx, m)
			return nil, nil
		case *pgproto3.StartupMessage:
			return h.start(m)
		}
	}
}

func errStartup(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindProtocol,
		Message: "the startup message cannot be read",
		Remedy:  "connect with PostgreSQL protocol version 3",
		Cause:   cause,
	})
}

func (h *handshake) upgradeTLS() error {
	if h.server.cfg.TLS == nil || h.usesTLS {
		_, err := h.nc.Write([]byte{'N'})
		return err
	}
	if _, err := h.nc.Write([]byte{'S'}); err != nil {
		return err
	}
	tc := tls.Server(h.nc, h.server.cfg.TLS)
	if err := tc.Handshake(); err != nil {
		return err
	}
	h.nc = tc
	h.usesTLS = true
	h.backend = pgproto3.NewBackend(tc, tc)
	return nil
}

// cancel cancels a statement of this instance or forwards the request to the instance that issued the key.
func (h *handshake) cancel(ctx context.Context, m *pgproto3.CancelRequest) {
	ctx, stop := context.WithTimeout(ctx, h.server.cfg.StartupTimeout)
	defer stop()
	if SeatOf(m.ProcessID) == h.server.cfg.SeatNumber {
		h.server.Cancel(ctx, m.ProcessID, m.SecretKey)
		return
	}
	if h.server.cfg.ForwardCancel != nil {
		h.server.cfg.ForwardCancel(ctx, m.ProcessID, m.SecretKey)
	}
}

// refuse sends err to the caller as a fatal error and returns it.
func (h *handshake) refuse(err error) error {
	out := appendError(nil, "FATAL", fault.As(err))
	_, _ = h.nc.Write(out)
	return err
}

// start authenticates the caller and creates its session.
func (h *handshake) start(m *pgproto3.StartupMessage) (*callerSession, error) {
	if err := h.admit(m); err != nil {
		return nil, h.refuse(err)
	}
	customer := m.Parameters["user"]
	database := m.Parameters["database"]
	if database == "" {
		database = customer
	}
	b, err := h.server.cfg.Directory.Find(customer, database)
	if err != nil {
		return nil, h.refuse(err)
	}
	if err := h.authenticate(b); err != nil {
		return nil, h.refuse(err)
	}
	cs, err := h.newSession(customer, database, b, m.Parameters)
	if err != nil {
		return nil, h.refuse(err)
	}
	if !b.CustomerState().AddCaller(b.Contract().Limits().Callers()) {
		return nil, h.refuse(errTooManyCallers("the contract of " + customer + " allows no more callers on this instance"))
	}
	if err := h.completeStartup(cs); err != nil {
		b.CustomerState().RemoveCaller()
		return nil, err
	}
	return cs, nil
}

func (h *handshake) admit(m *pgproto3.StartupMessage) error {
	if m.ProtocolVersion>>16 != 3 {
		return errStartup(nil)
	}
	if h.overLimit {
		return errTooManyCallers("this instance is at its limit of caller connections")
	}
	if h.server.draining() {
		return engine.ErrDraining()
	}
	if h.server.cfg.RequireTLS && !h.usesTLS {
		return fault.New(fault.Config{
			Kind:    fault.KindUnauthorized,
			Message: "this instance accepts callers over TLS only",
			Remedy:  "connect with sslmode=verify-full",
		})
	}
	return nil
}

func errTooManyCallers(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindOverloaded,
		Message: message + "; nothing ran",
		Remedy:  "try again in a second, or raise limits.callers in the contract",
	})
}

// authenticate checks the caller's password if the contract holds a verifier for the database.
func (h *handshake) authenticate(b Binding) error {
	verifier, ok := b.Database().Verifier()
	if !ok {
		return nil
	}
	exchange := scram.NewServer(verifier)
	h.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scram.Mechanism}})
	first, err := receiveSASL[*pgproto3.SASLInitialResponse](h, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := exchange.Challenge(string(first.Data))
	if err != nil {
		return err
	}
	h.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	last, err := receiveSASL[*pgproto3.SASLResponse](h, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	signature, err := exchange.Finish(string(last.Data))
	if err != nil {
		return err
	}
	h.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(signature)})
	return nil
}

// receiveSASL sends the queued messages and returns the caller's answer, which must be of type M.
func receiveSASL[M pgproto3.FrontendMessage](h *handshake, authType uint32) (M, error) {
	var zero M
	if err := h.backend.SetAuthType(authType); err != nil {
		return zero, err
	}
	if err := h.backend.Flush(); err != nil {
		return zero, err
	}
	h.backend.SetMaxBodyLen(maxStartupBytes)
	msg, err := h.backend.Receive()
	if err != nil {
		return zero, errStartup(err)
	}
	m, ok := msg.(M)
	if !ok {
		return zero, errStartup(nil)
	}
	return m, nil
}

func (h *handshake) newSession(customer, database string, b Binding, parameters map[string]string) (*callerSession, error) {
	cs := &callerSession{
		server:     h.server,
		nc:         h.nc,
		backend:    h.backend,
		key:        h.newKey(),
		customer:   customer,
		database:   database,
		binding:    b,
		statements: map[string]*preparedStatement{},
		txStatus:   'I',
	}
	floor, err := cs.applyParameters(parameters)
	if err != nil {
		return nil, err
	}
	cs.connectedAt = clock.Now()
	cs.states.Set(b.Group().Log(), session.New(session.Config{ConnectedAt: cs.connectedAt, Floor: floor}))
	return cs, nil
}

func (h *handshake) newKey() sessionKey {
	var key sessionKey
	_, _ = rand.Read(key.secret[:])
	key.pid = uint32(h.server.cfg.SeatNumber)<<instanceShift | h.server.sessionCounter.Add(1)&counterMask
	return key
}

// applyParameters reads hints, the token and settings from the startup parameters.
func (s *callerSession) applyParameters(parameters map[string]string) (floor group.Point, err error) {
	s.hints = DefaultHints(s.binding.Contract().Reads())
	for name, value := range parameters {
		hint, prefixed := strings.CutPrefix(name, parameterPrefix)
		switch {
		case prefixed && hint == hintToken:
			floor, err = s.server.cfg.Tokens.Decode(session.Scope{Customer: s.customer, Database: s.database}, s.binding.Group().Log(), value)
		case prefixed:
			s.hints, err = s.hints.With(hint, value)
			s.hasHints = true
		default:
			err = s.addStartupSetting(name, value)
		}
		if err != nil {
			return floor, err
		}
	}
	return floor, nil
}

// addStartupSetting records a parameter as a SET for replay on every connection that serves the session.
func (s *callerSession) addStartupSetting(name, value string) error {
	switch name {
	case "user", "database", "application_name", "replication":
		return nil
	case "client_encoding":
		if strings.EqualFold(value, "utf8") || strings.EqualFold(value, "utf-8") || strings.EqualFold(value, "unicode") {
			return nil
		}
	case "options":
		return errUnsupported("the startup parameter options")
	}
	for _, c := range []byte(name) {
		if !isLetter(c) && c != '_' && c != '.' && (c < '0' || c > '9') {
			return errUnsupported("the startup parameter " + name)
		}
	}
	s.settings.add("SET " + name + " = '" + strings.ReplaceAll(value, "'", "''") + "'")
	return nil
}

// completeStartup sends the caller the server's parameters and reports that the session is ready.
func (h *handshake) completeStartup(cs *callerSession) error {
	h.backend.SetMaxBodyLen(maxMessageBytes)
	h.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range serverParameters {
		h.backend.Send(&p)
	}
	h.backend.Send(&pgproto3.BackendKeyData{ProcessID: cs.key.pid, SecretKey: cs.key.secret[:]})
	h.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := h.backend.Flush(); err != nil {
		return err
	}
	return h.nc.SetDeadline(time.Time{})
}

// serverParameters are the parameters that callers expect at startup; they do not depend on an endpoint.
var serverParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}
