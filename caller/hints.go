package caller

import (
	"net/url"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/route"
)

// parameterPrefix starts the names of startup parameters that the proxy evaluates itself.
const parameterPrefix = "monsoontiller."

// Names of the hints and of the session token. Startup parameters carry them with parameterPrefix; comments carry hints only.
const (
	hintClass        = "class"
	hintMaxStaleness = "max_staleness"
	hintIdempotent   = "idempotent"
	hintToken        = "token"
)

// Hints classify a request.
type Hints struct {
	class        route.Class
	maxStaleness time.Duration
	idempotent   bool
}

// Class returns whether the request is a read or a write.
func (h Hints) Class() route.Class { return h.class }

// MaxStaleness returns the maximum age of the data that a read may return, or 0 for no limit.
func (h Hints) MaxStaleness() time.Duration { return h.maxStaleness }

// Idempotent reports whether the request may be sent more than once.
func (h Hints) Idempotent() bool { return h.idempotent || h.class == route.ClassRead }

// DefaultHints returns the contract's defaults, for a request without hints.
func DefaultHints(reads contract.Reads) Hints {
	h := Hints{maxStaleness: reads.MaxStaleness()}
	if reads.DefaultRead() {
		h.class = route.ClassRead
	}
	return h
}

// With returns the hints with the named hint changed; it fails with KindInvalid on an invalid value and ignores other names.
func (h Hints) With(name, value string) (Hints, error) {
	switch name {
	case hintClass:
		return h.withClass(value)
	case hintMaxStaleness:
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return h, errInvalidHint(name, value, `write it like "10s"`)
		}
		h.maxStaleness = d
		h.class = route.ClassRead
	case hintIdempotent:
		if value != "true" && value != "false" {
			return h, errInvalidHint(name, value, `use "true" or "false"`)
		}
		h.idempotent = value == "true"
	}
	return h, nil
}

func (h Hints) withClass(value string) (Hints, error) {
	switch value {
	case "read":
		h.class = route.ClassRead
	case "write":
		h.class = route.ClassWrite
	default:
		return h, errInvalidHint(hintClass, value, `use "read" or "write"`)
	}
	return h, nil
}

func errInvalidHint(name, value, remedy string) error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "hint " + name + " has the invalid value " + value + "; the request did not run",
		Remedy:  remedy,
	})
}

// WithComments returns the hints as changed by comments in sqlcommenter form at the start or end of sql.
func (h Hints) WithComments(sql string) (Hints, error) {
	trimmed := strings.TrimSpace(sql)
	hints := h
	for _, body := range edgeComments(trimmed) {
		for _, pair := range strings.Split(body, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if !ok {
				continue
			}
			changed, err := hints.With(unescape(name), unescape(strings.Trim(value, "'")))
			if err != nil {
				return h, err
			}
			hints = changed
		}
	}
	return hints, nil
}

// edgeComments returns the contents of the comments that start and end text.
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

// unescape undoes the URL encoding of sqlcommenter; text that is not validly encoded stays as it is.
func unescape(text string) string {
	if plain, err := url.QueryUnescape(text); err == nil {
		return plain
	}
	return text
}
