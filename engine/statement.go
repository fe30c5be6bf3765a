package engine

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Op is the operation of a statement.
type Op uint8

// The operations of statements.
const (
	OpRead Op = iota
	OpWrite
	OpBegin
	OpBeginRead
	OpCommit
	OpRollback
	// OpSet sets a session value.
	OpSet
	OpPrepare
	OpExecute
	// OpDeallocate removes a prepared statement.
	OpDeallocate
	// OpReset clears the session values and prepared statements of a link.
	OpReset
	// OpStart opens a session.
	OpStart
)

// String returns the operation in snake case.
func (o Op) String() string {
	names := [...]string{"read", "write", "begin", "begin_read", "commit", "rollback", "set", "prepare", "execute", "deallocate", "reset", "start"}
	return names[min(int(o), len(names)-1)]
}

// ProxyStatementID is the ID of statements that the proxy issues itself.
const ProxyStatementID = "-"

// Statement is one request of a caller, decoded.
type Statement struct {
	// ID identifies the request at the endpoint.
	ID string
	Op Op
	// Text is the statement as the caller sent it; endpoints receive it unchanged.
	Text string
	// Name is the name of a session value or a prepared statement.
	Name string
	// Argument is the value of OpSet, the shape (statement template) of OpPrepare, or the arguments of OpExecute.
	Argument string
	// Writes means that a prepared statement changes data.
	Writes bool
}

// Command is a statement as it is sent to an endpoint.
type Command struct {
	Statement Statement
	// Floor is the log point that the endpoint must have reached, or zero.
	Floor group.Point
	// Alias is the name of a prepared statement at the endpoint.
	Alias string
}

// TxState is the transaction state of a session or of a link between two statements.
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
	// ReasonOther is an endpoint's error that the proxy passes on without interpreting it.
	ReasonOther Reason = iota
	// ReasonOverloaded means that the statement did not run because of missing capacity.
	ReasonOverloaded
	// ReasonBehind means that the endpoint's log has not reached the floor; the statement did not run.
	ReasonBehind
	// ReasonReadOnly means that the endpoint is not primary, or the transaction is read-only; the statement did not run.
	ReasonReadOnly
	// ReasonWrongEndpoint means that another process listens at the endpoint's address.
	ReasonWrongEndpoint
	// ReasonTooManyLinks means that the endpoint has reached its connection limit.
	ReasonTooManyLinks
	// ReasonUnknownStatement means that no statement of that name is prepared.
	ReasonUnknownStatement
	// ReasonFailed means that the statement ran and failed.
	ReasonFailed
	// ReasonTimeout means that the statement exceeded its time limit.
	ReasonTimeout
	// ReasonInDoubt means that the statement may or may not have run.
	ReasonInDoubt
	// ReasonAborted means that the transaction was rolled back.
	ReasonAborted
	// ReasonMalformed means that the statement is invalid, or not allowed in the session's state.
	ReasonMalformed
	// ReasonNoDatabase means that no contract names the database.
	ReasonNoDatabase
	// ReasonUnauthenticated means that no client account holds the caller's key.
	ReasonUnauthenticated
)

// String returns the reason in snake case.
func (r Reason) String() string {
	names := [...]string{
		"other", "overloaded", "behind", "read_only", "wrong_endpoint", "too_many_links", "unknown_statement",
		"failed", "timeout", "in_doubt", "aborted", "malformed", "no_database", "unauthenticated",
	}
	return names[min(int(r), len(names)-1)]
}

// Refusal is an error answer.
type Refusal struct {
	Reason Reason
	Text   string
	// Code is the endpoint's error code, passed on unchanged if set.
	Code string
	// Unproven means that the instance could not prove that it knows the newest keys of the client accounts.
	Unproven bool
}

// Answer is the answer to one statement.
type Answer struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement, or ProxyStatementID for an answer of the proxy.
	Signature string
	// Refusal is nil for a success.
	Refusal *Refusal
	State   TxState
	// Point is the end of the endpoint's log, or zero.
	Point group.Point
}

// refuse returns an answer that refuses a statement.
func refuse(reason Reason, text string, state TxState) Answer {
	return Answer{Refusal: &Refusal{Reason: reason, Text: text}, State: state}
}

// done returns the proxy's own answer to a statement that needs no endpoint.
func done(state TxState) Answer { return Answer{Signature: ProxyStatementID, State: state} }

// StatementLink is a link whose protocol has typed statements.
type StatementLink[L any] interface {
	Link[L]
	// Exec sends commands in one write and appends their answers to answers.
	//
	// It fails when the link is lost or deadline passes before the last answer;
	// sent reports whether a byte may have been sent.
	Exec(deadline time.Time, commands []Command, answers []Answer) (got []Answer, sent bool, err error)
	// State returns the session values and prepared statements in force on the link.
	State() *LinkState
}

// preparedStatement is a statement prepared by a caller.
type preparedStatement struct {
	shape  string
	writes bool
	// alias is the statement's name at endpoints, shared by all sessions that prepare the same statement.
	alias string
}

func newPrepared(shape string, writes bool) *preparedStatement {
	return &preparedStatement{shape: shape, writes: writes, alias: PreparedName(shape, writes)}
}
