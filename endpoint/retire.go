package endpoint

import (
	"errors"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// goodbyeTimeout bounds the wait for an endpoint to close an idle connection.
	goodbyeTimeout = 200 * time.Millisecond
	// quarantine is how long a connection that the endpoint does not close still counts.
	quarantine = 2 * time.Second
)

// Terminator ends the endpoint's side of a connection from another one.
type Terminator interface {
	// Terminate asks an endpoint to end the process behind a connection and reports whether it did.
	Terminate(endpoint string, pid uint32) bool
}

// retire ends a connection and returns once the endpoint has closed its side, or after the quarantine.
//
// Until then the endpoint may still count the connection, so that another opened
// in its place could exceed the endpoint's limit. A side that does not close by
// itself, because it is at work or has gone silent, is terminated. It reports
// whether the endpoint is known to have closed.
func (c *Connections) retire(conn *Conn) (closed bool) {
	defer conn.Close()
	if conn.goodbye(goodbyeTimeout) {
		return true
	}
	if c.terminator != nil && c.terminator.Terminate(c.endpoint, conn.pid) {
		return true
	}
	return conn.drained(quarantine)
}

// goodbye sends Terminate and waits for the endpoint to close.
func (c *Conn) goodbye(timeout time.Duration) bool {
	if c.nc.SetDeadline(time.Now().Add(timeout)) != nil {
		return true
	}
	terminate, err := (&pgproto3.Terminate{}).Encode(nil)
	if err != nil {
		return false
	}
	if _, err := c.nc.Write(terminate); err != nil {
		return !isTimeout(err)
	}
	return c.drained(timeout)
}

// drained reads until the endpoint closes and reports whether it did in time.
func (c *Conn) drained(timeout time.Duration) bool {
	if c.nc.SetDeadline(time.Now().Add(timeout)) != nil {
		return true
	}
	_, err := io.Copy(io.Discard, c.nc)
	return !isTimeout(err)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
