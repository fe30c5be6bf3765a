package soak_test

import (
	"strings"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
	"github.com/monsoontiller/monsoontiller/soak"
)

// read is the statement of most cases.
var read = platformtest.TextRead("i1")

// signedRun returns a record of a statement that a member ran and answered.
func signedRun(id, text string) platformtest.Execution {
	return platformtest.Execution{
		Member: "m", ID: id, Text: text, Answer: []string{platformtest.SignedLine("m.1")}, IsPrimary: true,
		InLog: func(string) bool { return false }, RolledBack: func(string) bool { return false },
	}
}

// TestOracleDetectsEachViolation violates one rule in each case: an oracle that missed it would pass faulty runs.
func TestOracleDetectsEachViolation(t *testing.T) {
	for _, c := range []struct {
		rule    string
		violate func(o *soak.Oracle)
	}{
		{"unasked", func(o *soak.Oracle) { o.RecordRun(signedRun("q1", read)) }},
		{"unasked", func(o *soak.Oracle) {
			o.Expect("q1", soak.Expectation{Text: platformtest.TextWrite("i1", "x")})
			o.RecordRun(signedRun("q1", platformtest.TextWrite("i1", "y")))
		}},
		{"pinned", func(o *soak.Oracle) {
			o.Expect("q1", soak.Expectation{Text: read, Values: map[string]string{"customer": "a"}})
			o.RecordRun(signedRun("q1", read))
		}},
		{"pinned", func(o *soak.Oracle) {
			o.Expect("q1", soak.Expectation{Text: platformtest.TextExecute("s0", "i1"), Shape: platformtest.ReadShape("q1")})
			o.RecordRun(signedRun("q1", platformtest.TextExecute("s0", "i1")))
		}},
		{"pinned", func(o *soak.Oracle) {
			o.Expect("q2", soak.Expectation{Text: read, Transaction: "q1"})
			r := signedRun("q2", read)
			r.Transaction = "q9"
			o.RecordRun(r)
		}},
		{"stale", func(o *soak.Oracle) {
			o.Expect("q1", soak.Expectation{Text: read, MustSee: []string{"d0"}})
			o.RecordRun(signedRun("q1", platformtest.TextWithFloor("1.2", read)))
		}},
		{"mixed", func(o *soak.Oracle) {
			o.Expect("q1", soak.Expectation{Text: read})
			o.RecordRun(signedRun("q1", read))
			o.RecordAnswer("q1", []string{"other", platformtest.SignedLine("m.1")})
		}},
		{"twice", func(o *soak.Oracle) {
			for range 2 {
				r := signedRun("-", platformtest.TextCommit)
				r.Committed, r.Answer = []string{"d1"}, []string{platformtest.UnsignedLine()}
				o.RecordRun(r)
			}
		}},
		{"refused", func(o *soak.Oracle) {
			o.RecordRejected("d1")
			r := signedRun("-", platformtest.TextCommit)
			r.Committed, r.Answer = []string{"d1"}, []string{platformtest.UnsignedLine()}
			o.RecordRun(r)
		}},
		{"one", func(o *soak.Oracle) {
			r := signedRun("-", platformtest.TextCommit)
			r.Committed, r.Answer, r.IsPrimary = []string{"d1"}, []string{platformtest.UnsignedLine()}, false
			o.RecordRun(r)
			o.RecordAcked("d1")
		}},
		{"lost", func(o *soak.Oracle) {
			o.RecordAcked("d1")
			o.CheckAcked(nil, func(string) bool { return false })
		}},
	} {
		o := soak.NewOracle()
		c.violate(o)
		if v := o.Violations(); len(v) != 1 || !strings.HasPrefix(v[0], c.rule+":") {
			t.Errorf("after a violation of %s, got violations %q", c.rule, v)
		}
	}
}

func TestOracleAcceptsGuaranteedBehaviour(t *testing.T) {
	o := soak.NewOracle()
	o.Expect("q1", soak.Expectation{Text: platformtest.TextExecute("s0", "i1"), Shape: platformtest.ReadShape("q1"), MustSee: []string{"rolled back"}})
	r := signedRun("q1", platformtest.TextWithFloor("1.2", platformtest.TextExecute("r_q1", "i1")))
	r.Shape = platformtest.ReadShape("q1")
	r.RolledBack = func(data string) bool { return data == "rolled back" }
	o.RecordRun(r)
	o.RecordAnswer("q1", r.Answer)
	o.RecordAcked("rolled back")
	o.CheckAcked(nil, r.RolledBack)
	if v := o.Violations(); len(v) != 0 {
		t.Errorf("unexpected violations %q", v)
	}
	if got := o.NewestAcked(time.Now().Add(time.Second)); got != "rolled back" {
		t.Errorf("newest acknowledged write is %q, want the last one acknowledged", got)
	}
}

func TestScheduleIsDeterministicAndCoversEveryKind(t *testing.T) {
	first, second := soak.Schedule(7, 20*time.Second), soak.Schedule(7, 20*time.Second)
	if len(first) < 5 || len(first) != len(second) {
		t.Fatalf("schedules of one seed have %d and %d faults, want at least 5 and equal numbers", len(first), len(second))
	}
	for i := range first {
		if first[i] != second[i] {
			t.Errorf("fault %d differs between schedules of one seed: %v and %v", i, first[i], second[i])
		}
	}
	drawn := map[string]bool{}
	for seed := range uint64(60) {
		for _, f := range soak.Schedule(seed, 20*time.Second) {
			drawn[f.Kind] = true
		}
	}
	for _, kind := range soak.Kinds() {
		if !drawn[kind] {
			t.Errorf("the schedules of sixty seeds contain no %s", kind)
		}
	}
}

// Guards against accounts that only change the schedule of a run: faults of accounts are drawn separately, for half of the
// seeds, and cover every kind.
func TestAccountFaultsCoverEveryKind(t *testing.T) {
	drawn := map[string]bool{}
	without := 0
	for seed := range uint64(60) {
		if soak.DrawAccounts(seed) == 0 {
			without++
		}
		for _, f := range soak.AccountFaults(seed, 20*time.Second) {
			drawn[f.Kind] = true
		}
	}
	if without != 30 {
		t.Errorf("%d of 60 seeds have no accounts, want half", without)
	}
	for _, kind := range []string{"key_removed", "key_moved", "limit_lowered", "hot_account"} {
		if !drawn[kind] {
			t.Errorf("the schedules of sixty seeds contain no %s", kind)
		}
	}
	if len(drawn) != 4 {
		t.Errorf("the schedules contain %v", drawn)
	}
}
