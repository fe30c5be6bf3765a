package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// maxStaleness is the staleness bound of the contracts.
const maxStaleness = 2500 * time.Millisecond

// Expectation describes how a statement must run at a member.
type Expectation struct {
	// Text is the statement as the caller sends it.
	Text string
	// Transaction is the id of the transaction's first statement after BEGIN, or "" outside a transaction.
	Transaction string
	// Values holds the session values that the caller has set.
	Values map[string]string
	// Shape is the shape of the prepared statement, or "".
	Shape string
	// MustSee lists the data of the writes that the member's log must contain, unless a promotion rolled them back, and
	// MustSeeIn those that it must contain if the member belongs to the group that is the key.
	MustSee   []string
	MustSeeIn map[string]string
}

// writeRecord holds the observed outcome of one write.
type writeRecord struct {
	committed bool
	// byPrimary reports whether the committing member was the primary of the newest term.
	byPrimary bool
	// rejected reports whether the write was answered as having had no effect.
	rejected bool
	// acked is the time of the acknowledgement, or zero.
	acked time.Time
}

// Oracle compares the statements that endpoints ran with the statements and answers of callers; it is safe for
// concurrent use. A violation starts with the rule that was violated:
//
//	unasked  a member ran a statement that no caller sent
//	pinned   a statement ran with a prepared statement, session values or a transaction that are not its session's
//	stale    a read ran without a write that it must see
//	mixed    a caller received an answer that no member returned
//	twice    a write was committed twice
//	refused  a write was committed, but its caller was answered that it had no effect
//	one      a write was committed at a replaced primary and acknowledged
//	lost     an acknowledged write is missing from the log
type Oracle struct {
	mu       sync.Mutex
	expected map[string]Expectation
	// answers holds the answers of members, by statement id.
	answers map[string]map[string]bool
	writes  map[string]*writeRecord
	// acked lists the data of acknowledged writes in the order of their acknowledgement.
	acked      []string
	violations []string
	runs       int
}

// NewOracle returns an empty oracle.
func NewOracle() *Oracle {
	return &Oracle{expected: map[string]Expectation{}, answers: map[string]map[string]bool{}, writes: map[string]*writeRecord{}}
}

// maxViolations bounds the recorded violations: the first ones show the cause.
const maxViolations = 50

func (o *Oracle) addViolation(rule, format string, args ...any) {
	if len(o.violations) < maxViolations {
		o.violations = append(o.violations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// Violations returns the recorded violations in the order of their detection, each as "rule: description".
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}

// Counts returns the numbers of statements that members ran and of writes that were acknowledged.
func (o *Oracle) Counts() (runs, acked int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs, len(o.acked)
}

// Expect registers a statement before its caller sends it.
func (o *Oracle) Expect(id string, e Expectation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.Values, e.MustSeeIn = maps.Clone(e.Values), maps.Clone(e.MustSeeIn)
	o.expected[id] = e
}

// RecordRun checks a statement that a member ran or refused; it is called with the member's group locked.
func (o *Oracle) RecordRun(r platformtest.Execution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range r.Committed {
		o.recordCommit(r, data)
	}
	if !r.Signed() {
		return
	}
	o.runs++
	e, known := o.expected[r.ID]
	if !known {
		o.addViolation("unasked", "%s ran %s %q, which no caller sent", r.Member, r.ID, r.Text)
		return
	}
	if o.answers[r.ID] == nil {
		o.answers[r.ID] = map[string]bool{}
	}
	o.answers[r.ID][strings.Join(r.Answer, "\n")] = true
	o.checkRun(r, e)
}

// checkRun compares a run with its caller's expectation.
func (o *Oracle) checkRun(r platformtest.Execution, e Expectation) {
	if got := platformtest.Normalize(r.Text); got != platformtest.Normalize(e.Text) {
		o.addViolation("unasked", "%s ran %s as %q, the caller sent %q", r.Member, r.ID, got, e.Text)
	}
	if e.Shape != r.Shape {
		o.addViolation("pinned", "%s ran %s with shape %q, the session prepared %q", r.Member, r.ID, r.Shape, e.Shape)
	}
	if !maps.Equal(r.Values, e.Values) {
		o.addViolation("pinned", "%s ran %s with session values %v, the session set %v", r.Member, r.ID, r.Values, e.Values)
	}
	if e.Transaction != "" && r.Transaction != e.Transaction && r.Transaction != r.ID {
		o.addViolation("pinned", "%s ran %s in the transaction of %s, its own transaction began with %s", r.Member, r.ID, r.Transaction, e.Transaction)
	}
	mustSee := e.MustSee
	if own := e.MustSeeIn[groupOf(r.Member)]; own != "" {
		mustSee = append(slices.Clone(mustSee), own)
	}
	for _, data := range mustSee {
		if !r.InLog(data) && !r.RolledBack(data) {
			o.addViolation("stale", "%s ran %s without the required write %s", r.Member, r.ID, data)
		}
	}
}

// groupOf returns the group of a member, or of a member's signature.
func groupOf(member string) string {
	group, _, _ := strings.Cut(member, "-")
	return group
}

func (o *Oracle) recordCommit(r platformtest.Execution, data string) {
	w := o.writeRecordOf(data)
	if w.committed {
		o.addViolation("twice", "%s committed %s again", r.Member, data)
	}
	if w.rejected {
		o.addViolation("refused", "%s committed %s, which was rejected as not run", r.Member, data)
	}
	w.committed, w.byPrimary = true, r.IsPrimary
}

// writeRecordOf returns the record of a write and creates it if there is none.
func (o *Oracle) writeRecordOf(data string) *writeRecord {
	w := o.writes[data]
	if w == nil {
		w = &writeRecord{}
		o.writes[data] = w
	}
	return w
}

// RecordAnswer checks that a member returned the successful answer that a caller received.
func (o *Oracle) RecordAnswer(id string, answer []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.answers[id][strings.Join(answer, "\n")] {
		o.addViolation("mixed", "%s was answered %q, which no member returned", id, answer)
	}
}

// RecordAckedIn records the data of writes whose commit was acknowledged to their caller, unless the second group signed them.
func (o *Oracle) RecordAckedIn(group string, writes ...string) {
	if group != otherGroupName {
		o.RecordAcked(writes...)
	}
}

// RecordAcked records the data of writes in the first group whose commit was acknowledged to their caller.
func (o *Oracle) RecordAcked(writes ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range writes {
		w := o.writeRecordOf(data)
		w.acked = time.Now()
		o.acked = append(o.acked, data)
		if w.committed && !w.byPrimary {
			o.addViolation("one", "%s was committed at a replaced primary and acknowledged", data)
		}
	}
}

// RecordRejected records the data of writes that were answered as having had no effect.
func (o *Oracle) RecordRejected(writes ...string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range writes {
		w := o.writeRecordOf(data)
		w.rejected = true
		if w.committed {
			o.addViolation("refused", "%s was committed and also rejected as not kept", data)
		}
	}
}

// NewestAcked returns the data of the last write acknowledged before at, or "".
func (o *Oracle) NewestAcked(at time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.acked) - 1; i >= 0; i-- {
		if o.writes[o.acked[i]].acked.Before(at) {
			return o.acked[i]
		}
	}
	return ""
}

// CheckAcked checks that the log contains every acknowledged write, except those that a promotion rolled back because
// the replicas lagged.
func (o *Oracle) CheckAcked(log []platformtest.Write, rolledBack func(data string) bool) {
	logged := map[string]bool{}
	for _, w := range log {
		logged[w.Data] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, data := range o.acked {
		if !logged[data] && !rolledBack(data) {
			o.addViolation("lost", "%s was acknowledged and is missing from the log", data)
		}
	}
}
