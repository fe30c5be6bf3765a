package caller_test

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
)

// promoteReplica makes another member of a group primary of the second term.
func promoteReplica(t *testing.T, g *endpointtest.Group) {
	t.Helper()
	for _, m := range g.Members() {
		if !m.Fence(2, "attempt") {
			t.Fatalf("%s did not accept the fence", m.Name())
		}
	}
	if !g.Members()[1].Promote(2, "attempt") {
		t.Fatal("the promotion was refused")
	}
}

// Guards against a floor in one group's log that is looked up in the log of the group to which the database has moved: the
// session is told of a lost write, or waits for a term that the group never reaches.
func TestFloorStaysInItsLogWhenDatabaseMoves(t *testing.T) {
	o := options{contract: contractText + "[writes]\nreplication = \"off\"\n"}
	first := startGroup(t, o)
	second := startGroup(t, options{group: "candidates-2"})
	promoteReplica(t, second)
	p := startProxy(t, 1, first, o)
	there := newBinding(t, startMonitoring(t, 1, second, options{limit: 4}), o)
	here := p.directory.binding

	c := connect(t, p, "&monsoontiller.class=read")
	write := func(key, text string) {
		t.Helper()
		exec(t, c, fmt.Sprintf("/*class='write'*/ INSERT INTO kv VALUES ('%s', '%s')", key, text), pgx.QueryExecModeSimpleProtocol)
	}
	for n := range 5 {
		write(fmt.Sprintf("a%d", n), "first")
	}
	token := c.PgConn().ParameterStatus("monsoontiller.token")
	p.directory.bind(there)
	if got := value(t, c, "SELECT value FROM kv WHERE key = 'a4'"); got != "" {
		t.Errorf("the other group holds %q", got)
	}
	write("b", "second")
	if got := value(t, c, "SELECT value FROM kv WHERE key = 'b'"); got != "second" {
		t.Errorf("the session read %q, not its own write, in the other group", got)
	}
	withToken := connect(t, p, "&monsoontiller.class=read&monsoontiller.token="+token)
	if got := value(t, withToken, "SELECT value FROM kv WHERE key = 'b'"); got != "second" {
		t.Errorf("a session with a token of the first group read %q in the other one", got)
	}
	p.directory.bind(here)
	if got := value(t, c, "SELECT value FROM kv WHERE key = 'a4'"); got != "first" {
		t.Errorf("the session read %q, not its own write, after the database had returned", got)
	}
}
