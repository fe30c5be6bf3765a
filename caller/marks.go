package caller

import (
	"net/url"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/route"
)

// parameterPrefix starts the names of startup parameters meant for the proxy.
const parameterPrefix = "monsoontiller."

// Names of the marks, as startup parameters and in comments.
const (
	markClass        = "class"
	markMaxStaleness = "max_staleness"
	markIdempotent   = "idempotent"
	markToken        = "token"
)

// Marks classify a request.
type Marks struct {
	class        route.Class
	maxStaleness time.Duration
	idempotent   bool
}

// Class returns whether the request is a read.
func (m Marks) Class() route.Class { return m.class }

// MaxStaleness returns the age limit of the data, or 0 for none.
func (m Marks) MaxStaleness() time.Duration { return m.maxStaleness }

// Idempotent reports whether the request may be sent more than once.
func (m Marks) Idempotent() bool { return m.idempotent || m.class == route.ClassRead }

// DefaultMarks returns the marks of a request that carries none.
func DefaultMarks(reads contract.Reads) Marks {
	m := Marks{maxStaleness: reads.MaxStaleness()}
	if reads.DefaultRead() {
		m.class = route.ClassRead
	}
	return m
}

// With returns the marks with one of them changed; it fails with KindInvalid on a bad value and ignores other names.
func (m Marks) With(name, value string) (Marks, error) {
	switch name {
	case markClass:
		return m.withClass(value)
	case markMaxStaleness:
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return m, badMark(name, value, `write it like "10s"`)
		}
		m.maxStaleness = d
		m.class = route.ClassRead
	case markIdempotent:
		if value != "true" && value != "false" {
			return m, badMark(name, value, `use "true" or "false"`)
		}
		m.idempotent = value == "true"
	}
	return m, nil
}

func (m Marks) withClass(value string) (Marks, error) {
	switch value {
	case "read":
		m.class = route.ClassRead
	case "write":
		m.class = route.ClassWrite
	default:
		return m, badMark(markClass, value, `use "read" or "write"`)
	}
	return m, nil
}

func badMark(name, value, remedy string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "mark " + name + " has the value " + value + "; the request did not run",
		Remedy:  remedy,
	})
}

// WithComments returns the marks as changed by comments in sqlcommenter form at the start or end of sql.
func (m Marks) WithComments(sql string) (Marks, error) {
	text := strings.TrimSpace(sql)
	marked := m
	for _, body := range edgeComments(text) {
		for _, pair := range strings.Split(body, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if !ok {
				continue
			}
			changed, err := marked.With(unescape(name), unescape(strings.Trim(value, "'")))
			if err != nil {
				return m, err
			}
			marked = changed
		}
	}
	return marked, nil
}

// edgeComments returns the bodies of a comment that starts text and of one that ends it.
func edgeComments(text string) []string {
	var out []string
	if rest, ok := strings.CutPrefix(text, "/*"); ok {
		if body, after, ok := strings.Cut(rest, "*/"); ok {
			out = append(out, body)
			text = after
		}
	}
	text = strings.TrimRight(text, "; \t\r\n")
	if !strings.HasSuffix(text, "*/") {
		return out
	}
	if at := strings.LastIndex(text[:len(text)-2], "/*"); at >= 0 {
		out = append(out, text[at+2:len(text)-2])
	}
	return out
}

func unescape(text string) string {
	if plain, err := url.QueryUnescape(text); err == nil {
		return plain
	}
	return text
}
