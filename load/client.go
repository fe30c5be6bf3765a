package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// client is one session, with a row of its own to which its writes append markers.
type client struct {
	run *run
	// number selects the instance to dial next; it starts at the session's number and increases with each dial.
	number int
	conn   *pgx.Conn
	// key is the key of the session's row.
	key string
	// lastAcked is the marker of the last acknowledged write, or "" if a read need not return one.
	lastAcked string
	// writes is the number of writes sent.
	writes int
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close(context.Background())
		c.conn = nil
	}
}

// connect dials the next instance in turn, as a load balancer would, until a connection is open or ctx ends.
func (c *client) connect(ctx context.Context) error {
	for c.conn == nil {
		address := c.run.cfg.Addresses[c.number%len(c.run.cfg.Addresses)]
		c.number++
		url := fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable&default_query_exec_mode=simple_protocol", c.run.cfg.Customer, address, c.run.cfg.Database)
		conn, err := pgx.Connect(ctx, url)
		if err == nil {
			c.conn = conn
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// insertRow inserts the session's row and repeats the insert until the row exists or ctx ends.
func (c *client) insertRow(ctx context.Context) {
	for ctx.Err() == nil {
		if c.connect(ctx) != nil {
			return
		}
		_, err := c.conn.Exec(ctx, fmt.Sprintf("INSERT INTO kv VALUES ('%s', '')", c.key))
		if err == nil || sqlState(err) == "23505" {
			return
		}
		c.dropIfBroken()
	}
}

// sqlState returns the SQLSTATE of a PostgreSQL error, or "" for any other error.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// dropIfBroken discards a closed connection, so that the next request connects again.
func (c *client) dropIfBroken() {
	if c.conn != nil && c.conn.IsClosed() {
		c.conn = nil
	}
}

// request sends one request of the given kind and records its outcome.
func (c *client) request(ctx context.Context, k kind, intended time.Time) {
	if c.connect(ctx) != nil {
		return
	}
	var o outcome
	switch k {
	case kindWrite:
		o = c.write(ctx)
	case kindReserve:
		o = c.reserve(ctx)
	default:
		o = c.read(ctx, k == kindStaleRead)
	}
	c.run.recordOutcome(k, o, intended)
	c.dropIfBroken()
}

// outcomeOf classifies the result of a request.
//
// With SQLSTATE class 53, codes that start with 57P and code 25006 (read-only
// transaction), the proxy guarantees that the request did not run.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return answered
	case strings.HasPrefix(sqlState(err), "53"), strings.HasPrefix(sqlState(err), "57P"), sqlState(err) == "25006":
		return refused
	}
	return unknown
}

// write appends a unique marker to the session's row.
//
// The period that ends a marker keeps ;1 from matching ;12.
func (c *client) write(ctx context.Context) outcome {
	c.writes++
	serial := fmt.Sprintf(";%d", c.writes)
	tag, err := c.conn.Exec(ctx, fmt.Sprintf("UPDATE kv SET value = value || '%s' WHERE key = '%s'", serial+".", c.key))
	o := outcomeOf(err)
	if o == answered && tag.RowsAffected() != 1 {
		o = unknown
	}
	if o == answered {
		c.lastAcked = serial + "."
	}
	c.run.recordWrite(c.key, sentWrite{marker: serial + ".", outcome: o})
	return o
}

// reserve inserts the row of a part that another session may be reserving at the same time.
//
// A unique violation (SQLSTATE 23505) is a correct answer: the other session has the part.
func (c *client) reserve(ctx context.Context) outcome {
	part := c.run.nextPart()
	_, err := c.conn.Exec(ctx, fmt.Sprintf("INSERT INTO kv VALUES ('%s', 'session-%d')", part, c.number))
	if sqlState(err) == "23505" {
		return answered
	}
	o := outcomeOf(err)
	if o == answered {
		c.run.recordReservation(part)
	}
	return o
}

// read reads the session's row and checks that it contains the last acknowledged write.
//
// With stale set, the read accepts data of an age up to 10 s. SQLSTATE 40003
// reports that a failover lost a write of the session.
func (c *client) read(ctx context.Context, stale bool) outcome {
	hint := "/*class='read'*/"
	if stale {
		hint = "/*max_staleness='10s'*/"
	}
	var value string
	err := c.conn.QueryRow(ctx, fmt.Sprintf("%s SELECT value FROM kv WHERE key = '%s'", hint, c.key)).Scan(&value)
	if sqlState(err) == "40003" {
		c.run.recordLossReport(c.key)
		c.lastAcked = ""
		return answered
	}
	o := outcomeOf(err)
	if o == answered && !strings.Contains(value, c.lastAcked) {
		c.run.recordStaleRead()
	}
	return o
}

// readRow reads a row and retries until it succeeds or ctx ends; the value of a missing row is empty.
//
// The proxy routes the query to the primary, because it has no hint that marks it as a read.
func (c *client) readRow(ctx context.Context, key string) (string, error) {
	for {
		if err := c.connect(ctx); err != nil {
			return "", err
		}
		var value string
		err := c.conn.QueryRow(ctx, fmt.Sprintf("SELECT value FROM kv WHERE key = '%s'", key)).Scan(&value)
		if err == nil || errors.Is(err, pgx.ErrNoRows) {
			return value, nil
		}
		c.dropIfBroken()
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return "", err
		}
	}
}
