package engine_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
)

// Guards against statements that run with the values of another session, or without those of their own, because the endpoint
// refused or lost a command that should have restored them on the link.
func TestStatementRunsOnlyUnderConfirmedValues(t *testing.T) {
	for _, op := range []engine.Op{engine.OpReset, engine.OpSet} {
		for _, reason := range []engine.Reason{engine.ReasonFailed, engine.ReasonOverloaded, engine.ReasonTimeout} {
			t.Run(op.String()+" "+reason.String(), func(t *testing.T) {
				f := newFixture(t, contract.ConsistencyPrimary)
				first, second := f.session(t), f.session(t)
				mustServe(t, first.do(engine.OpSet, "other", "x"))
				mustServe(t, first.do(engine.OpSet, "tenant", "red"))
				mustServe(t, first.do(engine.OpWrite, "i1", "x"))
				f.cluster.with("a", func(m *member) { m.refuse[op] = []engine.Reason{reason} })
				mustServe(t, second.do(engine.OpSet, "tenant", "blue"))
				mustServe(t, second.do(engine.OpWrite, "i1", "x"))
				f.checkValues(t, []string{"red", "blue"})
			})
		}
	}
}

// Guards against a statement of an open transaction that runs although the endpoint refused a value set since; the caller must
// learn that the transaction was rolled back, and not that its outcome is unknown.
func TestTransactionEndsIfItsValueIsRefused(t *testing.T) {
	for _, op := range []engine.Op{engine.OpWrite, engine.OpCommit} {
		t.Run(op.String(), func(t *testing.T) {
			f := newFixture(t, contract.ConsistencyPrimary)
			sess := f.session(t)
			mustServe(t, sess.do(engine.OpBegin))
			mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
			f.cluster.with("a", func(m *member) { m.refuse[engine.OpSet] = []engine.Reason{engine.ReasonFailed} })
			mustServe(t, sess.do(engine.OpSet, "tenant", "red"))
			mustRefuse(t, sess.do(op, "i1", "y"), engine.ReasonAborted)
			f.checkValues(t, []string{""})
		})
	}
}

// Guards against a write reported as in doubt although the connection was lost before it was sent.
func TestWriteAfterLostRestoreIsRetried(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	sess := f.session(t)
	mustServe(t, sess.do(engine.OpSet, "tenant", "red"))
	f.cluster.with("a", func(m *member) { m.lose[engine.OpSet] = 1 })
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	f.checkValues(t, []string{"red"})
}

// Guards against a refused PREPARE that counts as done, and against a write reported as in doubt although the endpoint did not
// know its statement.
func TestRefusedPrepareIsRepeated(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	sess := f.session(t)
	mustServe(t, sess.prepare("s1", "q1", true))
	f.cluster.with("a", func(m *member) { m.refuse[engine.OpPrepare] = []engine.Reason{engine.ReasonFailed} })
	mustServe(t, sess.do(engine.OpExecute, "s1", "i1", "x"))
	mustServe(t, sess.do(engine.OpExecute, "s1", "i1", "x"))
}

// checkValues compares the session values under which the primary ran the callers' statements.
func (f *fixture) checkValues(t *testing.T, want []string) {
	t.Helper()
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	var got []string
	for _, r := range f.cluster.members["a"].ran {
		got = append(got, r.values)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("statements ran under the values %q, want %q", got, want)
	}
}

// restoredSession is a session of FuzzRestoredValues with what was acknowledged to its caller.
type restoredSession struct {
	*engine.Session[*fakeLink]
	tenant string
	ids    int
}

// FuzzRestoredValues lets three sessions share links while the commands that restore their state are refused, or are lost with
// their links before or after they run: no statement runs under values that were not acknowledged to its caller, and none runs
// twice, or runs although its caller was told that it did not.
func FuzzRestoredValues(f *testing.F) {
	f.Add([]byte{0x00, 0x41, 0x0a, 0x13, 0x22, 0x05, 0x91, 0x16, 0x2b, 0x33})
	f.Add([]byte("set, write, begin and lose: three sessions on the same links, again and again"))
	f.Add([]byte{0xff, 0x80, 0x7f, 0x01, 0xfe, 0x33, 0xcc, 0x55, 0xaa, 0x0f, 0xf0, 0x12, 0x34, 0x56, 0x78, 0x9a, 0xbc, 0xde})
	f.Fuzz(func(t *testing.T, script []byte) {
		fx := newFixture(t, contract.ConsistencyPrimary)
		r := &restoredRun{fixture: fx, values: map[string]string{}, outcomes: map[string]engine.Answer{}, executes: map[string]bool{}}
		for range 3 {
			es := fx.session(t)
			r.sessions = append(r.sessions, &restoredSession{Session: es.Session})
		}
		for i := 0; i+1 < len(script) && i < 60; i += 2 {
			r.fail(script[i])
			r.step(script[i+1])
		}
		r.check(t)
	})
}

// restoredRun is one run of FuzzRestoredValues.
type restoredRun struct {
	*fixture
	sessions []*restoredSession
	// values holds the value that was acknowledged before each statement was sent, and outcomes its answer.
	values   map[string]string
	outcomes map[string]engine.Answer
	// prepareLost means that a link was lost with a PREPARE, and so perhaps with the EXECUTE sent behind it.
	prepareLost bool
	// executes tells which statements run a prepared one.
	executes map[string]bool
}

// fail makes the primary refuse or lose the next command of an operation, as b says.
func (r *restoredRun) fail(b byte) {
	ops := []engine.Op{engine.OpReset, engine.OpSet, engine.OpPrepare, engine.OpBegin}
	reasons := []engine.Reason{engine.ReasonFailed, engine.ReasonOverloaded, engine.ReasonTimeout}
	op, how := ops[b&3], b>>2&7
	r.prepareLost = r.prepareLost || op == engine.OpPrepare && (how == 3 || how == 4)
	r.cluster.with("a", func(m *member) {
		switch how {
		case 0, 1, 2:
			m.refuse[op] = append(m.refuse[op], reasons[b>>5%3])
		case 3:
			m.lose[op]++
		case 4:
			m.loseBefore[op]++
		}
	})
}

// step lets a session run a statement, as b says.
func (r *restoredRun) step(b byte) {
	s := r.sessions[b%3]
	s.ids++
	st := engine.Statement{ID: fmt.Sprintf("%d-%d", b%3, s.ids)}
	switch b >> 2 & 7 {
	case 0:
		st.Op, st.Name, st.Argument = engine.OpSet, "tenant", fmt.Sprintf("v%d", b>>5)
	case 1:
		st.Op = engine.OpBegin
	case 2:
		st.Op = engine.OpCommit
	case 3:
		st.Op = engine.OpRollback
	case 4:
		st.Op, st.Name, st.Argument, st.Writes = engine.OpPrepare, "s", fmt.Sprintf("q%d", b>>5), true
	case 5:
		st.Op, st.Name, st.Argument = engine.OpExecute, "s", "i1 x"
	default:
		st.Op, st.Name, st.Argument = engine.OpWrite, "i1", "x"
	}
	r.values[st.ID], r.executes[st.ID] = s.tenant, st.Op == engine.OpExecute
	a := s.Execute(context.Background(), st, clock.Now())
	r.outcomes[st.ID] = a
	if st.Op == engine.OpSet && a.Refusal == nil {
		s.tenant = st.Argument
	}
}

// check compares what the members ran with what the callers were told.
func (r *restoredRun) check(t *testing.T) {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	seen := map[string]bool{}
	for _, run := range r.cluster.members["a"].ran {
		id := run.command.Statement.ID
		if id == engine.ProxyStatementID {
			continue
		}
		if run.values != r.values[id] {
			t.Errorf("%s ran under the value %q, acknowledged was %q", id, run.values, r.values[id])
		}
		if run.inTx {
			continue
		}
		if seen[id] {
			t.Errorf("%s ran twice", id)
		}
		seen[id] = true
		if a := r.outcomes[id]; a.Refusal != nil && a.Refusal.Reason == engine.ReasonOverloaded {
			t.Errorf("%s ran, its caller was told that it did not: %s", id, a.Refusal.Text)
		}
	}
	for id, a := range r.outcomes {
		if a.Refusal != nil && a.Refusal.Reason == engine.ReasonInDoubt && !(r.executes[id] && r.prepareLost) {
			t.Errorf("%s is in doubt although neither it nor its COMMIT was lost: %s", id, a.Refusal.Text)
		}
	}
}
