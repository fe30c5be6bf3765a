package endpoint

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// CloseGracefully sends Terminate and reports whether the endpoint closed the connection within timeout.
//
// It also reports true when the connection was closed before.
func (c *Conn) CloseGracefully(timeout time.Duration) bool {
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
	return c.AwaitClose(timeout)
}

// AwaitClose discards input until the endpoint closes the connection and reports whether that happened within timeout.
func (c *Conn) AwaitClose(timeout time.Duration) bool {
	if c.nc.SetDeadline(time.Now().Add(timeout)) != nil {
		return true
	}
	_, err := io.Copy(io.Discard, c.nc)
	return !isTimeout(err)
}

// Terminate ends the server process of another connection of this instance and reports whether that process has ended.
func (c *Conn) Terminate(ctx context.Context, other *Conn) (bool, error) {
	return c.terminate(ctx, other.pid)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
