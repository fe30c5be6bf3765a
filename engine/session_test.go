package engine_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

func TestReadsGoToReplicaInSameDataCentreAndWritesToPrimary(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	if a := mustServe(t, sess.do(engine.OpRead, "i1")); a.Signature != "by b" {
		t.Errorf("read served %s, want by the replica in the same data centre", a.Signature)
	}
	if a := mustServe(t, sess.do(engine.OpWrite, "i1", "x")); a.Signature != "by a" {
		t.Errorf("write served %s, want by the primary", a.Signature)
	}
}

func TestReadSeesOwnWrite(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	a := mustServe(t, sess.do(engine.OpRead, "i1"))
	if a.Signature != "by a" {
		t.Errorf("read served %s, a replica without the write", a.Signature)
	}
	for _, name := range []string{"b", "c"} {
		f.cluster.with(name, func(m *member) { m.position = 11 })
	}
	if a := mustServe(t, sess.do(engine.OpRead, "i1")); a.Point != group.NewPoint(1, 11) {
		t.Errorf("read ran at %v, want 1/11", a.Point)
	}
}

func TestPrimaryConsistencyReadsGoToPrimary(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	if a := mustServe(t, f.session(t).do(engine.OpRead, "i1")); a.Signature != "by a" {
		t.Errorf("served %s, want by the primary", a.Signature)
	}
}

func TestTransactionHoldsLinkFromFirstStatement(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	if a := mustServe(t, sess.do(engine.OpBegin)); a.Signature != engine.ProxyStatementID || a.State != engine.TxOpen {
		t.Errorf("BEGIN answered %+v", a)
	}
	if sess.HoldsLink() {
		t.Error("a transaction without a statement holds a link")
	}
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	if !sess.HoldsLink() {
		t.Error("a transaction after its first statement holds no link")
	}
	if a := mustServe(t, sess.do(engine.OpCommit)); a.Signature != "by a" || a.State != engine.TxNone {
		t.Errorf("COMMIT answered %+v", a)
	}
	want := []string{"q2 write", "q3 commit"}
	if diff := cmp.Diff(want, f.cluster.ran("a")); diff != "" {
		t.Error(diff)
	}
}

func TestReadTransactionStaysOnOneReplica(t *testing.T) {
	f := newFixture(t, contract.ConsistencyBounded)
	sess := f.session(t)
	sess.do(engine.OpBeginRead)
	first := mustServe(t, sess.do(engine.OpRead, "i1"))
	f.cluster.with("b", func(m *member) { m.refuse[engine.OpBeginRead] = []engine.Reason{engine.ReasonBehind} })
	second := mustServe(t, sess.do(engine.OpRead, "i2"))
	last := mustServe(t, sess.do(engine.OpCommit))
	if first.Signature != "by b" || second.Signature != "by b" || last.Signature != "by b" {
		t.Errorf("served %s, %s, %s, want by b for all", first.Signature, second.Signature, last.Signature)
	}
}

func TestSessionValuesAndPreparedStatementsDoNotLeak(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	first, second := f.session(t), f.session(t)
	mustServe(t, first.do(engine.OpSet, "tenant", "red"))
	mustServe(t, first.prepare("s1", "q1", false))
	mustServe(t, second.prepare("s1", "q2", true))
	mustServe(t, first.do(engine.OpExecute, "s1", "i1"))
	mustServe(t, second.do(engine.OpExecute, "s1", "i1", "x"))
	mustServe(t, first.do(engine.OpExecute, "s1", "i1"))
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	var got []string
	for _, r := range f.cluster.members["a"].ran {
		got = append(got, r.command.Alias+" under "+r.values)
	}
	want := []string{"r_q1 under red", "w_q2 under ", "r_q1 under red"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestProxyRefusesUnknownPreparedStatement(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	sess := f.session(t)
	mustRefuse(t, sess.do(engine.OpExecute, "s1", "i1"), engine.ReasonUnknownStatement)
	mustServe(t, sess.prepare("s1", "q1", false))
	mustServe(t, sess.do(engine.OpDeallocate, "s1"))
	mustRefuse(t, sess.do(engine.OpExecute, "s1", "i1"), engine.ReasonUnknownStatement)
}

func TestMissingPreparedStatementIsPreparedAgain(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	sess := f.session(t)
	mustServe(t, sess.prepare("s1", "q1", false))
	f.cluster.with("a", func(m *member) { m.refuse[engine.OpExecute] = []engine.Reason{engine.ReasonUnknownStatement} })
	mustServe(t, sess.do(engine.OpExecute, "s1", "i1"))
}

// recorder keeps the records of all statements.
type recorder struct{ records []engine.Record }

func (r *recorder) Record(rec engine.Record) { r.records = append(r.records, rec) }

func TestRefusalIsRecordedWithDecision(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	f.cluster.with("a", func(m *member) { m.lose[engine.OpWrite] = 1 })
	r := &recorder{}
	sess := engine.NewSession(engine.SessionConfig[*fakeLink]{
		ID: "7", Database: "orders", Account: "harbour", Source: f, Policy: route.EarliestAnswer{}, Recorder: r, Clock: clock.Now,
	})
	t.Cleanup(sess.Close)
	mustRefuse(t, (&session{Session: sess}).do(engine.OpWrite, "i1", "x"), engine.ReasonInDoubt)
	if len(r.records) != 1 {
		t.Fatalf("%d records, want 1", len(r.records))
	}
	got := r.records[0]
	if got.Request != "q1" || got.Session != "7" || got.Account != "harbour" || got.Group != "orders" || got.Endpoint != "a" || got.Revision != 1 || got.Refusal == nil || len(got.Failures) != 1 {
		t.Errorf("recorded %+v", got)
	}
}
