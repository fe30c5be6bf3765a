package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/endpoint"
)

// stepKind says which answer is expected next and what becomes of it.
type stepKind uint8

const (
	// stepRestore swallows the answer to a statement that restores session state.
	stepRestore stepKind = iota
	// stepPing swallows the answer to an empty query, which shows that the connection is alive.
	stepPing
	// stepPosition reads the status that a replica reports ahead of a read.
	stepPosition
	// stepHidden swallows one message that answers an injected Parse or Close.
	stepHidden
	// stepParsed passes on the answer to a caller's Parse.
	stepParsed
	// stepLocal answers a caller's message that was not forwarded.
	stepLocal
	// stepOne passes on the answer to one extended-protocol message.
	stepOne
	// stepReady passes on messages up to ReadyForQuery.
	stepReady
	// stepCommitted reads the status that follows a request on the primary.
	stepCommitted
)

// step is one expected answer.
type step struct {
	kind     stepKind
	prepares string
	local    []byte
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

// plan queues a unit on a connection and lists the answers to expect.
type plan struct {
	conn  *endpoint.Conn
	steps []step
}

func (p *plan) expect(s step) { p.steps = append(p.steps, s) }

// restore brings the connection's session settings to those of the caller.
func (p *plan) restore(s *settings) error {
	if p.conn.StateKey() == s.key {
		return nil
	}
	if err := p.hiddenQuery("DISCARD ALL"); err != nil {
		return err
	}
	p.conn.ForgetPrepared()
	for _, sql := range s.statements {
		if err := p.hiddenQuery(sql); err != nil {
			return err
		}
	}
	p.conn.SetStateKey(s.key)
	return nil
}

func (p *plan) hiddenQuery(sql string) error {
	p.expect(step{kind: stepRestore})
	return p.conn.Queue(&pgproto3.Query{String: sql})
}

// ping queues an empty query, whose answer comes at once whatever follows it.
func (p *plan) ping() error {
	p.expect(step{kind: stepPing})
	return p.conn.Queue(&pgproto3.Query{})
}

// status asks for the endpoint's status, to be met as kind.
func (p *plan) status(kind stepKind) {
	p.expect(step{kind: kind})
	p.conn.QueueStatus()
}

// unit queues the caller's messages, preparing statements that the connection lacks.
func (p *plan) unit(u *unit) error {
	for i := range u.ops {
		if err := p.op(&u.ops[i]); err != nil {
			return err
		}
	}
	return nil
}

func (p *plan) op(o *op) error {
	switch o.kind {
	case opParse:
		return p.parse(o)
	case opClose:
		if o.named {
			p.expect(step{kind: stepLocal, local: closeComplete})
			return nil
		}
	case opQuery, opSync:
		p.expect(step{kind: stepReady})
		p.conn.QueueRaw(o.raw)
		return nil
	case opFlush:
		p.conn.QueueRaw(o.raw)
		return nil
	}
	if o.statement != nil {
		if err := p.prepare(o.statement, stepHidden); err != nil {
			return err
		}
	}
	p.expect(step{kind: stepOne})
	p.conn.QueueRaw(o.raw)
	return nil
}

func (p *plan) parse(o *op) error {
	if p.conn.HasPrepared(o.statement.name) {
		p.expect(step{kind: stepLocal, local: parseComplete})
		return nil
	}
	return p.prepare(o.statement, stepParsed)
}

// prepare prepares s unless the connection has it.
func (p *plan) prepare(s *prepared, kind stepKind) error {
	if p.conn.HasPrepared(s.name) {
		return nil
	}
	if evicted := p.conn.AddPrepared(s.name); evicted != "" {
		p.expect(step{kind: stepHidden})
		if err := p.conn.Queue(&pgproto3.Close{ObjectType: 'S', Name: evicted}); err != nil {
			return err
		}
	}
	p.expect(step{kind: kind, prepares: s.name})
	return p.conn.Queue(&pgproto3.Parse{Name: s.name, Query: s.query, ParameterOIDs: s.oids})
}

// skip drops the steps that an error makes void, up to the next Sync, and reports whether none follows.
func (p *plan) skip() (open bool) {
	for len(p.steps) > 0 && p.steps[0].kind != stepReady {
		if name := p.steps[0].prepares; name != "" {
			p.conn.RemovePrepared(name)
		}
		p.steps = p.steps[1:]
	}
	return len(p.steps) == 0
}
