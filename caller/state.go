package caller

import (
	"crypto/sha256"
	"strings"

	"github.com/monsoontiller/monsoontiller/fault"
)

// effect is the effect of a statement on the state of its connection.
type effect uint8

const (
	// effectNone leaves the state unchanged.
	effectNone effect = iota
	// effectReplay changes settings in a way that can be repeated on another connection.
	effectReplay
	// effectReset clears the settings and the prepared statements.
	effectReset
	// effectPin creates state that exists on this connection only, so that the session must keep it.
	effectPin
)

// pinSubstrings occur in statements that create state which cannot be replayed.
var pinSubstrings = []string{"advisory_lock", "set_config", " temp ", " temporary ", "with hold"}

// effectOf classifies sql by its leading keyword and by substrings that indicate state.
//
// The substrings may also occur in literals, so it errs towards effectPin: a session
// pinned without need occupies a connection, while a session that is wrongly not pinned
// would expose its state to another caller.
func effectOf(sql string) effect {
	body := stripLeadingComments(sql)
	keyword := leadingKeyword(body)
	switch keyword {
	case "select", "insert", "update", "delete", "create", "with", "call", "do", "declare":
		return effectOfBody(body)
	case "set":
		if strings.ContainsRune(strings.TrimRight(body, "; \t\r\n"), ';') {
			return effectPin
		}
		return effectOfSet(body)
	case "reset":
		return effectReplay
	case "discard":
		return effectOfDiscard(body)
	case "listen", "unlisten", "prepare", "deallocate", "load":
		return effectPin
	}
	return effectOfBody(body)
}

func effectOfSet(body string) effect {
	lower := strings.ToLower(body)
	if strings.HasPrefix(lower, "set local") || strings.HasPrefix(lower, "set transaction") {
		return effectNone
	}
	return effectReplay
}

func effectOfDiscard(body string) effect {
	if strings.EqualFold(strings.Join(strings.Fields(strings.TrimRight(body, "; \t\r\n")), " "), "discard all") {
		return effectReset
	}
	return effectNone
}

func effectOfBody(body string) effect {
	lower := strings.ToLower(body)
	for _, substring := range pinSubstrings {
		if strings.Contains(lower, substring) {
			return effectPin
		}
	}
	if at := strings.IndexByte(lower, ';'); at >= 0 && strings.TrimSpace(lower[at+1:]) != "" {
		return effectOfRest(lower[at+1:])
	}
	return effectNone
}

// effectOfRest classifies the statements after the first of a multi-statement text.
func effectOfRest(rest string) effect {
	if effectOf(rest) == effectNone {
		return effectNone
	}
	return effectPin
}

// isCopy reports whether any statement of sql starts with COPY.
func isCopy(sql string) bool {
	if len(sql) < len("copy") {
		return false
	}
	for _, part := range strings.Split(sql, ";") {
		if leadingKeyword(stripLeadingComments(part)) == "copy" {
			return true
		}
	}
	return false
}

func errCopy() error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnsupported,
		Message: "COPY is not supported; the request did not run",
		Remedy:  "use INSERT with several rows, or copy over a direct connection to the endpoint",
	})
}

func stripLeadingComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;(")
		switch {
		case strings.HasPrefix(sql, "/*"):
			_, after, ok := strings.Cut(sql, "*/")
			if !ok {
				return ""
			}
			sql = after
		case strings.HasPrefix(sql, "--"):
			_, after, ok := strings.Cut(sql, "\n")
			if !ok {
				return ""
			}
			sql = after
		default:
			return sql
		}
	}
}

// maxLeadingKeyword exceeds the length of every keyword with which leadingKeyword's result is compared.
const maxLeadingKeyword = 16

// leadingKeyword returns the first word of sql in lower case, cut to maxLeadingKeyword letters.
func leadingKeyword(sql string) string {
	end := 0
	for end < len(sql) && end < maxLeadingKeyword && isLetter(sql[end]) {
		end++
	}
	return strings.ToLower(sql[:end])
}

func isLetter(c byte) bool { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') }

// settings is the list of SET statements that restore a session's state on another connection.
type settings struct {
	statements []string
	// key identifies the statements, or is "" without any.
	key string
}

// maxSettings is the maximum number of statements that are replayed for one session.
const maxSettings = 64

// add appends a statement and reports true, unless there are maxSettings already.
func (s *settings) add(sql string) bool {
	if len(s.statements) >= maxSettings {
		return false
	}
	s.statements = append(s.statements, sql)
	digest := sha256.Sum256([]byte(s.key + sql))
	s.key = string(digest[:])
	return true
}

func (s *settings) clear() {
	s.statements = nil
	s.key = ""
}
