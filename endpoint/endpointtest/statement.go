package endpointtest

import (
	"strconv"
	"strings"
)

// verb identifies an operation that the engine runs; several forms of statements may share one.
type verb uint8

const (
	verbUnknown verb = iota
	verbEmpty
	verbSelect
	verbCount
	verbLiteral
	verbSleep
	verbInsert
	verbUpsert
	verbUpdate
	verbAppend
	verbDelete
	verbBegin
	verbCommit
	verbRollback
	verbSet
	verbShow
	verbDiscard
	verbListen
	verbStatus
	verbFence
	verbPromote
	verbTerminate
)

// statement is one parsed statement with its operands.
type statement struct {
	verb     verb
	operands []operand
}

// operand is the literal text, or the parameter with the 1-based number index when index is positive.
type operand struct {
	text  string
	index int
}

func (o operand) value(params [][]byte) string {
	if o.index == 0 {
		return o.text
	}
	if o.index > len(params) {
		return ""
	}
	return string(params[o.index-1])
}

// maxParam returns the highest parameter number that s uses.
func (s statement) maxParam() int {
	highest := 0
	for _, o := range s.operands {
		highest = max(highest, o.index)
	}
	return highest
}

// writes reports whether s changes rows.
func (s statement) writes() bool {
	switch s.verb {
	case verbInsert, verbUpsert, verbUpdate, verbAppend, verbDelete:
		return true
	}
	return false
}

// returnsRows reports whether the answer to s has a row description.
func (s statement) returnsRows() bool {
	switch s.verb {
	case verbSelect, verbCount, verbLiteral, verbSleep, verbShow, verbStatus, verbFence, verbPromote, verbTerminate:
		return true
	}
	return false
}

// shapes lists the supported statements; ? matches one operand.
var shapes = []struct {
	verb    verb
	pattern string
}{
	{verbSelect, "select value from kv where key = ?"},
	{verbCount, "select count ( * ) from kv"},
	{verbSleep, "select pg_sleep ( ? )"},
	{verbStatus, "select endpoint_status ( )"},
	{verbFence, "select endpoint_fence ( ? , ? )"},
	{verbPromote, "select endpoint_promote ( ? , ? )"},
	{verbTerminate, "select pg_terminate_backend ( pid ) from pg_stat_activity where pid = ? and application_name = ?"},
	{verbLiteral, "select ?"},
	{verbInsert, "insert into kv values ( ? , ? )"},
	{verbInsert, "insert into kv ( key , value ) values ( ? , ? )"},
	{verbUpsert, "insert into kv values ( ? , ? ) on conflict ( key ) do update set value = excluded.value"},
	{verbUpdate, "update kv set value = ? where key = ?"},
	{verbAppend, "update kv set value = value || ? where key = ?"},
	{verbDelete, "delete from kv where key = ?"},
	{verbBegin, "begin"},
	{verbBegin, "begin read only"},
	{verbBegin, "begin read write"},
	{verbBegin, "begin isolation level ? read write"},
	{verbBegin, "start transaction"},
	{verbCommit, "commit"},
	{verbCommit, "end"},
	{verbRollback, "rollback"},
	{verbDiscard, "discard all"},
	{verbListen, "listen ?"},
	{verbShow, "show ?"},
	{verbSet, "set ? = ?"},
	{verbSet, "set ? to ?"},
}

type pattern struct {
	verb  verb
	words []string
}

var patterns = compileShapes()

func compileShapes() map[string][]pattern {
	byFirstWord := map[string][]pattern{}
	for _, s := range shapes {
		words := strings.Fields(s.pattern)
		byFirstWord[words[0]] = append(byFirstWord[words[0]], pattern{verb: s.verb, words: words})
	}
	return byFirstWord
}

// parseStatement returns the statement in sql, with verbUnknown when no shape matches.
func parseStatement(sql string) statement {
	tokens := tokenize(sql)
	if len(tokens) == 0 {
		return statement{verb: verbEmpty}
	}
	for _, p := range patterns[tokens[0].word] {
		if operands, ok := p.match(tokens); ok {
			return statement{verb: p.verb, operands: operands}
		}
	}
	return statement{verb: verbUnknown}
}

func (p pattern) match(tokens []token) ([]operand, bool) {
	if len(tokens) != len(p.words) {
		return nil, false
	}
	var operands []operand
	for i, w := range p.words {
		if w == "?" {
			operands = append(operands, tokens[i].operand())
			continue
		}
		if tokens[i].quoted || tokens[i].word != w {
			return nil, false
		}
	}
	return operands, true
}

// token is a word, a punctuation mark or a quoted string.
type token struct {
	word   string
	quoted bool
}

func (t token) operand() operand {
	if !t.quoted && strings.HasPrefix(t.word, "$") {
		if n, err := strconv.Atoi(t.word[1:]); err == nil {
			return operand{index: n}
		}
	}
	return operand{text: t.word}
}

// tokenize splits sql into tokens, dropping comments and a closing semicolon.
func tokenize(sql string) []token {
	var tokens []token
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == ';':
			i++
		case strings.HasPrefix(sql[i:], "/*"):
			i = skipPast(sql, i+2, "*/")
		case strings.HasPrefix(sql[i:], "--"):
			i = skipPast(sql, i+2, "\n")
		case c == '\'':
			var text string
			text, i = scanQuoted(sql, i+1)
			tokens = append(tokens, token{word: text, quoted: true})
		case strings.HasPrefix(sql[i:], "||"):
			tokens = append(tokens, token{word: "||"})
			i += 2
		case strings.IndexByte("(),=*", c) >= 0:
			tokens = append(tokens, token{word: sql[i : i+1]})
			i++
		default:
			end := wordEnd(sql, i)
			tokens = append(tokens, token{word: strings.ToLower(sql[i:end])})
			i = end
		}
	}
	return tokens
}

func skipPast(sql string, from int, terminator string) int {
	at := strings.Index(sql[from:], terminator)
	if at < 0 {
		return len(sql)
	}
	return from + at + len(terminator)
}

func scanQuoted(sql string, from int) (string, int) {
	var b strings.Builder
	for i := from; i < len(sql); i++ {
		if sql[i] != '\'' {
			b.WriteByte(sql[i])
			continue
		}
		if i+1 < len(sql) && sql[i+1] == '\'' {
			b.WriteByte('\'')
			i++
			continue
		}
		return b.String(), i + 1
	}
	return b.String(), len(sql)
}

func wordEnd(sql string, from int) int {
	for i := from + 1; i < len(sql); i++ {
		if strings.IndexByte(" \t\r\n;(),=*'|", sql[i]) >= 0 {
			return i
		}
	}
	return len(sql)
}
