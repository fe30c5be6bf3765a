package caller_test

import (
	"context"
	"io"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against a query whose reading is interrupted by a drain and that then runs in part; not seen failing.
func TestQueryCutByDrainRunsAsSent(t *testing.T) {
	group := startGroup(t, options{})
	p := startProxy(t, 1, group, options{})
	idle := connect(t, p, "")
	c := connect(t, p, "")
	exec(t, c, "BEGIN")
	raw, err := c.PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	query, err := (&pgproto3.Query{String: "INSERT INTO kv VALUES ('cut', 'whole')"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range [][]byte{query, commit(t)} {
		const cut = 4
		if _, err := raw.Conn.Write(message[:cut]); err != nil {
			t.Fatal(err)
		}
		p.stop()
		// A drain closes idle sessions and interrupts all waits for messages.
		if _, err := io.Copy(io.Discard, idle.PgConn().Conn()); err != nil {
			t.Fatal(err)
		}
		if _, err := raw.Conn.Write(message[cut:]); err != nil {
			t.Fatal(err)
		}
		awaitReady(t, raw.Frontend)
	}
	if got, _ := group.Members()[0].Value("cut"); got != "whole" {
		t.Errorf("the primary holds %q, want the value that was sent", got)
	}
	if err := idle.Close(context.Background()); err != nil {
		t.Error(err)
	}
}

func commit(t *testing.T) []byte {
	t.Helper()
	message, err := (&pgproto3.Query{String: "COMMIT"}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return message
}

// awaitReady reads the answers up to ReadyForQuery, none of which may be an error.
func awaitReady(t *testing.T, in *pgproto3.Frontend) {
	t.Helper()
	for {
		m, err := in.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			t.Fatalf("the proxy answered %s %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return
		}
	}
}
