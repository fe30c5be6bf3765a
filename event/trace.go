package event

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"
)

// Line is one line of an instance's log with the fields that a Trace uses.
type Line struct {
	At       time.Time `json:"ts"`
	Instance string    `json:"instance"`
	Message  string    `json:"msg"`
	ID       string    `json:"id"`
	Group    string    `json:"group"`
	Subject  string    `json:"subject"`
	Endpoint string    `json:"endpoint"`
	// Account is the client account of a request or decision, if any.
	Account string `json:"account"`
	// Text is the line from its opening brace to its end.
	Text string `json:"-"`
}

// traceWindow is the time before and after a request in which decisions are considered. It exceeds the length of a
// failover.
const traceWindow = 5 * time.Second

// maxLineBytes bounds a line: Read fails on a line of that length or more.
const maxLineBytes = 1 << 20

// Trace collects log lines of several instances to find the decisions that affected a request.
type Trace struct {
	lines []Line
	// groupByEndpoint holds the group of each endpoint, from the lines that name both.
	groupByEndpoint map[string]string
}

// NewTrace returns a trace without lines.
func NewTrace() *Trace { return &Trace{groupByEndpoint: map[string]string{}} }

// Read adds the lines of one log and skips lines that are not JSON log lines of an instance.
//
// Text before the opening brace of a line is ignored, because log collectors
// prepend their own fields. Read returns the reader's error, or bufio.ErrTooLong at
// the first line of 1 MiB or more; the lines before it are kept.
func (t *Trace) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		braceAt := strings.IndexByte(text, '{')
		if braceAt < 0 {
			continue
		}
		line := Line{Text: text[braceAt:]}
		if json.Unmarshal([]byte(line.Text), &line) != nil || line.Message == "" {
			continue
		}
		if line.Group == "" {
			line.Group = strings.TrimPrefix(line.Subject, "group/")
		}
		if line.Endpoint != "" && line.Group != "" {
			t.groupByEndpoint[line.Endpoint] = line.Group
		}
		t.lines = append(t.lines, line)
	}
	return s.Err()
}

// Explain returns the lines of a request and the decisions that may have affected it, ordered by time.
//
// These are, within traceWindow, the decisions of any instance about the request's
// group and the decisions without a group or subject of the instances that handled it,
// except those about another client account.
// Explain returns nil if no line has the request's id.
func (t *Trace) Explain(id string) []Line {
	var requestLines []Line
	for _, l := range t.lines {
		if l.ID == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	out := append([]Line(nil), requestLines...)
	for _, l := range t.lines {
		if l.ID == "" && t.relatesToAny(requestLines, l) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At.Before(out[b].At) })
	return out
}

// relatesToAny reports whether the decision l may have affected the request with the given lines.
func (t *Trace) relatesToAny(requestLines []Line, l Line) bool {
	for _, requestLine := range requestLines {
		if d := l.At.Sub(requestLine.At); d > traceWindow || d < -traceWindow {
			continue
		}
		if l.Account != "" && l.Account != requestLine.Account {
			continue
		}
		group := requestLine.Group
		if group == "" {
			group = t.groupByEndpoint[requestLine.Endpoint]
		}
		if group != "" && l.Group == group || l.Group == "" && l.Instance == requestLine.Instance {
			return true
		}
	}
	return false
}
