package dev_test

import (
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/dev"
)

// cancelThrough sends a session's cancel request to instance number n.
func cancelThrough(t *testing.T, f *dev.Fleet, n int, session *pgconn.PgConn) {
	t.Helper()
	nc, err := net.Dial("tcp", f.Instances()[n].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	raw, err := (&pgproto3.CancelRequest{ProcessID: session.PID(), SecretKey: session.SecretKey()}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Write(raw); err != nil {
		t.Fatal(err)
	}
	_, _ = nc.Read(make([]byte, 1))
}
