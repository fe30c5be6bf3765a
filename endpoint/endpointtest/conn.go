package endpointtest

import (
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID is the object id of the PostgreSQL type text, the type of every column and parameter.
const textOID = 25

const (
	blockedPollInterval = 5 * time.Millisecond
	secretLength        = 4
)

var errSilent = errors.New("connection is silent")

// conn serves one client connection.
type conn struct {
	server   *server
	nc       net.Conn
	backend  *pgproto3.Backend
	engine   *engine
	client   string
	pid      uint32
	secret   []byte
	silent   atomic.Bool
	mu       sync.Mutex
	canceled chan struct{}
	prepared map[string]statement
	portals  map[string]portal
	skipping bool
}

// portal is a bound statement.
type portal struct {
	statement statement
	params    [][]byte
}

func newConn(s *server, nc net.Conn) *conn {
	secret := make([]byte, secretLength)
	_, _ = rand.Read(secret)
	return &conn{
		server:   s,
		nc:       nc,
		backend:  pgproto3.NewBackend(nc, nc),
		engine:   newEngine(s.member),
		pid:      s.nextPID.Add(1),
		secret:   secret,
		prepared: map[string]statement{},
		portals:  map[string]portal{},
	}
}

func (c *conn) serve() {
	defer c.nc.Close()
	if !c.startup() {
		return
	}
	defer c.server.remove(c)
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return
		}
		if err := c.waitWhileBlocked(); err != nil {
			c.drain()
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := c.handle(msg); err != nil {
			return
		}
	}
}

// drain reads from a silent connection without answering until the client closes it.
func (c *conn) drain() {
	for {
		if _, err := c.backend.Receive(); err != nil {
			return
		}
	}
}

// waitWhileBlocked waits until the client is not blocked; it fails with errSilent on a silent connection.
func (c *conn) waitWhileBlocked() error {
	for c.server.isBlocked(c.client) {
		time.Sleep(blockedPollInterval)
	}
	if c.silent.Load() {
		return errSilent
	}
	return nil
}

// startup handles the first messages of a connection and reports whether a session was started.
func (c *conn) startup() bool {
	msg, err := c.backend.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := msg.(type) {
	case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
		if _, err := c.nc.Write([]byte{'N'}); err != nil {
			return false
		}
		return c.startup()
	case *pgproto3.CancelRequest:
		c.server.cancel(m.ProcessID, m.SecretKey)
		return false
	case *pgproto3.StartupMessage:
		return c.startSession(m)
	}
	return false
}

func (c *conn) startSession(m *pgproto3.StartupMessage) bool {
	c.client = m.Parameters["application_name"]
	if err := c.waitWhileBlocked(); err != nil {
		return false
	}
	if !c.server.admit(c) {
		c.fail(&sqlError{code: codeTooManyConnections, message: "too many connections"})
		_ = c.backend.Flush()
		return false
	}
	time.Sleep(c.server.member.group.cfg.ConnectDelay)
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if c.backend.Flush() != nil {
		c.server.remove(c)
		return false
	}
	return true
}

func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	if c.skipping {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			return nil
		}
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.query(m.String)
		return c.backend.Flush()
	case *pgproto3.Parse:
		c.parse(m)
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Execute:
		c.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return c.backend.Flush()
	case *pgproto3.Sync:
		c.skipping = false
		c.ready()
		return c.backend.Flush()
	}
	return nil
}

func (c *conn) ready() {
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.engine.txStatus()})
}

func (c *conn) query(sql string) {
	s := parseStatement(sql)
	r := c.run(s, nil)
	if r.err != nil {
		c.fail(r.err)
	} else {
		if s.returnsRows() {
			c.backend.Send(rowDescription(r.columns))
		}
		c.sendResult(s, r)
	}
	c.ready()
}

// run executes s, in one of the member's slots if it uses one.
func (c *conn) run(s statement, params [][]byte) result {
	canceled := c.beginStatement()
	defer c.endStatement()
	duration := c.server.member.group.cfg.StatementTime
	if duration > 0 && s.usesSlot() {
		c.server.slots <- struct{}{}
		defer func() { <-c.server.slots }()
		time.Sleep(duration)
	}
	if (s.verb == verbSet || s.verb == verbDiscard) && c.server.takeFailedSetting() {
		return result{err: &sqlError{code: codeInternal, message: "the setting cannot be changed"}}
	}
	r := c.engine.run(s, params)
	if s.usesSlot() && c.server.takeLostAnswer() {
		c.nc.Close()
	}
	if r.sleep > 0 {
		select {
		case <-time.After(r.sleep):
		case <-canceled:
			return result{err: &sqlError{code: codeCanceled, message: "canceling statement due to user request"}}
		}
	}
	return r
}

// usesSlot reports whether s occupies a slot while it runs. Empty statements and those that query or control the member
// do not.
func (s statement) usesSlot() bool {
	switch s.verb {
	case verbEmpty, verbStatus, verbFence, verbPromote, verbTerminate:
		return false
	}
	return true
}

func (c *conn) beginStatement() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = make(chan struct{})
	return c.canceled
}

func (c *conn) endStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = nil
}

func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled != nil {
		close(c.canceled)
		c.canceled = nil
	}
}

func (c *conn) parse(m *pgproto3.Parse) {
	c.prepared[m.Name] = parseStatement(m.Query)
	c.backend.Send(&pgproto3.ParseComplete{})
}

func (c *conn) bind(m *pgproto3.Bind) {
	s, ok := c.prepared[m.PreparedStatement]
	if !ok {
		c.fail(&sqlError{code: codeNoSuchStatement, message: "no prepared statement " + m.PreparedStatement})
		c.skipping = true
		return
	}
	params := make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		params[i] = append([]byte(nil), p...)
	}
	c.portals[m.DestinationPortal] = portal{statement: s, params: params}
	c.backend.Send(&pgproto3.BindComplete{})
}

func (c *conn) describe(m *pgproto3.Describe) {
	s := c.portals[m.Name].statement
	if m.ObjectType == 'S' {
		s = c.prepared[m.Name]
		oids := make([]uint32, s.maxParam())
		for i := range oids {
			oids[i] = textOID
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if !s.returnsRows() {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(s.columns()))
}

// columns returns the column names that Describe reports for a statement that returns rows.
func (s statement) columns() []string {
	switch s.verb {
	case verbStatus, verbFence, verbPromote:
		return statusColumns
	}
	return []string{"value"}
}

func (c *conn) execute(m *pgproto3.Execute) {
	p := c.portals[m.Portal]
	r := c.run(p.statement, p.params)
	if r.err != nil {
		c.fail(r.err)
		c.skipping = true
		return
	}
	c.sendResult(p.statement, r)
}

func (c *conn) sendResult(s statement, r result) {
	if s.verb == verbEmpty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = []byte(v)
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

func (c *conn) fail(e *sqlError) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: e.code, Message: e.message})
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, name := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(name),
			DataTypeOID:  textOID,
			DataTypeSize: -1,
			TypeModifier: -1,
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
