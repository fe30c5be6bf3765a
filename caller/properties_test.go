package caller_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

func TestNotRepeatableRequestRunsAtMostOnce(t *testing.T) {
	stand := startGroup(t, options{})
	p := startProxy(t, 1, stand, options{})
	c := connect(t, p, "")
	exec(t, c, "INSERT INTO kv VALUES ('deposit', '')", pgx.QueryExecModeSimpleProtocol)
	primary := stand.Members()[0]
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
	held, _ := primary.Value("deposit")
	for n := range requests {
		if times := strings.Count(held, fmt.Sprintf(";%d.", n)); times != 1 {
			t.Errorf("request %d ran %d times", n, times)
		}
	}
}

func TestIdempotentRequestIsRepeatedUntilItIsAnswered(t *testing.T) {
	stand := startGroup(t, options{})
	p := startProxy(t, 1, stand, options{})
	c := connect(t, p, "")
	stand.Members()[0].LoseAnswers(2)
	exec(t, c, "INSERT INTO kv VALUES ('a', '1') ON CONFLICT (key) DO UPDATE SET value = excluded.value /*idempotent='true'*/", pgx.QueryExecModeSimpleProtocol)
}

func TestCallerGetsTheWholeAnswerToItsOwnRequest(t *testing.T) {
	o := options{limit: 3}
	stand := startGroup(t, o)
	p := startProxy(t, 1, stand, o)
	const callers, requests = 8, 30
	errs := make(chan error, callers)
	for id := range callers {
		c := connect(t, p, "&monsoontiller.class=read")
		go func() { errs <- askOwn(c, id, requests) }()
	}
	for range 10 {
		for _, m := range stand.Members() {
			m.LoseAnswers(2)
		}
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}

// askOwn asks for a literal of its own each time; a lost answer must be repeated, never crossed.
func askOwn(c *pgx.Conn, id, requests int) error {
	for n := range requests {
		want := fmt.Sprintf("%d-%d-%s", id, n, strings.Repeat("x", n*100))
		var got string
		err := c.QueryRow(context.Background(), fmt.Sprintf("SELECT '%s'", want), pgx.QueryExecModeSimpleProtocol).Scan(&got)
		if err != nil {
			return err
		}
		if got != want {
			return fmt.Errorf("caller %d asked for %.20q and got %.20q", id, want, got)
		}
	}
	return nil
}

func TestReplicaThatLosesAnswersIsLeftOut(t *testing.T) {
	stand := startGroup(t, options{})
	p := startProxy(t, 1, stand, options{})
	c := connect(t, p, "&monsoontiller.class=read")
	value(t, c, "SELECT value FROM kv WHERE key = 'a'")
	stand.Members()[1].LoseAnswers(1 << 20)
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

func TestRefusedAsNotRunDidNotRun(t *testing.T) {
	o := options{contract: contractText + "[limits]\nqueue_length = 1\nqueue_timeout = \"300ms\"\nrequest_timeout = \"25s\"\n", limit: 2}
	stand := startGroup(t, o)
	p := startProxy(t, 1, stand, o)
	busy := connect(t, p, "")
	held := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "SELECT pg_sleep(20)")
		held <- err
	}()
	waitUntil(t, func() bool {
		u := p.group.Connections(stand.Members()[0].Name()).Usage()
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
		if _, ran := stand.Members()[0].Value(key); ran {
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
		case err := <-held:
			return code(err) == "57014" || code(err) == "08007"
		default:
			return false
		}
	})
}

func TestFencedPrimaryTakesNoWrite(t *testing.T) {
	o := options{contract: contractText + "[limits]\nqueue_timeout = \"300ms\"\nrequest_timeout = \"2s\"\n"}
	stand := startGroup(t, o)
	p := startProxy(t, 1, stand, o)
	c := connect(t, p, "")
	exec(t, c, "INSERT INTO kv VALUES ('before', '1')")
	stand.Members()[0].Fence(2, "test")
	_, err := c.Exec(context.Background(), "INSERT INTO kv VALUES ('after', '1')")
	if code(err) != "57P03" {
		t.Errorf("a write on a fenced primary gave %v, want not run", err)
	}
	if _, ran := stand.Members()[0].Value("after"); ran {
		t.Error("the write ran")
	}
}

func TestIdleTransactionIsEndedByTheContract(t *testing.T) {
	o := options{contract: contractText + "[limits]\ntransaction_idle = \"200ms\"\n", limit: 2}
	stand := startGroup(t, o)
	p := startProxy(t, 1, stand, o)
	forgotten := connect(t, p, "")
	if _, err := forgotten.Begin(context.Background()); err != nil {
		t.Fatal(err)
	}
	other := connect(t, p, "")
	exec(t, other, "INSERT INTO kv VALUES ('a', '1')")
	_, err := forgotten.Exec(context.Background(), "INSERT INTO kv VALUES ('late', '1')")
	if err == nil {
		t.Error("a transaction that had been idle for too long went on")
	}
	if _, ran := stand.Members()[0].Value("late"); ran {
		t.Error("the late statement ran")
	}
}

func TestSlowReaderDoesNotHoldAConnection(t *testing.T) {
	o := options{limit: 2}
	stand := startGroup(t, o)
	p := startProxy(t, 1, stand, o)
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
		t.Errorf("another caller was held up by one that does not read: %v", err)
	}
}
