package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

func TestLostReadIsRetriedOnAnotherMember(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	f.cluster.with("b", func(m *member) { m.lose[engine.OpRead] = 1 })
	mustServe(t, f.session(t).do(engine.OpRead, "i1"))
}

func TestLostWriteIsInDoubtAndNotRetried(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	f.cluster.with("a", func(m *member) { m.lose[engine.OpWrite] = 1 })
	mustRefuse(t, f.session(t).do(engine.OpWrite, "i1", "x"), engine.ReasonInDoubt)
	if diff := cmp.Diff([]string{"q1 write"}, f.cluster.ran("a")); diff != "" {
		t.Error(diff)
	}
}

func TestWriteThatDidNotRunIsRetried(t *testing.T) {
	for _, reason := range []engine.Reason{engine.ReasonOverloaded, engine.ReasonReadOnly, engine.ReasonTooManyLinks} {
		t.Run(reason.String(), func(t *testing.T) {
			f := newFixture(t, contract.ConsistencySession)
			f.cluster.with("a", func(m *member) { m.refuse[engine.OpWrite] = []engine.Reason{reason} })
			mustServe(t, f.session(t).do(engine.OpWrite, "i1", "x"))
		})
	}
}

func TestFailedWriteIsNotRetried(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	f.cluster.with("a", func(m *member) { m.refuse[engine.OpWrite] = []engine.Reason{engine.ReasonFailed} })
	mustRefuse(t, f.session(t).do(engine.OpWrite, "i1", "x"), engine.ReasonFailed)
}

// Guards against an ejection that each answer to a write ended. Load: a primary that answers every statement with an error, at
// once, while its replicas are slower.
func TestWritesThatFailCountAgainstTheirMember(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	f.cluster.with("a", func(m *member) {
		m.refuse[engine.OpWrite] = []engine.Reason{engine.ReasonFailed, engine.ReasonFailed, engine.ReasonFailed}
	})
	for range 3 {
		mustRefuse(t, f.session(t).do(engine.OpWrite, "i1", "x"), engine.ReasonFailed)
	}
	f.group.View(func(tr *route.Tracker) {
		if !tr.Ejected("a", clock.Now()) {
			t.Error("the member is not ejected after three failures")
		}
	})
}

func TestLostCommitIsInDoubt(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	sess.do(engine.OpBegin)
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	f.cluster.with("a", func(m *member) { m.lose[engine.OpCommit] = 1 })
	mustRefuse(t, sess.do(engine.OpCommit), engine.ReasonInDoubt)
	if sess.State() != engine.TxNone {
		t.Errorf("session state %v after COMMIT, want none", sess.State())
	}
}

// The caller may safely retry a COMMIT that had nothing to commit, whether or not it ran.
func TestLostCommitWithoutWritesIsAborted(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	sess := f.session(t)
	sess.do(engine.OpBegin)
	mustServe(t, sess.do(engine.OpRead, "i1"))
	f.cluster.with("a", func(m *member) { m.lose[engine.OpCommit] = 1 })
	mustRefuse(t, sess.do(engine.OpCommit), engine.ReasonAborted)
}

func TestLostStatementAbortsTransaction(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	sess.do(engine.OpBegin)
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	f.cluster.with("a", func(m *member) { m.lose[engine.OpRead] = 1 })
	a := sess.do(engine.OpRead, "i1")
	mustRefuse(t, a, engine.ReasonAborted)
	if a.State != engine.TxFailed {
		t.Errorf("state %v after the failure, want failed", a.State)
	}
	mustRefuse(t, sess.do(engine.OpRead, "i1"), engine.ReasonMalformed)
	mustRefuse(t, sess.do(engine.OpCommit), engine.ReasonAborted)
	mustServe(t, sess.do(engine.OpWrite, "i1", "y"))
}

func TestFirstStatementOfTransactionIsRetriedOnAnotherMember(t *testing.T) {
	f := newFixture(t, contract.ConsistencyBounded)
	f.cluster.with("b", func(m *member) { m.lose[engine.OpRead] = 1 })
	sess := f.session(t)
	sess.do(engine.OpBeginRead)
	mustServe(t, sess.do(engine.OpRead, "i1"))
	mustServe(t, sess.do(engine.OpCommit))
}

// The old primary still accepts statements, like a primary that is partitioned from the other members.
func TestNothingIsCommittedOnReplacedPrimary(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	sess.do(engine.OpBegin)
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	for _, name := range []string{"b", "c"} {
		f.cluster.with(name, func(m *member) { m.promised = 2 })
	}
	waitUntil(t, func() bool { return !f.group.LeaseValid() })
	f.cluster.with("b", func(m *member) { m.role, m.term = group.RolePrimary, 2 })
	f.cluster.with("c", func(m *member) { m.term = 2 })
	mustRefuse(t, sess.do(engine.OpCommit), engine.ReasonAborted)
	if diff := cmp.Diff([]string{"q2 write"}, f.cluster.ran("a")); diff != "" {
		t.Error(diff)
	}
	if a := mustServe(t, sess.do(engine.OpWrite, "i1", "y")); a.Signature != "by b" {
		t.Errorf("next write served %s, want by the new primary", a.Signature)
	}
}

func TestLaggingReplicasAreSkipped(t *testing.T) {
	f := newFixture(t, contract.ConsistencyBounded)
	for _, name := range []string{"b", "c"} {
		f.cluster.with(name, func(m *member) { m.refuse[engine.OpRead] = []engine.Reason{engine.ReasonBehind, engine.ReasonBehind} })
	}
	if a := mustServe(t, f.session(t).do(engine.OpRead, "i1")); a.Signature != "by a" {
		t.Errorf("served %s, want by the primary", a.Signature)
	}
}

func TestStatementsOfExpiredTransactionAreRefused(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	sess.do(engine.OpBegin)
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	sess.Expire()
	if sess.HoldsLink() {
		t.Error("an expired transaction still holds its link")
	}
	mustRefuse(t, sess.do(engine.OpRead, "i1"), engine.ReasonMalformed)
	mustRefuse(t, sess.do(engine.OpCommit), engine.ReasonAborted)
	f.cluster.with("a", func(m *member) {
		if m.position != 10 {
			t.Errorf("primary at position %d, want 10: nothing was committed", m.position)
		}
	})
}

func TestWriteInReadTransactionIsRefused(t *testing.T) {
	f := newFixture(t, contract.ConsistencySession)
	sess := f.session(t)
	sess.do(engine.OpBeginRead)
	mustRefuse(t, sess.do(engine.OpWrite, "i1", "x"), engine.ReasonReadOnly)
}

// After a power loss, an endpoint still counts the links of the crashed instances for seconds.
func TestWriteWaitsForEndpointAtConnectionLimit(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	f.cluster.with("a", func(m *member) { m.dialsToRefuse = 5 })
	mustServe(t, f.session(t).do(engine.OpWrite, "i1", "x"))
}

// The second session cannot open a link, and waits until the first session's transaction releases its link.
func TestRequestsShareLinksOfEndpointAtConnectionLimit(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	sess := f.session(t)
	mustServe(t, sess.do(engine.OpWrite, "i1", "x"))
	f.cluster.with("a", func(m *member) { m.dialsToRefuse = 1000 })
	sess.do(engine.OpBegin)
	mustServe(t, sess.do(engine.OpWrite, "i1", "y"))
	other := f.session(t)
	served := make(chan engine.Answer, 1)
	go func() { served <- other.do(engine.OpWrite, "i2", "z") }()
	waitUntil(t, func() bool { return f.group.Connections("a").Usage().Waiting() > 0 })
	mustServe(t, sess.do(engine.OpCommit))
	mustServe(t, <-served)
}

// However many requests wait, an endpoint at its connection limit is dialed one at a time, at intervals.
func TestEndpointAtConnectionLimitIsDialedOneAtATime(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	f.cluster.with("a", func(m *member) { m.dialsToRefuse = 4 })
	const callers = 30
	served := make(chan engine.Answer, callers)
	for range callers {
		sess := f.session(t)
		go func() { served <- sess.do(engine.OpRead, "i1") }()
	}
	for range callers {
		mustServe(t, <-served)
	}
	f.cluster.with("a", func(m *member) {
		if m.dialsToRefuse != 0 || m.refusedDials != 4 {
			t.Errorf("%d dials refused, %d refusals left; want 4 and 0", m.refusedDials, m.dialsToRefuse)
		}
	})
}

// While no connection becomes free, the number of dials depends on the elapsed time, not on the number of waiters.
func TestDialRateOfEndpointAtConnectionLimitIsBounded(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	f.cluster.with("a", func(m *member) { m.dialsToRefuse = 1_000_000 })
	const callers = 30
	served := make(chan engine.Answer, callers)
	for range callers {
		sess := f.session(t)
		go func() { served <- sess.do(engine.OpRead, "i1") }()
	}
	for range callers {
		<-served
	}
	f.cluster.with("a", func(m *member) {
		// Each caller may wait for 5 s; one dial every 50 ms makes 100 dials.
		if limit := 100; m.refusedDials > limit {
			t.Errorf("%d dials, want at most %d", m.refusedDials, limit)
		}
	})
}

// Load: requests wait for a lease of an endpoint at its connection limit, and each of them triggers probes. The dials of
// the probes, each of which costs the endpoint a slot, must be as rare as those of the requests.
func TestProbesOfEndpointAtConnectionLimitAreBounded(t *testing.T) {
	f := newFixture(t, contract.ConsistencyPrimary)
	f.cluster.with("b", func(m *member) { m.dialsToRefuse = 1_000_000 })
	f.cluster.with("b", func(m *member) { m.down = true })
	waitUntil(t, func() bool { return f.group.LastError("b") != nil })
	f.cluster.with("b", func(m *member) { m.down = false })
	const duration = time.Second
	for until := time.Now().Add(duration); time.Now().Before(until); {
		f.group.ProbeNow()
		<-time.After(time.Millisecond)
	}
	f.cluster.with("b", func(m *member) {
		// One dial every 50 ms.
		if limit := int(duration / (50 * time.Millisecond)); m.refusedDials > limit {
			t.Errorf("%d dials in %v, want at most %d", m.refusedDials, duration, limit)
		}
	})
}

// noTerms is a contract source that refuses every database with a retry delay.
type noTerms struct{}

func (noTerms) ContractTerms(string) (engine.ContractTerms[*fakeLink], error) {
	return engine.ContractTerms[*fakeLink]{}, fault.New(fault.Config{
		Kind: fault.KindNoPrimary, Message: "the group has no primary; the request did not run", Remedy: "try again in 400ms",
	})
}

func TestRefusalContainsRetryDelay(t *testing.T) {
	sess := &session{Session: engine.NewSession(engine.SessionConfig[*fakeLink]{Source: noTerms{}, Policy: route.EarliestAnswer{}, Clock: clock.Now})}
	a := sess.do(engine.OpRead, "i1")
	mustRefuse(t, a, engine.ReasonOverloaded)
	if !strings.Contains(a.Refusal.Text, "try again in 400ms") {
		t.Errorf("refused with %q", a.Refusal.Text)
	}
}
