package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/route"
)

// A session without a token must see the writes of an earlier session on another
// instance. Its floor is a position of the primary probed after it connected, which
// no replica has reached here, so the primary must serve its reads.
func TestReadYourWritesOnAnotherProxyWithoutToken(t *testing.T) {
	o := options{lag: 2 * time.Second, contract: contractText + "[writes]\nreplication = \"off\"\n"}
	group := startGroup(t, o)
	first := startProxy(t, 1, group, o)
	second := startProxy(t, 2, group, o)

	unrelated := connect(t, second, "&monsoontiller.class=read")
	value(t, unrelated, "SELECT value FROM kv WHERE key = 'lesson'")

	writer := connect(t, first, "")
	exec(t, writer, "INSERT INTO kv VALUES ('lesson', 'booked')")
	writer.Close(context.Background())

	reader := connect(t, second, "&monsoontiller.class=read")
	if got := value(t, reader, "SELECT value FROM kv WHERE key = 'lesson'"); got != "booked" {
		t.Errorf("a read after the write of booked gave %q", got)
	}
	if target := second.recorder.last().Target(); target != route.TargetPrimary {
		t.Errorf("a read was served by target %v while every replica was behind", target)
	}
	if got := value(t, unrelated, "SELECT value FROM kv WHERE key = 'lesson'"); got != "" {
		t.Errorf("an unrelated session's read gave %q, want no row because replicas are behind", got)
	}
	if target := second.recorder.last().Target(); target != route.TargetReplica {
		t.Errorf("an unrelated session's read went to target %v", target)
	}
	value(t, unrelated, "/*max_staleness='10s'*/ SELECT value FROM kv WHERE key = 'lesson'")
	if target := second.recorder.last().Target(); target != route.TargetReplica {
		t.Errorf("a read with max_staleness 10s went to target %v", target)
	}
}

func TestTokenCarriesTheFloor(t *testing.T) {
	o := options{lag: 20 * time.Millisecond}
	group := startGroup(t, o)
	first := startProxy(t, 1, group, o)
	second := startProxy(t, 2, group, o)
	writer := connect(t, first, "")
	exec(t, writer, "INSERT INTO kv VALUES ('a', '1')")
	token := writer.PgConn().ParameterStatus("monsoontiller.token")
	if token == "" {
		t.Fatal("no token was reported after a write")
	}
	reader := connect(t, second, "&monsoontiller.class=read&monsoontiller.token="+token)
	if got := value(t, reader, "SELECT value FROM kv WHERE key = 'a'"); got != "1" {
		t.Errorf("read %q with the token, want 1", got)
	}
}

func TestForgedTokenIsRefused(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	_, err := pgx.Connect(context.Background(), p.url()+"&monsoontiller.token=AAAA")
	if code(err) != "28000" {
		t.Errorf("a forged token gave %v, want SQLSTATE 28000", err)
	}
}

func TestTransactionsDoNotShareAConnection(t *testing.T) {
	o := options{limit: 2}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	const callers, rounds = 4, 10
	errs := make(chan error, callers)
	for i := range callers {
		c := connect(t, p, "")
		go func() { errs <- transfer(c, i, rounds) }()
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}

// transfer runs transactions and checks that each sees its own change, and that the change is visible later exactly if committed.
func transfer(c *pgx.Conn, id, rounds int) error {
	ctx := context.Background()
	for n := range rounds {
		tx, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		key := fmt.Sprintf("k-%d-%d", id, n)
		if _, err := tx.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", key, "open"); err != nil {
			return err
		}
		var v string
		if err := tx.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&v); err != nil {
			return fmt.Errorf("a transaction did not see its own change: %w", err)
		}
		if n%2 == 0 {
			err = tx.Commit(ctx)
		} else {
			err = tx.Rollback(ctx)
		}
		if err != nil {
			return err
		}
		err = c.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", key).Scan(&v)
		if committed := n%2 == 0; committed != (err == nil) {
			return fmt.Errorf("round %d: committed %v, read gave %v", n, committed, err)
		}
	}
	return nil
}

func TestSettingsDoNotReachAnotherCaller(t *testing.T) {
	o := options{limit: 2}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	first := connect(t, p, "")
	second := connect(t, p, "")
	exec(t, first, "SET search_path = 'one'", pgx.QueryExecModeSimpleProtocol)
	for range 3 {
		if got := value(t, second, "SHOW search_path"); got != "" {
			t.Fatalf("a caller received another caller's setting %q", got)
		}
		if got := value(t, first, "SHOW search_path"); got != "one" {
			t.Fatalf("a caller lost its setting: %q", got)
		}
	}
}

// A shutdown must not interrupt an open transaction, nor serve a new request once the drain has begun.
// The server notices the end of its context later; a refused connection shows that the drain has begun.
func TestGracefulShutdownFinishesTheTransaction(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	c := connect(t, p, "")
	idle := connect(t, p, "")
	partial := connect(t, p, "")
	partial.PgConn().Frontend().SendParse(&pgproto3.Parse{Query: "SELECT 1"})
	if err := partial.PgConn().Frontend().Flush(); err != nil {
		t.Fatal(err)
	}
	tx, err := c.Begin(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(context.Background(), "INSERT INTO kv VALUES ('deposit', '20')"); err != nil {
		t.Fatal(err)
	}
	p.stop()
	waitUntil(t, func() bool {
		probe, err := net.DialTimeout("tcp", p.server.Address(), time.Second)
		if err == nil {
			probe.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	_, err = idle.Exec(context.Background(), "INSERT INTO kv VALUES ('late', '1')")
	if err == nil {
		t.Error("a new request was accepted during the drain")
	}
	_, err = partial.Exec(context.Background(), "INSERT INTO kv VALUES ('later', '1')")
	if err == nil {
		t.Error("a request received in part before the drain was accepted during it")
	}
	if err := tx.Commit(context.Background()); err != nil {
		t.Errorf("the open transaction was interrupted: %v", err)
	}
	if err := <-p.ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	p.ended <- nil
	if s := group.Members()[0].Status(); s.Point().Position() != 1 {
		t.Errorf("log position %v, want 1: exactly the open transaction", s.Point())
	}
}

func TestCancelStopsOnlyItsStatement(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	slow := connect(t, p, "")
	other := connect(t, p, "")
	result := make(chan error, 1)
	go func() {
		_, err := slow.Exec(context.Background(), "SELECT pg_sleep(20)")
		result <- err
	}()
	waitUntil(t, func() bool {
		if err := slow.PgConn().CancelRequest(context.Background()); err != nil {
			t.Fatal(err)
		}
		exec(t, other, "SELECT 1")
		select {
		case err := <-result:
			if code(err) != "57014" {
				t.Fatalf("the canceled statement gave %v", err)
			}
			return true
		default:
			return false
		}
	})
	exec(t, slow, "SELECT 1")
}

func TestSessionContinuesAfterCopyIsRefused(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	c := connect(t, p, "")
	_, err := c.Exec(context.Background(), "COPY kv FROM STDIN")
	if code(err) != "0A000" {
		t.Errorf("COPY gave %v, want SQLSTATE 0A000", err)
	}
	exec(t, c, "SELECT 1")
}

// With an idle check of 1 ns, every idle connection is checked before its next use, so that a write after all
// connections have become silent runs on a new one.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	o := options{contract: contractText + "[limits]\nidle_check = \"1ns\"\n"}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	c := connect(t, p, "")
	exec(t, c, "INSERT INTO kv VALUES ('a', '1')")
	for _, m := range group.Members() {
		m.Silence()
	}
	exec(t, c, "INSERT INTO kv VALUES ('b', '1')")
	if got := value(t, c, "SELECT count(*) FROM kv"); got != "2" {
		t.Errorf("count = %s, want 2", got)
	}
}

// A statement that takes longer than pingTimeout must not be mistaken for a broken
// connection. A connection that stops answering must be detected by a probe that the
// endpoint answers on another one; a write then has an unknown outcome, a read is sent again.
func TestSilentConnectionIsDistinguishedFromSlowStatement(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	c := connect(t, p, "")
	exec(t, c, "SELECT pg_sleep(1.5)")
	for _, m := range group.Members() {
		m.Silence()
	}
	_, err := c.Exec(context.Background(), "INSERT INTO kv VALUES ('deposit', '20')")
	if code(err) != "08007" {
		t.Fatalf("a write on a silent connection gave %v, want outcome unknown", err)
	}
	exec(t, c, "INSERT INTO kv VALUES ('deposit', '20')")
	for _, m := range group.Members() {
		m.Silence()
	}
	if got := value(t, c, "/*class='read'*/ SELECT value FROM kv WHERE key = 'deposit'"); got != "20" {
		t.Errorf("a read on silent connections gave %q", got)
	}
}

// A write that waits for its replication must not be acknowledged under the lease of
// a primary that was promoted meanwhile without it.
func TestWriteLostInFailoverIsNotAcknowledgedInTheNextTerm(t *testing.T) {
	o := options{lag: time.Hour, contract: contractText + "[writes]\nreplication = \"required\"\n"}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	c := connect(t, p, "")
	result := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO kv VALUES ('deposit', '20')")
		result <- err
	}()
	members := group.Members()
	waitUntil(t, func() bool { return members[0].Status().Point().Position() == 1 })
	members[0].Stop()
	for _, m := range members[1:] {
		m.Fence(2, "test")
	}
	members[1].Promote(2, "test")
	if err := <-result; code(err) != "08007" {
		t.Errorf("a write that the new primary lacks gave %v, want outcome unknown", err)
	}
}

func TestWrongProtocolVersionIsRefused(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	nc, err := net.Dial("tcp", p.server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := nc.Write([]byte{0, 0, 0, 9, 0, 2, 0, 0, 0}); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 1)
	if _, err := nc.Read(answer); err != nil || answer[0] != 'E' {
		t.Errorf("protocol 2 gave %q, %v; want an error message", answer, err)
	}
}
