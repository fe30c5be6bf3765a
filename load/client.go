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

// client is one session.
type client struct {
	run    *run
	number int
	conn   *pgx.Conn
	key    string
	seen   string
	writes int
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close(context.Background())
		c.conn = nil
	}
}

// connect goes to the next instance after a failure, as a balancer would lead it.
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
		case <-time.After(connectWait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// create makes the session's row; the insert is repeated until the row is there.
func (c *client) create(ctx context.Context) {
	for ctx.Err() == nil {
		if c.connect(ctx) != nil {
			return
		}
		_, err := c.conn.Exec(ctx, fmt.Sprintf("INSERT INTO kv VALUES ('%s', '')", c.key))
		if err == nil || code(err) == "23505" {
			return
		}
		c.dropIfBroken()
	}
}

func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func (c *client) dropIfBroken() {
	if c.conn != nil && c.conn.IsClosed() {
		c.conn = nil
	}
}

func (c *client) request(ctx context.Context, k kind, intended time.Time) {
	if c.connect(ctx) != nil {
		return
	}
	var o outcome
	switch k {
	case kindWrite:
		o = c.write(ctx)
	case kindPart:
		o = c.reserve(ctx)
	default:
		o = c.read(ctx, k == kindStaleRead)
	}
	c.run.record(k, o, intended)
	c.dropIfBroken()
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return answered
	case strings.HasPrefix(code(err), "53"), strings.HasPrefix(code(err), "57P"), code(err) == "25006":
		return refused
	}
	return unknown
}

// write appends a mark to the session's row.
func (c *client) write(ctx context.Context) outcome {
	c.writes++
	id := fmt.Sprintf(";%d", c.writes)
	tag, err := c.conn.Exec(ctx, fmt.Sprintf("UPDATE kv SET value = value || '%s' WHERE key = '%s'", id+".", c.key))
	o := outcomeOf(err)
	if o == answered && tag.RowsAffected() != 1 {
		o = unknown
	}
	if o == answered {
		c.seen = id + "."
	}
	c.run.note(c.key, mark{id: id + ".", outcome: o})
	return o
}

// reserve takes a part that another session may be taking at the same time.
func (c *client) reserve(ctx context.Context) outcome {
	part := c.run.part()
	_, err := c.conn.Exec(ctx, fmt.Sprintf("INSERT INTO kv VALUES ('%s', 'session-%d')", part, c.number))
	if code(err) == "23505" {
		return answered
	}
	o := outcomeOf(err)
	if o == answered {
		c.run.own(part)
	}
	return o
}

// read reads the session's row and checks that its last acknowledged write is there.
func (c *client) read(ctx context.Context, stale bool) outcome {
	marks := "/*class='read'*/"
	if stale {
		marks = "/*max_staleness='10s'*/"
	}
	var value string
	err := c.conn.QueryRow(ctx, fmt.Sprintf("%s SELECT value FROM kv WHERE key = '%s'", marks, c.key)).Scan(&value)
	if code(err) == "40003" {
		c.run.toldOfLoss(c.key)
		c.seen = ""
		return answered
	}
	o := outcomeOf(err)
	if o == answered && !strings.Contains(value, c.seen) {
		c.run.stale()
	}
	return o
}

// row reads a row, as often as it takes until ctx ends.
func (c *client) row(ctx context.Context, key string) (string, error) {
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
		case <-time.After(connectWait):
		case <-ctx.Done():
			return "", err
		}
	}
}
