package engine_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/contract"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// cluster simulates a database group in memory; its members answer typed statements.
type cluster struct {
	mu      sync.Mutex
	members map[string]*member
}

// member simulates one member of a cluster.
type member struct {
	name     string
	role     group.Role
	term     group.Term
	position group.Position
	promised group.Term
	// refuse lists the reasons with which the next statements of an operation are refused, one each.
	refuse map[engine.Op][]engine.Reason
	// lose is the number of statements of an operation that lose their link after they have run.
	lose map[engine.Op]int
	// loseBefore is the number of statements of an operation that lose their link before they run.
	loseBefore map[engine.Op]int
	// down makes dials and requests fail.
	down bool
	// dialsToRefuse is the number of dials that the member will still refuse because of its connection limit.
	dialsToRefuse int
	// refusedDials counts these refusals.
	refusedDials int
	// ran lists the statements that have run.
	ran []run
	// onRun, if set, is called after each statement, with the cluster locked.
	onRun func(c engine.Command)
}

// run is a statement that a member has run, with the session value "tenant" in force.
type run struct {
	command engine.Command
	values  string
	inTx    bool
}

func newCluster() *cluster {
	c := &cluster{members: map[string]*member{}}
	for i, name := range []string{"a", "b", "c"} {
		role := group.RoleReplica
		if i == 0 {
			role = group.RolePrimary
		}
		c.members[name] = &member{name: name, role: role, term: 1, position: 10, refuse: map[engine.Op][]engine.Reason{}, lose: map[engine.Op]int{}, loseBefore: map[engine.Op]int{}}
	}
	return c
}

// with calls change for a member with the cluster locked.
func (c *cluster) with(name string, change func(m *member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.members[name])
}

// ran returns the callers' statements that a member has run, as ID and operation.
func (c *cluster) ran(name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, r := range c.members[name].ran {
		if r.command.Statement.ID != engine.ProxyStatementID {
			out = append(out, r.command.Statement.ID+" "+r.command.Statement.Op.String())
		}
	}
	return out
}

var errDown = errors.New("the member is down")

// fakeLink is a link to a member of a cluster.
type fakeLink struct {
	key        string
	cluster    *cluster
	member     *member
	state      *engine.LinkState
	answeredAt time.Time
	tx         engine.TxState
	wrote      bool
	values     map[string]string
	prepared   map[string]bool
	closed     bool
	// unresponsive is what Unresponsive reports.
	unresponsive bool
}

func (c *cluster) dial(_ context.Context, a engine.Address, key string) (*fakeLink, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[a.Endpoint]
	if m.down {
		return nil, errDown
	}
	if m.dialsToRefuse > 0 {
		m.dialsToRefuse--
		m.refusedDials++
		return nil, engine.ErrEndpointAtLimit
	}
	return &fakeLink{key: key, cluster: c, member: m, state: engine.NewLinkState(), values: map[string]string{}, prepared: map[string]bool{}}, nil
}

func (l *fakeLink) Key() string                                        { return l.key }
func (l *fakeLink) AnsweredAt() time.Time                              { return l.answeredAt }
func (l *fakeLink) SetAnsweredAt(now time.Time)                        { l.answeredAt = now }
func (l *fakeLink) Unresponsive() bool                                 { return l.unresponsive }
func (l *fakeLink) Canceled() bool                                     { return false }
func (l *fakeLink) CloseGracefully(time.Duration) bool                 { return true }
func (l *fakeLink) AwaitClose(time.Duration) bool                      { return true }
func (l *fakeLink) Terminate(context.Context, *fakeLink) (bool, error) { return false, nil }
func (l *fakeLink) State() *engine.LinkState                           { return l.state }

func (l *fakeLink) Close() error {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	l.closed = true
	return nil
}

func (l *fakeLink) Status(context.Context) (group.Status, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	m := l.member
	if m.down {
		return group.Status{}, errDown
	}
	return group.NewStatus(group.StatusConfig{
		Endpoint: m.name, Role: m.role, Point: group.NewPoint(m.term, m.position), Promised: max(m.promised, m.term),
	}), nil
}

func (l *fakeLink) Exec(_ time.Time, commands []engine.Command, answers []engine.Answer) ([]engine.Answer, bool, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	for _, c := range commands {
		if l.member.down || l.closed {
			return answers, true, errDown
		}
		if l.member.loseBefore[c.Statement.Op] > 0 {
			l.member.loseBefore[c.Statement.Op]--
			l.closed = true
			return answers, true, errDown
		}
		a := l.answer(c)
		if l.member.lose[c.Statement.Op] > 0 {
			l.member.lose[c.Statement.Op]--
			l.closed = true
			return answers, true, errDown
		}
		answers = append(answers, a)
	}
	return answers, true, nil
}

// answer runs one command and returns the member's answer.
func (l *fakeLink) answer(c engine.Command) engine.Answer {
	m := l.member
	a := engine.Answer{Signature: engine.ProxyStatementID, State: l.tx, Point: group.NewPoint(m.term, m.position)}
	refuse := func(r engine.Reason) engine.Answer {
		a.Refusal = &engine.Refusal{Reason: r, Code: r.String()}
		a.Signature = ""
		return a
	}
	if list := m.refuse[c.Statement.Op]; len(list) > 0 {
		m.refuse[c.Statement.Op] = list[1:]
		return refuse(list[0])
	}
	if !c.Floor.IsZero() && group.NewPoint(m.term, m.position).Less(c.Floor) {
		return refuse(engine.ReasonBehind)
	}
	writes := c.Statement.Op == engine.OpWrite || strings.HasPrefix(c.Alias, "w_") && c.Statement.Op == engine.OpExecute
	if m.role != group.RolePrimary && (writes || c.Statement.Op == engine.OpBegin) {
		return refuse(engine.ReasonReadOnly)
	}
	switch c.Statement.Op {
	case engine.OpReset:
		clear(l.values)
		clear(l.prepared)
		return a
	case engine.OpSet:
		l.values[c.Statement.Name] = c.Statement.Argument
		return a
	case engine.OpPrepare:
		l.prepared[c.Alias] = true
		return a
	case engine.OpBegin, engine.OpBeginRead:
		l.tx, a.State = engine.TxOpen, engine.TxOpen
		return a
	case engine.OpRollback:
		l.tx, l.wrote, a.State = engine.TxNone, false, engine.TxNone
		return a
	case engine.OpExecute:
		if !l.prepared[c.Alias] {
			return refuse(engine.ReasonUnknownStatement)
		}
	case engine.OpCommit:
		if l.wrote {
			m.position++
		}
		l.tx, l.wrote, a.State = engine.TxNone, false, engine.TxNone
	}
	if writes {
		l.wrote = l.tx == engine.TxOpen
		if !l.wrote {
			m.position++
		}
	}
	m.ran = append(m.ran, run{command: c, values: l.values["tenant"], inTx: l.tx == engine.TxOpen})
	a.Signature = "by " + m.name
	a.Point = group.NewPoint(m.term, m.position)
	if m.onRun != nil {
		m.onRun(c)
	}
	return a
}

// fixture is a monitored cluster with the contract terms of its sessions.
type fixture struct {
	cluster *cluster
	group   *engine.Group[*fakeLink]
	terms   engine.ContractTerms[*fakeLink]
}

func (f *fixture) ContractTerms(string) (engine.ContractTerms[*fakeLink], error) { return f.terms, nil }

// newFixture monitors a new cluster, of the group "orders", and returns once its primary and both replicas are usable.
func newFixture(t *testing.T, consistency contract.Consistency) *fixture {
	t.Helper()
	return newFixtureOf(t, "orders", consistency)
}

// newFixtureOf is newFixture for a group of the given name.
func newFixtureOf(t *testing.T, name string, consistency contract.Consistency) *fixture {
	t.Helper()
	c := newCluster()
	g := engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name:          name,
		Members:       []engine.Address{{Endpoint: "a", Slots: 4}, {Endpoint: "b", Slots: 4, SameDataCentre: true}, {Endpoint: "c", Slots: 4}},
		ProbeInterval: 5 * time.Millisecond,
		ProbeTimeout:  time.Second,
		Lease:         300 * time.Millisecond,
		Limit:         4,
		Ordered:       true,
		Dial:          c.dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	if err := g.AwaitLease(ctx, clock.Now().Add(10*time.Second)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, func() bool {
		usable := 0
		g.View(func(tr *route.Tracker) {
			for _, r := range tr.Replicas() {
				if r.Usable() {
					usable++
				}
			}
		})
		return usable == 2
	})
	terms := contract.New(contract.Config{
		Customer: "orders", Database: "orders", Group: name, Consistency: consistency,
		MaxStaleness: 2 * time.Second, RequestTimeout: 5 * time.Second, TargetLatency: 2 * time.Second,
	})
	budget := retry.NewSharedBudget(retry.BudgetConfig{Ratio: 1, PerSecond: 100, Burst: 20})
	return &fixture{cluster: c, group: g, terms: engine.ContractTerms[*fakeLink]{Contract: terms, Group: g, Retries: budget, Revision: 1}}
}

// session opens a session that is closed at the end of the test.
func (f *fixture) session(t *testing.T) *session {
	t.Helper()
	es := engine.NewSession(engine.SessionConfig[*fakeLink]{ID: "1", Database: "orders", Source: f, Policy: route.EarliestAnswer{}, Clock: clock.Now})
	t.Cleanup(es.Close)
	return &session{Session: es}
}

// session adds helpers that build statements.
type session struct {
	*engine.Session[*fakeLink]
	ids int
}

// do runs a statement with the given operation, name and argument, and returns the answer.
func (s *session) do(op engine.Op, fields ...string) engine.Answer {
	s.ids++
	st := engine.Statement{ID: "q" + string(rune('0'+s.ids)), Op: op, Text: strings.Join(fields, " ")}
	if len(fields) > 0 {
		st.Name = fields[0]
	}
	if len(fields) > 1 {
		st.Argument = strings.Join(fields[1:], " ")
	}
	return s.Execute(context.Background(), st, clock.Now())
}

// prepare prepares a statement under a name.
func (s *session) prepare(name, shape string, writes bool) engine.Answer {
	return s.Execute(context.Background(), engine.Statement{ID: "p", Op: engine.OpPrepare, Name: name, Argument: shape, Writes: writes}, clock.Now())
}

// mustServe fails the test if a is a refusal.
func mustServe(t *testing.T, a engine.Answer) engine.Answer {
	t.Helper()
	if a.Refusal != nil {
		t.Fatalf("refused: %v %s", a.Refusal.Reason, a.Refusal.Text)
	}
	return a
}

// mustRefuse fails the test unless a is a refusal with the given reason.
func mustRefuse(t *testing.T, a engine.Answer, want engine.Reason) {
	t.Helper()
	if a.Refusal == nil {
		t.Fatalf("served by %q, want refusal with reason %v", a.Signature, want)
	}
	if a.Refusal.Reason != want {
		t.Fatalf("refused with reason %v (%s), want %v", a.Refusal.Reason, a.Refusal.Text, want)
	}
}

// waitUntil polls a condition for at most ten seconds.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10s")
		}
		<-tick.C
	}
}
