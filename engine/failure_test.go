package engine_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

func TestALostReadRunsElsewhere(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	s.cluster.with("b", func(n *node) { n.lose[engine.OpRead] = 1 })
	mustServe(t, s.session(t).do(engine.OpRead, "i1"))
}

func TestALostWriteIsInDoubtAndNotRepeated(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	s.cluster.with("a", func(n *node) { n.lose[engine.OpWrite] = 1 })
	mustRefuse(t, s.session(t).do(engine.OpWrite, "i1", "x"), engine.ReasonInDoubt)
	if diff := cmp.Diff([]string{"q1 write"}, s.cluster.ran("a")); diff != "" {
		t.Error(diff)
	}
}

func TestAWriteThatDidNotRunIsRepeated(t *testing.T) {
	for _, reason := range []engine.Reason{engine.ReasonOverloaded, engine.ReasonReadOnly, engine.ReasonTooManyLinks} {
		t.Run(reason.String(), func(t *testing.T) {
			s := newStand(t, contract.ConsistencySession)
			s.cluster.with("a", func(n *node) { n.refuse[engine.OpWrite] = []engine.Reason{reason} })
			mustServe(t, s.session(t).do(engine.OpWrite, "i1", "x"))
		})
	}
}

func TestAWriteThatFailedIsPassedOn(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	s.cluster.with("a", func(n *node) { n.refuse[engine.OpWrite] = []engine.Reason{engine.ReasonFailed} })
	mustRefuse(t, s.session(t).do(engine.OpWrite, "i1", "x"), engine.ReasonFailed)
}

func TestALostCommitIsInDoubt(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	one.do(engine.OpBegin)
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	s.cluster.with("a", func(n *node) { n.lose[engine.OpCommit] = 1 })
	mustRefuse(t, one.do(engine.OpCommit), engine.ReasonInDoubt)
	if one.State() != engine.TxNone {
		t.Errorf("the session is in state %v after the end of its transaction", one.State())
	}
}

// A COMMIT that committed nothing may be repeated by the caller, whatever became of it.
func TestALostCommitOfAReadTransactionIsAborted(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	one := s.session(t)
	one.do(engine.OpBegin)
	mustServe(t, one.do(engine.OpRead, "i1"))
	s.cluster.with("a", func(n *node) { n.lose[engine.OpCommit] = 1 })
	mustRefuse(t, one.do(engine.OpCommit), engine.ReasonAborted)
}

func TestALostStatementAbortsItsTransaction(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	one.do(engine.OpBegin)
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	s.cluster.with("a", func(n *node) { n.lose[engine.OpRead] = 1 })
	a := one.do(engine.OpRead, "i1")
	mustRefuse(t, a, engine.ReasonAborted)
	if a.State != engine.TxFailed {
		t.Errorf("state %v after the failure, want failed", a.State)
	}
	mustRefuse(t, one.do(engine.OpRead, "i1"), engine.ReasonMalformed)
	mustRefuse(t, one.do(engine.OpCommit), engine.ReasonAborted)
	mustServe(t, one.do(engine.OpWrite, "i1", "y"))
}

func TestTheFirstStatementOfATransactionIsRepeatedElsewhere(t *testing.T) {
	s := newStand(t, contract.ConsistencyBounded)
	s.cluster.with("b", func(n *node) { n.lose[engine.OpRead] = 1 })
	one := s.session(t)
	one.do(engine.OpBeginRead)
	mustServe(t, one.do(engine.OpRead, "i1"))
	mustServe(t, one.do(engine.OpCommit))
}

// The old primary still takes statements, as one does that is cut off from the others.
func TestNothingIsCommittedAtAReplacedPrimary(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	one.do(engine.OpBegin)
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	for _, name := range []string{"b", "c"} {
		s.cluster.with(name, func(n *node) { n.promised = 2 })
	}
	waitUntil(t, func() bool { return !s.group.LeaseValid() })
	s.cluster.with("b", func(n *node) { n.role, n.term = group.RolePrimary, 2 })
	s.cluster.with("c", func(n *node) { n.term = 2 })
	mustRefuse(t, one.do(engine.OpCommit), engine.ReasonAborted)
	if diff := cmp.Diff([]string{"q2 write"}, s.cluster.ran("a")); diff != "" {
		t.Error(diff)
	}
	if a := mustServe(t, one.do(engine.OpWrite, "i1", "y")); a.Signature != "by b" {
		t.Errorf("the next write was served %s, want the new primary", a.Signature)
	}
}

func TestAReplicaThatLagsIsPassedOver(t *testing.T) {
	s := newStand(t, contract.ConsistencyBounded)
	for _, name := range []string{"b", "c"} {
		s.cluster.with(name, func(n *node) { n.refuse[engine.OpRead] = []engine.Reason{engine.ReasonBehind, engine.ReasonBehind} })
	}
	if a := mustServe(t, s.session(t).do(engine.OpRead, "i1")); a.Signature != "by a" {
		t.Errorf("served %s, want the primary", a.Signature)
	}
}

func TestAnExpiredTransactionTellsItsCaller(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	one.do(engine.OpBegin)
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	one.Expire()
	if one.Holding() {
		t.Error("an expired transaction holds its link")
	}
	mustRefuse(t, one.do(engine.OpRead, "i1"), engine.ReasonMalformed)
	mustRefuse(t, one.do(engine.OpCommit), engine.ReasonAborted)
	s.cluster.with("a", func(n *node) {
		if n.position != 10 {
			t.Errorf("the primary stands at %d, though nothing was committed", n.position)
		}
	})
}

func TestAWriteInAReadTransactionIsRefused(t *testing.T) {
	s := newStand(t, contract.ConsistencySession)
	one := s.session(t)
	one.do(engine.OpBeginRead)
	mustRefuse(t, one.do(engine.OpWrite, "i1", "x"), engine.ReasonReadOnly)
}

// After a loss of power an endpoint counts the links of the processes that are gone for seconds.
func TestAnEndpointThatTakesNoMoreLinksIsWaitedFor(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	s.cluster.with("a", func(n *node) { n.fullFor = 5 })
	mustServe(t, s.session(t).do(engine.OpWrite, "i1", "x"))
}

func TestRequestsShareTheLinksOfAFullEndpoint(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	one := s.session(t)
	mustServe(t, one.do(engine.OpWrite, "i1", "x"))
	s.cluster.with("a", func(n *node) { n.fullFor = 1000 })
	one.do(engine.OpBegin)
	mustServe(t, one.do(engine.OpWrite, "i1", "y"))
	other := s.session(t)
	served := make(chan engine.Answer, 1)
	go func() { served <- other.do(engine.OpWrite, "i2", "z") }()
	waitUntil(t, func() bool { return s.group.Connections("a").Usage().Waiting() > 0 })
	mustServe(t, one.do(engine.OpCommit))
	mustServe(t, <-served)
}

// However many requests wait, an endpoint that takes no more links is dialed by one at a time, with a pause between.
func TestAFullEndpointIsDialedByOneAtATime(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	s.cluster.with("a", func(n *node) { n.fullFor = 4 })
	const callers = 30
	served := make(chan engine.Answer, callers)
	for range callers {
		one := s.session(t)
		go func() { served <- one.do(engine.OpRead, "i1") }()
	}
	for range callers {
		mustServe(t, <-served)
	}
	s.cluster.with("a", func(n *node) {
		if n.fullFor != 0 || n.refusedDials != 4 {
			t.Errorf("%d dials were refused, %d are left to be", n.refusedDials, n.fullFor)
		}
	})
}

// While nothing frees a place, the dials are bounded by time, not by the requests that wait.
func TestDialsOfAFullEndpointAreBoundedByTime(t *testing.T) {
	s := newStand(t, contract.ConsistencyPrimary)
	s.cluster.with("a", func(n *node) { n.fullFor = 1_000_000 })
	const callers = 30
	served := make(chan engine.Answer, callers)
	for range callers {
		one := s.session(t)
		go func() { served <- one.do(engine.OpRead, "i1") }()
	}
	for range callers {
		<-served
	}
	s.cluster.with("a", func(n *node) {
		// Each caller may wait for 5 s, in which one dial every 50 ms makes 100.
		if limit := 100; n.refusedDials > limit {
			t.Errorf("%d dials in the callers' time, want at most %d", n.refusedDials, limit)
		}
	})
}

// noTerms refuses every database for a while.
type noTerms struct{}

func (noTerms) Terms(string) (engine.Terms[*link], error) {
	return engine.Terms[*link]{}, fault.New(fault.Config{
		Kind: fault.KindNoPrimary, Message: "nobody leads; the request did not run", Remedy: "try again in 400ms",
	})
}

func TestARefusalTellsWhenToComeBack(t *testing.T) {
	one := &session{Session: engine.NewSession(engine.SessionConfig[*link]{Source: noTerms{}, Policy: route.Expected{}, Clock: clock.Now})}
	a := one.do(engine.OpRead, "i1")
	mustRefuse(t, a, engine.ReasonOverloaded)
	if !strings.Contains(a.Refusal.Text, "try again in 400ms") {
		t.Errorf("refused with %q", a.Refusal.Text)
	}
}
