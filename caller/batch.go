package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/fault"
)

// preparedStatement is a statement that a caller prepared. Its name is a hash of its text and parameter types,
// so that it can be prepared on any connection and shared there by all sessions.
type preparedStatement struct {
	name   string
	query  string
	oids   []uint32
	effect effect
	copy   bool
}

// preparedNameBytes is the number of bytes of a digest in the name of a prepared statement, which is at most 63 bytes long.
const preparedNameBytes = 24

func newPreparedStatement(m *pgproto3.Parse) *preparedStatement {
	p := &preparedStatement{
		query:  m.Query,
		oids:   append([]uint32(nil), m.ParameterOIDs...),
		effect: effectOf(m.Query),
		copy:   isCopy(m.Query),
	}
	digest := sha256.Sum256(fmt.Appendf(nil, "%d %q", p.oids, p.query))
	p.name = "mt_" + hex.EncodeToString(digest[:preparedNameBytes])
	return p
}

// messageKind is the kind of a request message.
type messageKind uint8

const (
	messageQuery messageKind = iota
	messageParse
	messageBind
	messageDescribe
	messageExecute
	messageClose
	messageSync
	messageFlush
)

// message is one encoded message of a request.
type message struct {
	kind messageKind
	// statement is the prepared statement that the message defines or needs on the connection, or nil.
	statement *preparedStatement
	raw       []byte
	// closesStatement reports that a Close names a prepared statement; the proxy answers it itself.
	closesStatement bool
}

// batch is a sequence of messages up to Sync or Flush, or one simple query, which is sent and answered as a whole.
type batch struct {
	messages []message
	// text is the SQL text of the first statement.
	text   string
	effect effect
	copy   bool
	bytes  int
}

// Limits of the memory that one caller may occupy in the proxy.
const (
	maxMessageBytes  = 64 << 20
	maxBatchBytes    = 64 << 20
	maxBatchMessages = 10_000
	maxStatements    = 10_000
)

func (b *batch) reset() {
	clear(b.messages)
	*b = batch{messages: b.messages[:0]}
}

func (b *batch) empty() bool { return len(b.messages) == 0 }

// lastKind returns the kind of the last message, which determines how the answer ends.
func (b *batch) lastKind() messageKind { return b.messages[len(b.messages)-1].kind }

// recordStatement keeps the first statement's text and the strongest effect of all statements.
func (b *batch) recordStatement(text string, e effect, isCopy bool) {
	if b.text == "" {
		b.text = text
	}
	b.effect = max(b.effect, e)
	b.copy = b.copy || isCopy
}

// add appends a message; it fails with KindProtocol when the batch exceeds its limits.
func (b *batch) add(kind messageKind, statement *preparedStatement, msg pgproto3.FrontendMessage) error {
	raw, err := msg.Encode(nil)
	b.bytes += len(raw)
	if err != nil || b.bytes > maxBatchBytes || len(b.messages) >= maxBatchMessages {
		return fault.New(fault.Config{
			Kind:    fault.KindProtocol,
			Message: "the request is larger than 64 MiB or 10000 messages; it did not run",
			Remedy:  "send it in smaller parts, each ended by Sync",
			Cause:   err,
		})
	}
	b.messages = append(b.messages, message{kind: kind, statement: statement, raw: raw})
	return nil
}
