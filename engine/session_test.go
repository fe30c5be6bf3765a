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

func TestReadsGoToANearReplicaAndWritesToThePrimary(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	if a := mustServe(t, one.do(engine.OpRead, "i1")); a.Signature != "by b" {
		t.Errorf("the read was served %s, want the near replica", a.Signature)
	}
	if a := mustServe(t, one.do(engine.OpWrite, "i1", "x")); a.Signature != "by a" {
		t.Errorf("the write was served %s, want the primary", a.Signature)
	}
}

func TestAReadSeesTheSessionsOwnWrite(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	a := mustServe(t, one.do(engine.OpRead, "i1"))
	if a.Signature != "by a" {
		t.Errorf("a replica without the write served the read: %s", a.Signature)
	}
	for _, name := range []string{"b", "c"} {
		s.cluster.with(name, func(n *node) { n.position = 11 })
	}
	if a := mustServe(t, one.do(engine.OpRead, "i1")); a.Point != group.NewPoint(1, 11) {
		t.Errorf("the read ran at %v, want 1/11", a.Point)
	}
}

func TestReadsOfTheNewestDataGoToThePrimary(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	if a := mustServe(t, s.session(t).do(engine.OpRead, "i1")); a.Signature != "by a" {
		t.Errorf("served %s, want the primary", a.Signature)
	}
}

func TestAnIdleTransactionHoldsNoLink(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	if a := mustServe(t, one.do(engine.OpBegin)); a.Signature != engine.OwnID || a.State != engine.TxOpen {
		t.Errorf("BEGIN was answered %+v", a)
	}
	if one.Holding() {
		t.Error("a transaction without a statement holds a link")
	}
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	if !one.Holding() {
		t.Error("the transaction's link was let go")
	}
	if a := mustServe(t, one.do(engine.OpCommit)); a.Signature != "by a" || a.State != engine.TxNone {
		t.Errorf("COMMIT was answered %+v", a)
	}
	want := []string{"q2 write", "q3 commit"}
	if diff := cmp.Diff(want, s.cluster.ran("a")); diff != "" {
		t.Error(diff)
	}
}

func TestAReadTransactionRunsOnOneReplica(t *testing.T) {
	s := newStand(t, contract.ConsistencyBounded)
	one := s.session(t)
	one.do(engine.OpBeginRead)
	first := mustServe(t, one.do(engine.OpRead, "i1"))
	s.cluster.with("b", func(n *node) { n.refuse[engine.OpBeginRead] = []engine.Reason{engine.ReasonBehind} })
	second := mustServe(t, one.do(engine.OpRead, "i2"))
	last := mustServe(t, one.do(engine.OpCommit))
	if first.Signature != "by b" || second.Signature != "by b" || last.Signature != "by b" {
		t.Errorf("served %s, %s, %s, want the near replica for all", first.Signature, second.Signature, last.Signature)
	}
}

func TestSessionValuesAndPreparedNamesDoNotLeak(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	first, second := s.session(t), s.session(t)
	mustServe(t, first.do(engine.OpSet, "tenant", "red"))
	mustServe(t, first.prepare("s1", "q1", false))
	mustServe(t, second.prepare("s1", "q2", true))
	mustServe(t, first.do(engine.OpExecute, "s1", "i1"))
	mustServe(t, second.do(engine.OpExecute, "s1", "i1", "x"))
	mustServe(t, first.do(engine.OpExecute, "s1", "i1"))
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	var got []string
	for _, r := range s.cluster.members["a"].ran {
		got = append(got, r.command.Alias+" under "+r.values)
	}
	want := []string{"r_q1 under red", "w_q2 under ", "r_q1 under red"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestAnUnknownPreparedNameIsRefusedByTheProxy(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	one := s.session(t)
	mustRefuse(t, one.do(engine.OpExecute, "s1", "i1"), engine.ReasonUnknownStatement)
	mustServe(t, one.prepare("s1", "q1", false))
	mustServe(t, one.do(engine.OpDeallocate, "s1"))
	mustRefuse(t, one.do(engine.OpExecute, "s1", "i1"), engine.ReasonUnknownStatement)
}

func TestALinkThatLostItsPreparedStatementsIsPreparedAgain(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	one := s.session(t)
	mustServe(t, one.prepare("s1", "q1", false))
	s.cluster.with("a", func(n *node) { n.refuse[engine.OpExecute] = []engine.Reason{engine.ReasonUnknownStatement} })
	mustServe(t, one.do(engine.OpExecute, "s1", "i1"))
}

// taken keeps the records of statements.
type taken struct{ records []engine.Record }

func (r *taken) Record(one engine.Record) { r.records = append(r.records, one) }

func TestARefusalIsRecordedWithWhatDecidedIt(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	s.cluster.with("a", func(n *node) { n.lose[engine.OpWrite] = 1 })
	r := &taken{}
	one := engine.NewSession(engine.SessionConfig[*link]{
		ID: "7", Database: "orders", Source: s, Policy: route.Expected{}, Recorder: r, Clock: clock.Now,
	})
	t.Cleanup(one.Close)
	mustRefuse(t, (&session{Session: one}).do(engine.OpWrite, "i1", "x"), engine.ReasonInDoubt)
	if len(r.records) != 1 {
		t.Fatalf("%d records", len(r.records))
	}
	got := r.records[0]
	if got.Request != "q1" || got.Session != "7" || got.Group != "orders" || got.Endpoint != "a" || got.Revision != 1 || got.Refusal == nil || len(got.Failures) != 1 {
		t.Errorf("recorded %+v", got)
	}
}
