package engine

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Op is what a statement asks for.
type Op uint8

// The operations of statements.
const (
	OpRead Op = iota
	OpWrite
	OpBegin
	OpBeginRead
	OpCommit
	OpRollback
	// OpSet gives a session value.
	OpSet
	OpPrepare
	OpExecute
	// OpDeallocate forgets a prepared statement.
	OpDeallocate
	// OpReset clears the session values and prepared statements of a link.
	OpReset
)

// String returns the operation in snake case.
func (o Op) String() string {
	names := [...]string{"read", "write", "begin", "begin_read", "commit", "rollback", "set", "prepare", "execute", "deallocate", "reset"}
	return names[min(int(o), len(names)-1)]
}

// OwnID is the id of statements that the proxy issues itself.
const OwnID = "-"

// Statement is one request of a caller, decoded.
type Statement struct {
	// ID names the request at the endpoint.
	ID string
	Op Op
	// Text is the statement as the caller wrote it; endpoints get it unchanged.
	Text string
	// Name is that of a session value or a prepared statement.
	Name string
	// Argument is the value, the shape, or what is executed with.
	Argument string
	// Writes says that a prepared statement changes data.
	Writes bool
}

// Command is a statement on its way to an endpoint.
type Command struct {
	Statement Statement
	// Floor is the log point that the endpoint must have reached, or zero.
	Floor group.Point
	// Alias is the name of a prepared statement at the endpoint.
	Alias string
}

// TxState is the state of a session or of a link between two statements.
type TxState uint8

// The states between statements.
const (
	TxNone TxState = iota
	TxOpen
	// TxFailed means that the transaction can only be rolled back.
	TxFailed
)

// Reason classifies a refusal.
type Reason uint8

// The reasons for a refusal, of an endpoint or of the proxy.
const (
	// ReasonOther is an endpoint's error that the proxy only passes on.
	ReasonOther Reason = iota
	// ReasonOverloaded means that the statement did not run for want of capacity.
	ReasonOverloaded
	// ReasonBehind means that the endpoint's log lacks the floor; the statement did not run.
	ReasonBehind
	// ReasonReadOnly means that the endpoint does not lead; the statement did not run.
	ReasonReadOnly
	// ReasonWrongEndpoint means that another process listens at the address.
	ReasonWrongEndpoint
	// ReasonTooManyLinks means that the endpoint takes no more connections.
	ReasonTooManyLinks
	// ReasonUnknownStatement means that no statement of that name is prepared.
	ReasonUnknownStatement
	// ReasonFailed means that the statement ran and failed.
	ReasonFailed
	// ReasonTimeout means that the statement ran out of time.
	ReasonTimeout
	// ReasonInDoubt means that the statement may or may not have run.
	ReasonInDoubt
	// ReasonAborted means that the transaction is rolled back.
	ReasonAborted
	// ReasonMalformed means that the statement is not one, or not in this state.
	ReasonMalformed
	// ReasonNoDatabase means that no contract names the database.
	ReasonNoDatabase
)

// String returns the reason in snake case.
func (r Reason) String() string {
	names := [...]string{
		"other", "overloaded", "behind", "read_only", "wrong_endpoint", "too_many_links", "unknown_statement",
		"failed", "timeout", "in_doubt", "aborted", "malformed", "no_database",
	}
	return names[min(int(r), len(names)-1)]
}

// Refusal is an error answer.
type Refusal struct {
	Reason Reason
	Text   string
	// Code is the endpoint's own code, passed on unchanged when set.
	Code string
}

// Answer is the answer to one statement.
type Answer struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement, or OwnID for an answer of the proxy.
	Signature string
	// Refusal is nil for a success.
	Refusal *Refusal
	State   TxState
	// Point is the end of the endpoint's log, or zero.
	Point group.Point
}

// refuse returns the answer that refuses a statement.
func refuse(reason Reason, text string, state TxState) Answer {
	return Answer{Refusal: &Refusal{Reason: reason, Text: text}, State: state}
}

// done returns the answer of the proxy itself to a statement that needs no endpoint.
func done(state TxState) Answer { return Answer{Signature: OwnID, State: state} }

// StatementLink is a link whose protocol carries typed statements.
type StatementLink[L any] interface {
	Link[L]
	// Exec sends commands in one write and appends their answers to answers.
	//
	// It fails when the link is lost or deadline passes before the last answer;
	// sent reports whether a byte may have left.
	Exec(deadline time.Time, commands []Command, answers []Answer) (got []Answer, sent bool, err error)
	// State returns what is in force on the link.
	State() *LinkState
}

// LinkState is what the statements of earlier users left on a link.
type LinkState struct {
	values   map[string]string
	prepared map[string]bool
}

// NewLinkState returns the state of a link that was just opened.
func NewLinkState() *LinkState {
	return &LinkState{values: map[string]string{}, prepared: map[string]bool{}}
}

// maxPrepared is the most prepared statements that a link keeps; beyond it the link is reset.
const maxPrepared = 256

// restore appends the commands that give a link the values of a session and a prepared statement, if one is needed.
//
// A link whose values a session does not have is reset first, unless it is in a
// transaction, in which the session's values can only have grown.
func (s *LinkState) restore(commands []Command, values map[string]string, needed *preparedStatement, inTx bool) []Command {
	if !inTx && (s.hasExtraValue(values) || len(s.prepared) >= maxPrepared) {
		commands = append(commands, Command{Statement: Statement{ID: OwnID, Op: OpReset}})
		clear(s.values)
		clear(s.prepared)
	}
	for name, value := range values {
		if held, ok := s.values[name]; ok && held == value {
			continue
		}
		commands = append(commands, Command{Statement: Statement{ID: OwnID, Op: OpSet, Name: name, Argument: value}})
		s.values[name] = value
	}
	if needed != nil && !s.prepared[needed.alias] {
		commands = append(commands, Command{
			Statement: Statement{ID: OwnID, Op: OpPrepare, Argument: needed.shape, Writes: needed.writes},
			Alias:     needed.alias,
		})
		s.prepared[needed.alias] = true
	}
	return commands
}

// hasExtraValue reports whether the link holds a value of a name that the session did not set.
func (s *LinkState) hasExtraValue(values map[string]string) bool {
	for name := range s.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// clearPrepared drops what is known of the link's prepared statements, so that they are prepared again.
func (s *LinkState) clearPrepared() { clear(s.prepared) }

// preparedStatement is a statement that a caller preparedStatement.
type preparedStatement struct {
	shape  string
	writes bool
	// alias is its name at endpoints, shared by all sessions that prepare the same statement.
	alias string
}

func newPrepared(shape string, writes bool) *preparedStatement {
	kind := "r_"
	if writes {
		kind = "w_"
	}
	return &preparedStatement{shape: shape, writes: writes, alias: kind + shape}
}
