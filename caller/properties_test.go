package caller_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	c := connect(t, p, "")
	exec(t, c, "INSERT INTO kv VALUES ('deposit', '')", pgx.QueryExecModeSimpleProtocol)
	primary := group.Members()[0]
	const requests = 20
	for n := range requests {
		if n%2 == 0 {
			primary.LoseAnswers(1)
		}
		sql := fmt.Sprintf("UPDATE kv SET value = value || ';%d.' WHERE key = 'deposit'", n)
		_, err := c.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
		if n%2 == 0 && code(err) != "08007" {
			t.Errorf("request %d, whose answer was lost, gave %v, want outcome unknown", n, err)
		}
	}
	stored, _ := primary.Value("deposit")
	for n := range requests {
		if times := strings.Count(stored, fmt.Sprintf(";%d.", n)); times != 1 {
			t.Errorf("request %d ran %d times", n, times)
		}
	}
}

func TestIdempotentRequestIsRetriedUntilAnswered(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	c := connect(t, p, "")
	group.Members()[0].LoseAnswers(2)
	exec(t, c, "INSERT INTO kv VALUES ('a', '1') ON CONFLICT (key) DO UPDATE SET value = excluded.value /*idempotent='true'*/", pgx.QueryExecModeSimpleProtocol)
}

func TestCallerReceivesCompleteAnswerToItsOwnRequest(t *testing.T) {
	o := options{limit: 3}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	const callers, requests = 8, 30
	errs := make(chan error, callers)
	for id := range callers {
		c := connect(t, p, "&monsoontiller.class=read")
		go func() { errs <- queryOwnLiterals(c, id, requests) }()
	}
	for range 10 {
		for _, m := range group.Members() {
			m.LoseAnswers(2)
		}
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}

// queryOwnLiterals selects a different literal in each request and checks that the answer holds this literal.
// Reads whose answers are lost must be sent again.
func queryOwnLiterals(c *pgx.Conn, id, requests int) error {
	for n := range requests {
		want := fmt.Sprintf("%d-%d-%s", id, n, strings.Repeat("x", n*100))
		var got string
		err := c.QueryRow(context.Background(), fmt.Sprintf("SELECT '%s'", want), pgx.QueryExecModeSimpleProtocol).Scan(&got)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("caller %d selected %.20q and received %.20q", id, want, got)
		}
	}
	return nil
}

func TestReplicaThatLosesAnswersIsAvoided(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	c := connect(t, p, "&monsoontiller.class=read")
	value(t, c, "SELECT value FROM kv WHERE key = 'a'")
	group.Members()[1].LoseAnswers(1 << 20)
	const requests = 200
	unanswered := 0
	for range requests {
		if _, err := c.Exec(context.Background(), "SELECT value FROM kv WHERE key = 'a'", pgx.QueryExecModeSimpleProtocol); err != nil {
			unanswered++
		}
	}
	if unanswered > 0 {
		t.Errorf("%d of %d reads were not answered while one replica lost answers", unanswered, requests)
	}
	retries := 0
	for _, r := range p.recorder.results {
		retries += r.Retries()
	}
	t.Logf("%d retries for %d reads", retries, requests)
	if retries > requests/10 {
		t.Errorf("%d retries for %d reads", retries, requests)
	}
}

func TestRequestRefusedAsNotRunDidNotRun(t *testing.T) {
	o := options{contract: contractText + "[limits]\nqueue_length = 1\nqueue_timeout = \"300ms\"\nrequest_timeout = \"25s\"\n", limit: 2}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	busy := connect(t, p, "")
	result := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "SELECT pg_sleep(20)")
		result <- err
	}()
	waitUntil(t, func() bool {
		u := p.group.Connections(group.Members()[0].Name()).Usage()
		return u.Open() == 1 && u.Idle() == 0
	})
	const callers = 6
	keys := make(chan string, callers)
	for n := range callers {
		c := connect(t, p, "")
		go func() {
			key := fmt.Sprintf("refused-%d", n)
			_, err := c.Exec(context.Background(), fmt.Sprintf("INSERT INTO kv VALUES ('%s', '1')", key), pgx.QueryExecModeSimpleProtocol)
			if !strings.HasPrefix(code(err), "53") {
				key = ""
			}
			keys <- key
		}()
	}
	refused := 0
	for range callers {
		key := <-keys
		if key == "" {
			continue
		}
		refused++
		if _, ran := group.Members()[0].Value(key); ran {
			t.Errorf("%s was refused as not run, and ran", key)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused under overload")
	}
	waitUntil(t, func() bool {
		if err := busy.PgConn().CancelRequest(context.Background()); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-result:
			return code(err) == "57014" || code(err) == "08007"
		default:
			return false
		}
	})
}

func TestFencedPrimaryRunsNoWrite(t *testing.T) {
	o := options{contract: contractText + "[limits]\nqueue_timeout = \"300ms\"\nrequest_timeout = \"2s\"\n"}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	c := connect(t, p, "")
	exec(t, c, "INSERT INTO kv VALUES ('before', '1')")
	group.Members()[0].Fence(2, "test")
	_, err := c.Exec(context.Background(), "INSERT INTO kv VALUES ('after', '1')")
	if code(err) != "57P03" {
		t.Errorf("a write on a fenced primary gave %v, want not run", err)
	}
	if _, ran := group.Members()[0].Value("after"); ran {
		t.Error("the write ran")
	}
}

func TestIdleTransactionTimesOut(t *testing.T) {
	o := options{contract: contractText + "[limits]\ntransaction_idle = \"200ms\"\n", limit: 2}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	idle := connect(t, p, "")
	if _, err := idle.Begin(context.Background()); err != nil {
		t.Fatal(err)
	}
	other := connect(t, p, "")
	exec(t, other, "INSERT INTO kv VALUES ('a', '1')")
	_, err := idle.Exec(context.Background(), "INSERT INTO kv VALUES ('late', '1')")
	if err == nil {
		t.Error("a transaction continued after its idle timeout")
	}
	if _, ran := group.Members()[0].Value("late"); ran {
		t.Error("the late statement ran")
	}
}

func TestSlowReaderDoesNotBlockOtherCallers(t *testing.T) {
	o := options{limit: 2}
	group := startGroup(t, o)
	p := startProxy(t, 1, group, o)
	slow := connect(t, p, "")
	exec(t, slow, "INSERT INTO kv VALUES ('big', '"+strings.Repeat("x", 1<<20)+"')", pgx.QueryExecModeSimpleProtocol)
	rows, err := slow.Query(context.Background(), "SELECT value FROM kv WHERE key = 'big'", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		t.Fatal(err)
	}
	defer rows.Close()
	other := connect(t, p, "")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := other.Exec(ctx, "SELECT 1"); err != nil {
		t.Errorf("a caller that does not read its answer blocked another caller: %v", err)
	}
}
