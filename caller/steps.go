package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/endpoint"
)

// stepKind determines which answer is expected next and how it is processed.
type stepKind uint8

const (
	// stepRestore discards the answer to a statement that restores session state.
	stepRestore stepKind = iota
	// stepPing discards the answer to an empty query, which shows that the connection is alive.
	stepPing
	// stepStatusBefore reads the status that a replica reports before it runs a read.
	stepStatusBefore
	// stepInjected discards the message that answers a Parse or Close injected by the proxy.
	stepInjected
	// stepParsed forwards the answer to a caller's Parse.
	stepParsed
	// stepLocal answers a caller's message that was not forwarded.
	stepLocal
	// stepMessage forwards the answer to one message of the extended protocol.
	stepMessage
	// stepReady forwards messages up to ReadyForQuery.
	stepReady
	// stepStatusAfter reads the status that the primary reports after a batch.
	stepStatusAfter
)

// step is one expected answer.
type step struct {
	kind stepKind
	// preparedName is the statement that the step prepares on the connection, or "".
	preparedName string
	// local is the answer of a stepLocal.
	local []byte
}

var (
	parseComplete = mustEncode(&pgproto3.ParseComplete{})
	closeComplete = mustEncode(&pgproto3.CloseComplete{})
)

func mustEncode(msg pgproto3.BackendMessage) []byte {
	raw, err := msg.Encode(nil)
	if err != nil {
		panic("caller: a constant message cannot be encoded: " + err.Error())
	}
	return raw
}

// plan queues a batch on a connection and lists the answers to expect.
type plan struct {
	conn  *endpoint.Conn
	steps []step
}

func (p *plan) expect(s step) { p.steps = append(p.steps, s) }

// queueRestore queues the queries that bring the connection's session settings to those of the caller.
func (p *plan) queueRestore(s *settings) error {
	if err := p.queueInternal("DISCARD ALL"); err != nil {
		return err
	}
	for _, sql := range s.statements {
		if err := p.queueInternal(sql); err != nil {
			return err
		}
	}
	return nil
}

func (p *plan) queueInternal(sql string) error {
	p.expect(step{kind: stepRestore})
	return p.conn.Queue(&pgproto3.Query{String: sql})
}

// queuePing queues an empty query, which is answered at once, however long the next statement takes.
func (p *plan) queuePing() error {
	p.expect(step{kind: stepPing})
	return p.conn.Queue(&pgproto3.Query{})
}

// queueStatus queues a query for the endpoint's status, whose answer is processed as a step of the given kind.
func (p *plan) queueStatus(kind stepKind) {
	p.expect(step{kind: kind})
	p.conn.QueueStatus()
}

// queueBatch queues the caller's messages and prepares the statements that the connection lacks.
func (p *plan) queueBatch(b *batch) error {
	for i := range b.messages {
		if err := p.queueMessage(&b.messages[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *plan) queueMessage(m *message) error {
	switch m.kind {
	case messageParse:
		return p.queueParse(m)
	case messageClose:
		if m.closesStatement {
			p.expect(step{kind: stepLocal, local: closeComplete})
			return nil
		}
	case messageQuery, messageSync:
		p.expect(step{kind: stepReady})
		p.conn.QueueRaw(m.raw)
		return nil
	case messageFlush:
		p.conn.QueueRaw(m.raw)
		return nil
	}
	if m.statement != nil {
		if err := p.prepare(m.statement, stepInjected); err != nil {
			return err
		}
	}
	p.expect(step{kind: stepMessage})
	p.conn.QueueRaw(m.raw)
	return nil
}

func (p *plan) queueParse(m *message) error {
	if p.conn.HasPrepared(m.statement.name) {
		p.expect(step{kind: stepLocal, local: parseComplete})
		return nil
	}
	return p.prepare(m.statement, stepParsed)
}

// prepare queues a Parse of s unless the connection has it, after a Close of the statement that s evicts, if any.
func (p *plan) prepare(s *preparedStatement, kind stepKind) error {
	if p.conn.HasPrepared(s.name) {
		return nil
	}
	if evicted := p.conn.AddPrepared(s.name); evicted != "" {
		p.expect(step{kind: stepInjected})
		if err := p.conn.Queue(&pgproto3.Close{ObjectType: 'S', Name: evicted}); err != nil {
			return err
		}
	}
	p.expect(step{kind: kind, preparedName: s.name})
	return p.conn.Queue(&pgproto3.Parse{Name: s.name, Query: s.query, ParameterOIDs: s.oids})
}

// skipToSync removes the steps up to the next Sync, whose messages the endpoint skips after an error.
//
// It reports whether the batch has no further Sync, in which case the endpoint also skips messages of the next batch.
func (p *plan) skipToSync() (noSync bool) {
	for len(p.steps) > 0 && p.steps[0].kind != stepReady {
		if name := p.steps[0].preparedName; name != "" {
			p.conn.RemovePrepared(name)
		}
		p.steps = p.steps[1:]
	}
	return len(p.steps) == 0
}
