package event

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"
)

// Line is one line of an instance's log, as far as a trace reads it.
type Line struct {
	At       time.Time `json:"ts"`
	Instance string    `json:"instance"`
	Message  string    `json:"msg"`
	ID       string    `json:"id"`
	Group    string    `json:"group"`
	Subject  string    `json:"subject"`
	Endpoint string    `json:"endpoint"`
	// Text is the whole line.
	Text string `json:"-"`
}

// traceWindow is how long before and after a request decisions are shown: longer than the loss of a primary lasts.
const traceWindow = 5 * time.Second

// maxLogLine is the longest line that is read; longer ones end the reading of their file.
const maxLogLine = 1 << 20

// Trace collects log lines of several instances to find what decided a request.
type Trace struct {
	lines  []Line
	groups map[string]string
}

// NewTrace returns a trace without lines.
func NewTrace() *Trace { return &Trace{groups: map[string]string{}} }

// Read takes the lines of one log; what is not a JSON line of an instance is left out. It fails with the reader's error.
//
// Text ahead of a line's opening brace is allowed, as log collectors write it.
func (t *Trace) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := Line{Text: text[start:]}
		if json.Unmarshal([]byte(line.Text), &line) != nil || line.Message == "" {
			continue
		}
		if line.Group == "" {
			line.Group = strings.TrimPrefix(line.Subject, "group/")
		}
		if line.Endpoint != "" && line.Group != "" {
			t.groups[line.Endpoint] = line.Group
		}
		t.lines = append(t.lines, line)
	}
	return s.Err()
}

// Explain returns the lines of a request, and around them the decisions of all instances about its group and about themselves, in the order of time.
//
// It returns nothing when no line names the request.
func (t *Trace) Explain(id string) []Line {
	var own []Line
	for _, l := range t.lines {
		if l.ID == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	out := append([]Line(nil), own...)
	for _, l := range t.lines {
		if l.ID == "" && t.bears(own, l) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At.Before(out[b].At) })
	return out
}

// bears reports whether a decision may have decided one of the request's lines.
func (t *Trace) bears(own []Line, l Line) bool {
	for _, o := range own {
		if d := l.At.Sub(o.At); d > traceWindow || d < -traceWindow {
			continue
		}
		group := o.Group
		if group == "" {
			group = t.groups[o.Endpoint]
		}
		if group != "" && l.Group == group || l.Group == "" && l.Instance == o.Instance {
			return true
		}
	}
	return false
}
