package engine

// LinkState holds the session values and prepared statements that are known to be in force on a link.
//
// It changes only with the endpoint's answers, so that a link never counts as having what the endpoint may have refused.
type LinkState struct {
	values   map[string]string
	prepared map[string]bool
}

// NewLinkState returns the state of a link that was just opened.
func NewLinkState() *LinkState {
	return &LinkState{values: map[string]string{}, prepared: map[string]bool{}}
}

// maxPrepared bounds the prepared statements of a link; at this number the link is reset before its next statement
// outside a transaction.
const maxPrepared = 256

// appendRestore appends the commands that give a link a session's values.
//
// A link with values that the session does not have is reset first, unless it is in
// a transaction, during which a session can only add values.
func (s *LinkState) appendRestore(commands []Command, values map[string]string, inTx bool) []Command {
	reset := !inTx && (s.hasExtraValue(values) || len(s.prepared) >= maxPrepared)
	if reset {
		commands = append(commands, Command{Statement: Statement{ID: ProxyStatementID, Op: OpReset}})
	}
	for name, value := range values {
		if held, ok := s.values[name]; ok && held == value && !reset {
			continue
		}
		commands = append(commands, Command{Statement: Statement{ID: ProxyStatementID, Op: OpSet, Name: name, Argument: value}})
	}
	return commands
}

// appendPrepare appends the command that prepares a statement on the link, unless the statement is nil or already prepared.
func (s *LinkState) appendPrepare(commands []Command, needed *preparedStatement) []Command {
	if needed == nil || s.prepared[needed.alias] {
		return commands
	}
	return append(commands, Command{
		Statement: Statement{ID: ProxyStatementID, Op: OpPrepare, Argument: needed.shape, Writes: needed.writes},
		Alias:     needed.alias,
	})
}

// record applies a command that the endpoint has confirmed.
func (s *LinkState) record(c Command) {
	switch c.Statement.Op {
	case OpReset:
		clear(s.values)
		clear(s.prepared)
	case OpSet:
		s.values[c.Statement.Name] = c.Statement.Argument
	case OpPrepare:
		s.prepared[c.Alias] = true
	}
}

// hasExtraValue reports whether the link has a value whose name the session has not set.
func (s *LinkState) hasExtraValue(values map[string]string) bool {
	for name := range s.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return false
}

// clearPrepared marks all prepared statements of the link as missing, so that they are prepared again.
func (s *LinkState) clearPrepared() { clear(s.prepared) }
