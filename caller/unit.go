package caller

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/fault"
)

// prepared is a statement that a caller prepared, by the text that any connection can prepare again.
type prepared struct {
	name   string
	query  string
	oids   []uint32
	effect effect
	copy   bool
}

func newPrepared(m *pgproto3.Parse) *prepared {
	p := &prepared{
		query:  m.Query,
		oids:   append([]uint32(nil), m.ParameterOIDs...),
		effect: effectOf(m.Query),
		copy:   isCopy(m.Query),
	}
	d := xxhash.New()
	_, _ = d.WriteString(p.query)
	for _, oid := range p.oids {
		_, _ = fmt.Fprintf(d, ",%d", oid)
	}
	p.name = fmt.Sprintf("mt_%016x_%x", d.Sum64(), len(p.query))
	return p
}

// opKind is the kind of a request message.
type opKind uint8

const (
	opQuery opKind = iota
	opParse
	opBind
	opDescribe
	opExecute
	opClose
	opSync
	opFlush
)

// op is one request message, encoded, with the statement that it needs.
type op struct {
	kind      opKind
	statement *prepared
	raw       []byte
	named     bool
}

// unit is a run of messages that is sent and answered as a whole.
type unit struct {
	ops    []op
	text   string
	effect effect
	copy   bool
	bytes  int
}

// Bounds on what one caller may make the proxy hold.
const (
	maxMessageBytes = 64 << 20
	maxUnitBytes    = 64 << 20
	maxUnitOps      = 10_000
	maxStatements   = 10_000
)

func (u *unit) reset() {
	clear(u.ops)
	*u = unit{ops: u.ops[:0]}
}

func (u *unit) empty() bool { return len(u.ops) == 0 }

// end returns the kind of the last message, which decides how the answer ends.
func (u *unit) end() opKind { return u.ops[len(u.ops)-1].kind }

func (u *unit) note(text string, e effect, isCopy bool) {
	if u.text == "" {
		u.text = text
	}
	u.effect = max(u.effect, e)
	u.copy = u.copy || isCopy
}

// add appends a message; it fails with KindProtocol when the unit grows past its bounds.
func (u *unit) add(kind opKind, statement *prepared, msg pgproto3.FrontendMessage) error {
	raw, err := msg.Encode(nil)
	u.bytes += len(raw)
	if err != nil || u.bytes > maxUnitBytes || len(u.ops) >= maxUnitOps {
		return fault.New(fault.Config{
			Kind:    fault.KindProtocol,
			Message: "the request is larger than 64 MiB or 10000 messages; it did not run",
			Remedy:  "send it in smaller parts, each ended by Sync",
			Cause:   err,
		})
	}
	u.ops = append(u.ops, op{kind: kind, statement: statement, raw: raw})
	return nil
}
