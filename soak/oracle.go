package soak

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// maxStaleness is how old the data of a read may be where the contract bounds it.
const maxStaleness = 2500 * time.Millisecond

// Expectation is what must hold when a statement runs.
type Expectation struct {
	// Text is the statement as the caller sends it.
	Text string
	// Transaction is the id of the transaction's first statement that reached an endpoint, or "".
	Transaction string
	Values      map[string]string
	// Shape is that of the prepared statement, or "".
	Shape string
	// Sees are the data of writes that the log must hold at a read.
	Sees []string
}

// write is what became of one write that a caller asked for.
type write struct {
	committed bool
	// led says that the member that committed it led the newest term.
	led    bool
	denied bool
	acked  time.Time
}

// Ledger compares what endpoints ran with what callers asked for and were told; it is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	expected map[string]Expectation
	// signed are the answers that members gave, by id of the statement.
	signed map[string]map[string]bool
	writes map[string]*write
	// acked are the data of acknowledged writes in the order of their acknowledgement.
	acked      []string
	violations []string
	runs       int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{expected: map[string]Expectation{}, signed: map[string]map[string]bool{}, writes: map[string]*write{}}
}

// maxViolations bounds what is kept: the first ones tell the cause.
const maxViolations = 50

func (l *Ledger) violate(rule, format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// Violations returns what broke, in order.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Counts returns how many statements ran, and how many writes were acknowledged.
func (l *Ledger) Counts() (runs, acked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs, len(l.acked)
}

// Expect notes a statement that a caller is about to send.
func (l *Ledger) Expect(id string, e Expectation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Values = maps.Clone(e.Values)
	l.expected[id] = e
}

// Ran takes a statement that a member ran or refused; the member's group is locked.
func (l *Ledger) Ran(r platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, data := range r.Committed {
		l.commit(r, data)
	}
	if !r.Signed() {
		return
	}
	l.runs++
	e, known := l.expected[r.ID]
	if !known {
		l.violate("unasked", "%s ran %s %q, which no caller sent", r.Member, r.ID, r.Text)
		return
	}
	if l.signed[r.ID] == nil {
		l.signed[r.ID] = map[string]bool{}
	}
	l.signed[r.ID][strings.Join(r.Answer, "\n")] = true
	l.compare(r, e)
}

// compare checks a run against what its caller expects.
func (l *Ledger) compare(r platformtest.Run, e Expectation) {
	if got := platformtest.Plain(r.Text); got != platformtest.Plain(e.Text) {
		l.violate("unasked", "%s ran %s as %q, asked was %q", r.Member, r.ID, got, e.Text)
	}
	if e.Shape != r.Shape {
		l.violate("pinned", "%s ran %s with shape %q, prepared was %q", r.Member, r.ID, r.Shape, e.Shape)
	}
	if !maps.Equal(r.Values, e.Values) {
		l.violate("pinned", "%s ran %s under %v, the session has %v", r.Member, r.ID, r.Values, e.Values)
	}
	if e.Transaction != "" && r.Owner != e.Transaction && r.Owner != r.ID {
		l.violate("pinned", "%s ran %s in the transaction of %s, its own began with %s", r.Member, r.ID, r.Owner, e.Transaction)
	}
	for _, data := range e.Sees {
		if !r.Holds(data) && !r.Lost(data) {
			l.violate("stale", "%s ran %s without the write of %s", r.Member, r.ID, data)
		}
	}
}

func (l *Ledger) commit(r platformtest.Run, data string) {
	w := l.write(data)
	if w.committed {
		l.violate("twice", "%s committed %s again", r.Member, data)
	}
	if w.denied {
		l.violate("refused", "%s committed %s, which its caller was told had not run", r.Member, data)
	}
	w.committed, w.led = true, r.Leads
}

func (l *Ledger) write(data string) *write {
	w := l.writes[data]
	if w == nil {
		w = &write{}
		l.writes[data] = w
	}
	return w
}

// Answered takes a success that a caller got for a read, a write or a commit.
func (l *Ledger) Answered(id string, answer []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.signed[id][strings.Join(answer, "\n")] {
		l.violate("mixed", "%s was answered %q, which no member gave", id, answer)
	}
}

// Acked takes writes whose commit was acknowledged to their caller.
func (l *Ledger) Acked(data ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range data {
		w := l.write(one)
		w.acked = time.Now()
		l.acked = append(l.acked, one)
		if w.committed && !w.led {
			l.violate("one", "%s was committed at a replaced primary and acknowledged", one)
		}
	}
}

// Denied takes writes whose caller was told that nothing of them is kept.
func (l *Ledger) Denied(data ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range data {
		w := l.write(one)
		w.denied = true
		if w.committed {
			l.violate("refused", "%s was committed, and its caller was told that nothing is kept", one)
		}
	}
}

// NewestAcked returns the newest write that was acknowledged before at, or "".
func (l *Ledger) NewestAcked(at time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.acked) - 1; i >= 0; i-- {
		if l.writes[l.acked[i]].acked.Before(at) {
			return l.acked[i]
		}
	}
	return ""
}

// Lost checks that every acknowledged write is in the log, unless a promotion rolled it back as replicas lagged.
func (l *Ledger) Lost(log []platformtest.Write, rolledBack func(data string) bool) {
	held := map[string]bool{}
	for _, w := range log {
		held[w.Data] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, data := range l.acked {
		if !held[data] && !rolledBack(data) {
			l.violate("lost", "%s was acknowledged and is gone", data)
		}
	}
}
