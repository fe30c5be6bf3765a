package soak_test

import (
	"strings"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
	"github.com/monsoontiller/monsoontiller/soak"
)

// read is the statement that most cases run.
var read = platformtest.TextRead("i1")

// ran returns a run of a statement that a member signed.
func ran(id, text string) platformtest.Run {
	return platformtest.Run{
		Member: "m", ID: id, Text: text, Answer: []string{platformtest.SignedLine("m.1")}, Leads: true,
		Holds: func(string) bool { return false }, Lost: func(string) bool { return false },
	}
}

// A checker that finds nothing proves nothing: each promise is broken once.
func TestTheLedgerFindsEachBrokenPromise(t *testing.T) {
	for _, c := range []struct {
		rule    string
		violate func(l *soak.Ledger)
	}{
		{"unasked", func(l *soak.Ledger) { l.Ran(ran("q1", read)) }},
		{"unasked", func(l *soak.Ledger) {
			l.Expect("q1", soak.Expectation{Text: platformtest.TextWrite("i1", "x")})
			l.Ran(ran("q1", platformtest.TextWrite("i1", "y")))
		}},
		{"pinned", func(l *soak.Ledger) {
			l.Expect("q1", soak.Expectation{Text: read, Values: map[string]string{"customer": "a"}})
			l.Ran(ran("q1", read))
		}},
		{"pinned", func(l *soak.Ledger) {
			l.Expect("q1", soak.Expectation{Text: platformtest.TextExecute("s0", "i1"), Shape: platformtest.ReadShape("q1")})
			l.Ran(ran("q1", platformtest.TextExecute("s0", "i1")))
		}},
		{"pinned", func(l *soak.Ledger) {
			l.Expect("q2", soak.Expectation{Text: read, Transaction: "q1"})
			r := ran("q2", read)
			r.Owner = "q9"
			l.Ran(r)
		}},
		{"stale", func(l *soak.Ledger) {
			l.Expect("q1", soak.Expectation{Text: read, Sees: []string{"d0"}})
			l.Ran(ran("q1", platformtest.TextAtLeast("1.2", read)))
		}},
		{"mixed", func(l *soak.Ledger) {
			l.Expect("q1", soak.Expectation{Text: read})
			l.Ran(ran("q1", read))
			l.Answered("q1", []string{"other", platformtest.SignedLine("m.1")})
		}},
		{"twice", func(l *soak.Ledger) {
			for range 2 {
				r := ran("-", platformtest.TextCommit)
				r.Committed, r.Answer = []string{"d1"}, []string{platformtest.OwnLine()}
				l.Ran(r)
			}
		}},
		{"refused", func(l *soak.Ledger) {
			l.Denied("d1")
			r := ran("-", platformtest.TextCommit)
			r.Committed, r.Answer = []string{"d1"}, []string{platformtest.OwnLine()}
			l.Ran(r)
		}},
		{"one", func(l *soak.Ledger) {
			r := ran("-", platformtest.TextCommit)
			r.Committed, r.Answer, r.Leads = []string{"d1"}, []string{platformtest.OwnLine()}, false
			l.Ran(r)
			l.Acked("d1")
		}},
		{"lost", func(l *soak.Ledger) {
			l.Acked("d1")
			l.Lost(nil, func(string) bool { return false })
		}},
	} {
		l := soak.NewLedger()
		c.violate(l)
		if v := l.Violations(); len(v) != 1 || !strings.HasPrefix(v[0], c.rule+":") {
			t.Errorf("broke %s, found %q", c.rule, v)
		}
	}
}

func TestTheLedgerAllowsWhatIsPromised(t *testing.T) {
	l := soak.NewLedger()
	l.Expect("q1", soak.Expectation{Text: platformtest.TextExecute("s0", "i1"), Shape: platformtest.ReadShape("q1"), Sees: []string{"rolled back"}})
	r := ran("q1", platformtest.TextAtLeast("1.2", platformtest.TextExecute("r_q1", "i1")))
	r.Shape = platformtest.ReadShape("q1")
	r.Lost = func(data string) bool { return data == "rolled back" }
	l.Ran(r)
	l.Answered("q1", r.Answer)
	l.Acked("rolled back")
	l.Lost(nil, r.Lost)
	if v := l.Violations(); len(v) != 0 {
		t.Errorf("found %q", v)
	}
	if got := l.NewestAcked(time.Now().Add(time.Second)); got != "rolled back" {
		t.Errorf("the newest acknowledged write is %q", got)
	}
}

func TestASeedPlaysTheSameFaults(t *testing.T) {
	one, two := soak.Schedule(7, 20*time.Second), soak.Schedule(7, 20*time.Second)
	if len(one) < 5 || len(one) != len(two) {
		t.Fatalf("%d and %d faults", len(one), len(two))
	}
	for i := range one {
		if one[i] != two[i] {
			t.Errorf("fault %d is %v and %v", i, one[i], two[i])
		}
	}
	met := map[string]bool{}
	for seed := range uint64(60) {
		for _, f := range soak.Schedule(seed, 20*time.Second) {
			met[f.Kind] = true
		}
	}
	for _, kind := range soak.Kinds() {
		if !met[kind] {
			t.Errorf("sixty seeds play no %s", kind)
		}
	}
}
