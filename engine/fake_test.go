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

// cluster is a database group in memory, whose members answer typed statements.
type cluster struct {
	mu      sync.Mutex
	members map[string]*node
}

// node is one member of a cluster.
type node struct {
	name     string
	role     group.Role
	term     group.Term
	position group.Position
	promised group.Term
	// refuse answers statements of an operation with a reason, as often as it says.
	refuse map[engine.Op][]engine.Reason
	// lose drops the link after statements of an operation ran, as often as it says.
	lose map[engine.Op]int
	// down refuses new links and drops those that are used.
	down bool
	// fullFor is how many dials the member still refuses because it takes no more connections.
	fullFor int
	// refusedDials counts the dials that were refused so.
	refusedDials int
	// ran lists the statements that ran, with the id, alias and session values that they ran under.
	ran []run
	// onRun is called as a statement has run, with the cluster locked.
	onRun func(c engine.Command)
}

// run is a statement that a member ran.
type run struct {
	command engine.Command
	values  string
	inTx    bool
}

func newCluster() *cluster {
	c := &cluster{members: map[string]*node{}}
	for i, name := range []string{"a", "b", "c"} {
		role := group.RoleReplica
		if i == 0 {
			role = group.RolePrimary
		}
		c.members[name] = &node{name: name, role: role, term: 1, position: 10, refuse: map[engine.Op][]engine.Reason{}, lose: map[engine.Op]int{}}
	}
	return c
}

// with changes a member under the cluster's lock.
func (c *cluster) with(name string, change func(n *node)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.members[name])
}

// ran returns the statements of callers that a member ran, by id and operation.
func (c *cluster) ran(name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, r := range c.members[name].ran {
		if r.command.Statement.ID != engine.OwnID {
			out = append(out, r.command.Statement.ID+" "+r.command.Statement.Op.String())
		}
	}
	return out
}

var errDown = errors.New("the member is down")

// link is a link to a member of a cluster.
type link struct {
	cluster    *cluster
	node       *node
	state      *engine.LinkState
	answeredAt time.Time
	tx         engine.TxState
	wrote      bool
	values     map[string]string
	prepared   map[string]bool
	closed     bool
}

func (c *cluster) dial(_ context.Context, m engine.Address, _ string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.members[m.Endpoint]
	if n.down {
		return nil, errDown
	}
	if n.fullFor > 0 {
		n.fullFor--
		n.refusedDials++
		return nil, engine.ErrEndpointFull
	}
	return &link{cluster: c, node: n, state: engine.NewLinkState(), values: map[string]string{}, prepared: map[string]bool{}}, nil
}

func (l *link) Key() string                                    { return "" }
func (l *link) AnsweredAt() time.Time                          { return l.answeredAt }
func (l *link) SetAnsweredAt(now time.Time)                    { l.answeredAt = now }
func (l *link) Canceled() bool                                 { return false }
func (l *link) Goodbye(time.Duration) bool                     { return true }
func (l *link) Drained(time.Duration) bool                     { return true }
func (l *link) Terminate(context.Context, *link) (bool, error) { return false, nil }
func (l *link) State() *engine.LinkState                       { return l.state }

func (l *link) Close() error {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	l.closed = true
	return nil
}

func (l *link) Status(context.Context) (group.Status, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	n := l.node
	if n.down {
		return group.Status{}, errDown
	}
	return group.NewStatus(group.StatusConfig{
		Endpoint: n.name, Role: n.role, Point: group.NewPoint(n.term, n.position), Promised: max(n.promised, n.term),
	}), nil
}

func (l *link) Exec(_ time.Time, commands []engine.Command, answers []engine.Answer) ([]engine.Answer, bool, error) {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	for _, c := range commands {
		if l.node.down || l.closed {
			return answers, true, errDown
		}
		a := l.answer(c)
		if l.node.lose[c.Statement.Op] > 0 {
			l.node.lose[c.Statement.Op]--
			l.closed = true
			return answers, true, errDown
		}
		answers = append(answers, a)
	}
	return answers, true, nil
}

// answer runs one command as a member does.
func (l *link) answer(c engine.Command) engine.Answer {
	n := l.node
	a := engine.Answer{Signature: engine.OwnID, State: l.tx, Point: group.NewPoint(n.term, n.position)}
	refuse := func(r engine.Reason) engine.Answer {
		a.Refusal = &engine.Refusal{Reason: r, Code: r.String()}
		a.Signature = ""
		return a
	}
	if list := n.refuse[c.Statement.Op]; len(list) > 0 {
		n.refuse[c.Statement.Op] = list[1:]
		return refuse(list[0])
	}
	if !c.Floor.IsZero() && group.NewPoint(n.term, n.position).Less(c.Floor) {
		return refuse(engine.ReasonBehind)
	}
	writes := c.Statement.Op == engine.OpWrite || strings.HasPrefix(c.Alias, "w_") && c.Statement.Op == engine.OpExecute
	if n.role != group.RolePrimary && (writes || c.Statement.Op == engine.OpBegin) {
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
			n.position++
		}
		l.tx, l.wrote, a.State = engine.TxNone, false, engine.TxNone
	}
	if writes {
		l.wrote = l.tx == engine.TxOpen
		if !l.wrote {
			n.position++
		}
	}
	n.ran = append(n.ran, run{command: c, values: l.values["tenant"], inTx: l.tx == engine.TxOpen})
	a.Signature = "by " + n.name
	a.Point = group.NewPoint(n.term, n.position)
	if n.onRun != nil {
		n.onRun(c)
	}
	return a
}

// stand is a session on a watched cluster.
type stand struct {
	cluster *cluster
	group   *engine.Group[*link]
	terms   engine.Terms[*link]
}

func (s *stand) Terms(string) (engine.Terms[*link], error) { return s.terms, nil }

// newStand watches a cluster under a contract.
func newStand(t *testing.T, consistency contract.Consistency) *stand {
	t.Helper()
	c := newCluster()
	g := engine.NewGroup(engine.GroupConfig[*link]{
		Name:          "orders",
		Members:       []engine.Address{{Endpoint: "a", Slots: 4}, {Endpoint: "b", Slots: 4, Near: true}, {Endpoint: "c", Slots: 4}},
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
		known := 0
		g.View(func(tr *route.Tracker) {
			for _, r := range tr.Replicas() {
				if r.Usable() {
					known++
				}
			}
		})
		return known == 2
	})
	k := contract.New(contract.Config{
		Customer: "orders", Database: "orders", Group: "orders", Consistency: consistency,
		MaxStaleness: 2 * time.Second, RequestTimeout: 5 * time.Second, TargetLatency: 2 * time.Second,
	})
	budget := retry.NewSharedBudget(retry.BudgetConfig{Ratio: 1, PerSecond: 100, Burst: 20})
	return &stand{cluster: c, group: g, terms: engine.Terms[*link]{Contract: k, Group: g, Retries: budget, Revision: 1}}
}

// session opens a session on the stand.
func (s *stand) session(t *testing.T) *session {
	t.Helper()
	one := engine.NewSession(engine.SessionConfig[*link]{ID: "1", Database: "orders", Source: s, Policy: route.Expected{}, Clock: clock.Now})
	t.Cleanup(one.Close)
	return &session{Session: one}
}

// session adds short forms of statements.
type session struct {
	*engine.Session[*link]
	ids int
}

// do runs a statement given by its operation and fields, and returns the answer.
func (s *session) do(op engine.Op, fields ...string) engine.Answer {
	s.ids++
	st := engine.Statement{ID: "q" + string(rune('0'+s.ids)), Op: op, Text: strings.Join(fields, " ")}
	if len(fields) > 0 {
		st.Name = fields[0]
	}
	if len(fields) > 1 {
		st.Argument = strings.Join(fields[1:], " ")
	}
	return s.Do(context.Background(), st, clock.Now())
}

// prepare prepares a statement under a name.
func (s *session) prepare(name, shape string, writes bool) engine.Answer {
	return s.Do(context.Background(), engine.Statement{ID: "p", Op: engine.OpPrepare, Name: name, Argument: shape, Writes: writes}, clock.Now())
}

func mustServe(t *testing.T, a engine.Answer) engine.Answer {
	t.Helper()
	if a.Refusal != nil {
		t.Fatalf("refused: %v %s", a.Refusal.Reason, a.Refusal.Text)
	}
	return a
}

func mustRefuse(t *testing.T, a engine.Answer, want engine.Reason) {
	t.Helper()
	if a.Refusal == nil {
		t.Fatalf("served by %q, want a refusal as %v", a.Signature, want)
	}
	if a.Refusal.Reason != want {
		t.Fatalf("refused as %v (%s), want %v", a.Refusal.Reason, a.Refusal.Text, want)
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
			t.Fatal("the condition did not come true within 10s")
		}
		<-tick.C
	}
}
