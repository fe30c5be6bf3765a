package endpointtest

import (
	"fmt"
	"strconv"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// engine runs statements of one connection against its member.
type engine struct {
	member   *Member
	inTx     bool
	failed   bool
	pending  []change
	settings rows
}

// result is the answer to one statement.
type result struct {
	columns []string
	rows    [][]string
	tag     string
	sleep   time.Duration
	err     *sqlError
}

// sqlError is an error response with its SQLSTATE code.
type sqlError struct {
	code    string
	message string
}

const (
	codeReadOnly           = "25006"
	codeDuplicate          = "23505"
	codeSyntax             = "42601"
	codeAborted            = "25P02"
	codeTooManyConnections = "53300"
	codeCanceled           = "57014"
	codeInternal           = "XX000"
	codeNoSuchStatement    = "26000"
)

var statusColumns = []string{"endpoint", "role", "term", "position", "promised", "attempt", "history"}

func newEngine(m *Member) *engine { return &engine{member: m, settings: rows{}} }

// txStatus returns the ReadyForQuery status byte.
func (e *engine) txStatus() byte {
	switch {
	case e.failed:
		return 'E'
	case e.inTx:
		return 'T'
	}
	return 'I'
}

// run executes s; a write outside a transaction is committed immediately.
func (e *engine) run(s statement, params [][]byte) result {
	if e.failed && s.verb != verbRollback && s.verb != verbCommit {
		return result{err: &sqlError{code: codeAborted, message: "current transaction is aborted"}}
	}
	r := e.dispatch(s, params)
	if r.err != nil && e.inTx {
		e.failed = true
	}
	return r
}

func (e *engine) dispatch(s statement, params [][]byte) result {
	if s.writes() {
		return e.write(s, params)
	}
	switch s.verb {
	case verbEmpty:
		return result{}
	case verbBegin:
		e.inTx = true
		return result{tag: "BEGIN"}
	case verbCommit, verbRollback:
		return e.endTransaction(s.verb)
	case verbSelect, verbCount, verbLiteral, verbSleep, verbShow:
		return e.read(s, params)
	case verbSet:
		e.settings[s.operands[0].value(params)] = s.operands[1].value(params)
		return result{tag: "SET"}
	case verbDiscard:
		e.settings = rows{}
		return result{tag: "DISCARD ALL"}
	case verbListen:
		e.settings["listen "+s.operands[0].text] = "on"
		return result{tag: "LISTEN"}
	case verbStatus:
		return e.status()
	case verbFence, verbPromote:
		return e.changeRole(s, params)
	case verbTerminate:
		return e.terminate(s, params)
	}
	return result{err: &sqlError{code: codeSyntax, message: "the fake endpoint does not support this statement"}}
}

func (e *engine) read(s statement, params [][]byte) result {
	switch s.verb {
	case verbCount:
		e.member.group.mu.Lock()
		n := len(e.member.rows)
		e.member.group.mu.Unlock()
		return oneRow("count", strconv.Itoa(n))
	case verbLiteral:
		return oneRow("column1", s.operands[0].value(params))
	case verbSleep:
		seconds, _ := strconv.ParseFloat(s.operands[0].value(params), 64)
		r := oneRow("pg_sleep", "")
		r.sleep = time.Duration(seconds * float64(time.Second))
		return r
	case verbShow:
		name := s.operands[0].value(params)
		return oneRow(name, e.settings[name])
	}
	v, ok := e.lookup(s.operands[0].value(params))
	if !ok {
		return result{columns: []string{"value"}, tag: "SELECT 0"}
	}
	return oneRow("value", v)
}

func oneRow(column, value string) result {
	return result{columns: []string{column}, rows: [][]string{{value}}, tag: "SELECT 1"}
}

// lookup returns the value of key as the open transaction sees it, including its own changes.
func (e *engine) lookup(key string) (string, bool) {
	for i := len(e.pending) - 1; i >= 0; i-- {
		if e.pending[i].key == key {
			return e.pending[i].value, !e.pending[i].deleted
		}
	}
	return e.member.value(key)
}

func (e *engine) write(s statement, params [][]byte) result {
	e.member.group.mu.Lock()
	writable := e.member.writableLocked()
	e.member.group.mu.Unlock()
	if !writable {
		return result{err: &sqlError{code: codeReadOnly, message: "cannot execute a write on a replica or a fenced primary"}}
	}
	c, tag, err := e.changeFor(s, params)
	if err != nil {
		return result{err: err}
	}
	if c != nil {
		e.pending = append(e.pending, *c)
	}
	if e.inTx {
		return result{tag: tag}
	}
	if err := e.commitPending(); err != nil {
		return result{err: err}
	}
	return result{tag: tag}
}

// changeFor returns the change that s makes, or nil when no row matches, and the command tag.
func (e *engine) changeFor(s statement, params [][]byte) (*change, string, *sqlError) {
	first := s.operands[0].value(params)
	second := ""
	if len(s.operands) > 1 {
		second = s.operands[1].value(params)
	}
	switch s.verb {
	case verbInsert:
		if _, ok := e.lookup(first); ok {
			return nil, "", &sqlError{code: codeDuplicate, message: "duplicate key " + first}
		}
		return &change{key: first, value: second}, "INSERT 0 1", nil
	case verbUpsert:
		return &change{key: first, value: second}, "INSERT 0 1", nil
	case verbDelete:
		if _, ok := e.lookup(first); !ok {
			return nil, "DELETE 0", nil
		}
		return &change{key: first, deleted: true}, "DELETE 1", nil
	}
	old, ok := e.lookup(second)
	if !ok {
		return nil, "UPDATE 0", nil
	}
	if s.verb == verbAppend {
		first = old + first
	}
	return &change{key: second, value: first}, "UPDATE 1", nil
}

func (e *engine) endTransaction(v verb) result {
	failed := e.failed
	e.inTx = false
	e.failed = false
	if v == verbRollback || failed {
		e.pending = nil
		return result{tag: "ROLLBACK"}
	}
	if err := e.commitPending(); err != nil {
		return result{err: err}
	}
	return result{tag: "COMMIT"}
}

func (e *engine) commitPending() *sqlError {
	changes := e.pending
	e.pending = nil
	if len(changes) == 0 {
		return nil
	}
	if !e.member.commit(changes) {
		return &sqlError{code: codeReadOnly, message: "the member is no longer primary; nothing was committed"}
	}
	return nil
}

func (e *engine) status() result {
	s := e.member.Status()
	row := []string{
		s.Endpoint(),
		s.Role().String(),
		strconv.FormatUint(uint64(s.Point().Term()), 10),
		strconv.FormatUint(uint64(s.Point().Position()), 10),
		strconv.FormatUint(uint64(s.Promised()), 10),
		s.Attempt(),
		s.History().String(),
	}
	return result{columns: statusColumns, rows: [][]string{row}, tag: "SELECT 1"}
}

// terminate closes a client's connection if it is still open.
func (e *engine) terminate(s statement, params [][]byte) result {
	pid, err := strconv.ParseUint(s.operands[0].value(params), 10, 32)
	if err != nil {
		return result{err: &sqlError{code: codeSyntax, message: err.Error()}}
	}
	if !e.member.server.terminate(uint32(pid), s.operands[1].value(params)) {
		return result{columns: []string{"pg_terminate_backend"}, tag: "SELECT 0"}
	}
	return oneRow("pg_terminate_backend", "t")
}

// changeRole runs a fence or a promotion and returns the resulting status.
func (e *engine) changeRole(s statement, params [][]byte) result {
	term, err := strconv.ParseUint(s.operands[0].value(params), 10, 64)
	if err != nil {
		return result{err: &sqlError{code: codeSyntax, message: fmt.Sprintf("term: %v", err)}}
	}
	attempt := s.operands[1].value(params)
	if s.verb == verbFence {
		e.member.Fence(group.Term(term), attempt)
	} else {
		e.member.Promote(group.Term(term), attempt)
	}
	return e.status()
}
