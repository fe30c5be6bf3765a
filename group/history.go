package group

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxHistory is the number of term starts that a History retains.
const MaxHistory = 32

// TermStart records the position at which a term began.
type TermStart struct {
	term  Term
	start Position
}

// NewTermStart returns the record that term began at start.
func NewTermStart(term Term, start Position) TermStart {
	return TermStart{term: term, start: start}
}

// Term returns the term that began.
func (s TermStart) Term() Term { return s.term }

// Start returns the position at which the term began.
func (s TermStart) Start() Position { return s.start }

// History lists term starts in ascending order of term, at most MaxHistory of them.
//
// Nothing is known of terms before the oldest retained entry.
type History struct {
	starts []TermStart
}

// NewHistory returns a history of the last MaxHistory of starts, which must ascend by term.
func NewHistory(starts ...TermStart) History {
	if len(starts) > MaxHistory {
		starts = starts[len(starts)-MaxHistory:]
	}
	return History{starts: append([]TermStart(nil), starts...)}
}

// Current returns the newest term in the history, or 0 when it is empty.
func (h History) Current() Term {
	if len(h.starts) == 0 {
		return 0
	}
	return h.starts[len(h.starts)-1].term
}

// Starts returns a copy of the retained term starts.
func (h History) Starts() []TermStart { return append([]TermStart(nil), h.starts...) }

// With returns the history extended by a newer term, or h itself if s is not newer.
func (h History) With(s TermStart) History {
	if s.term <= h.Current() {
		return h
	}
	return NewHistory(append(h.Starts(), s)...)
}

// Resolution states whether a log point of an earlier term is part of the current term's log.
type Resolution uint8

// The results of History.Resolve.
const (
	// ResolutionSurvived means that the current term's log holds the point.
	ResolutionSurvived Resolution = iota
	// ResolutionLost means that the point lies past the end of its term, so that the current term's log lacks it.
	ResolutionLost
	// ResolutionAhead means that the point's term is newer than the history.
	ResolutionAhead
	// ResolutionExpired means that the point's term is older than the history retains.
	ResolutionExpired
)

// Resolve translates point p into the newest term of the history.
//
// The result is meaningful only for ResolutionSurvived: the same position in the
// current term, whose log shares its prefix with every earlier term up to that
// term's end.
func (h History) Resolve(p Point) (Point, Resolution) {
	current := h.Current()
	switch {
	case p.IsZero():
		return NewPoint(current, 0), ResolutionSurvived
	case p.term == current:
		return p, ResolutionSurvived
	case p.term > current:
		return Point{}, ResolutionAhead
	}
	return h.resolveOlder(p)
}

func (h History) resolveOlder(p Point) (Point, Resolution) {
	if h.starts[0].term > p.term {
		return Point{}, ResolutionExpired
	}
	for _, s := range h.starts {
		if s.term <= p.term {
			continue
		}
		if p.position > s.start {
			return Point{}, ResolutionLost
		}
		return NewPoint(h.Current(), p.position), ResolutionSurvived
	}
	return Point{}, ResolutionExpired
}

// String returns the history as comma-separated "term:start" pairs.
func (h History) String() string {
	parts := make([]string, 0, len(h.starts))
	for _, s := range h.starts {
		parts = append(parts, fmt.Sprintf("%d:%d", s.term, s.start))
	}
	return strings.Join(parts, ",")
}

// ParseHistory returns the history that text lists in the format of History.String; it fails if a pair is malformed or the
// terms do not ascend.
func ParseHistory(text string) (History, error) {
	if text == "" {
		return History{}, nil
	}
	var starts []TermStart
	var last Term
	for _, part := range strings.Split(text, ",") {
		s, err := parseTermStart(part)
		if err != nil {
			return History{}, err
		}
		if s.term <= last {
			return History{}, fmt.Errorf("term history %q does not ascend; the endpoint must report terms in order", text)
		}
		last = s.term
		starts = append(starts, s)
	}
	return NewHistory(starts...), nil
}

func parseTermStart(text string) (TermStart, error) {
	termText, startText, ok := strings.Cut(text, ":")
	if !ok {
		return TermStart{}, fmt.Errorf("term start %q has no colon; the endpoint must report term:start", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return TermStart{}, fmt.Errorf("term start %q: term is not a number: %w", text, err)
	}
	start, err := strconv.ParseUint(startText, 10, 64)
	if err != nil {
		return TermStart{}, fmt.Errorf("term start %q: start is not a number: %w", text, err)
	}
	return NewTermStart(Term(term), Position(start)), nil
}
