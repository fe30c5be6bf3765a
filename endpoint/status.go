package endpoint

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// StatusQuery asks a member for its status.
const StatusQuery = "SELECT endpoint_status()"

// statusColumns is the number of columns in a status row.
const statusColumns = 7

// statusRequest asks for the status without a row description, as an unnamed statement: nothing of it stays on the connection.
var statusRequest = mustEncode(
	&pgproto3.Parse{Query: StatusQuery},
	&pgproto3.Bind{},
	&pgproto3.Execute{},
	&pgproto3.Sync{},
)

func mustEncode(msgs ...pgproto3.FrontendMessage) []byte {
	var raw []byte
	for _, m := range msgs {
		var err error
		if raw, err = m.Encode(raw); err != nil {
			panic("endpoint: a constant message cannot be encoded: " + err.Error())
		}
	}
	return raw
}

// QueueStatus appends a request for the status to what the next Flush sends; its answer ends with ReadyForQuery.
func (c *Conn) QueueStatus() { c.QueueRaw(statusRequest) }

// ParseStatus returns the status in a row of endpoint_status(); it fails with KindProtocol.
func ParseStatus(row *pgproto3.DataRow) (group.Status, error) {
	if len(row.Values) != statusColumns {
		return group.Status{}, badStatus(fmt.Errorf("%d columns, want %d", len(row.Values), statusColumns))
	}
	var numbers [3]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(string(row.Values[2+i]), 10, 64)
		if err != nil {
			return group.Status{}, badStatus(err)
		}
		numbers[i] = n
	}
	history, err := group.ParseHistory(string(row.Values[6]))
	if err != nil {
		return group.Status{}, badStatus(err)
	}
	return group.NewStatus(group.StatusConfig{
		Endpoint: string(row.Values[0]),
		Role:     group.ParseRole(string(row.Values[1])),
		Point:    group.NewPoint(group.Term(numbers[0]), group.Position(numbers[1])),
		Promised: group.Term(numbers[2]),
		Attempt:  string(row.Values[5]),
		History:  history,
	}), nil
}

func badStatus(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindProtocol,
		Message: "an endpoint's status cannot be read",
		Remedy:  "install the platform's endpoint functions of this release on the endpoint",
		Cause:   cause,
	})
}

// Status asks the endpoint for its status.
func (c *Conn) Status(ctx context.Context) (group.Status, error) {
	return c.ask(ctx, func() error {
		c.QueueStatus()
		return nil
	})
}

// simple returns a function that queues sql as a simple query.
func (c *Conn) simple(sql string) func() error {
	return func() error { return c.Queue(&pgproto3.Query{String: sql}) }
}

// Fence asks the endpoint to promise term to attempt and returns the status that follows.
func (c *Conn) Fence(ctx context.Context, term group.Term, attempt string) (group.Status, error) {
	return c.ask(ctx, c.simple(fmt.Sprintf("SELECT endpoint_fence(%d, %s)", term, quote(attempt))))
}

// Promote asks the endpoint to lead term for attempt and returns the status that follows.
func (c *Conn) Promote(ctx context.Context, term group.Term, attempt string) (group.Status, error) {
	return c.ask(ctx, c.simple(fmt.Sprintf("SELECT endpoint_promote(%d, %s)", term, quote(attempt))))
}

func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// ask runs a query that answers with one status row; after an error the connection must be closed.
func (c *Conn) ask(ctx context.Context, queue func() error) (status group.Status, err error) {
	err = c.rows(ctx, queue, func(row *pgproto3.DataRow) (err error) {
		status, err = ParseStatus(row)
		return err
	})
	return status, err
}

// rows runs a query within ctx and hands each row to take.
func (c *Conn) rows(ctx context.Context, queue func() error, take func(*pgproto3.DataRow) error) error {
	stop := context.AfterFunc(ctx, func() { c.nc.SetDeadline(time.Unix(1, 0)) })
	err := c.readRows(queue, take)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return err
}

func (c *Conn) readRows(queue func() error, take func(*pgproto3.DataRow) error) error {
	if err := queue(); err != nil {
		return err
	}
	if _, err := c.Flush(); err != nil {
		return engine.Unreachable(c.address, err)
	}
	var failure error
	for {
		msg, err := c.Receive()
		if err != nil {
			return engine.Unreachable(c.address, err)
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			failure = errors.Join(failure, take(m))
		case *pgproto3.ErrorResponse:
			failure = errors.Join(failure, refusedStartup(c.address, m))
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

// terminateQuery ends one process of this instance and no other's, even if the number has been given out again.
const terminateQuery = "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE pid = %d AND application_name = %s"

// terminate ends the process behind another connection of this instance; it reports true also when there is none any more.
func (c *Conn) terminate(ctx context.Context, pid uint32) (bool, error) {
	ended := true
	sql := fmt.Sprintf(terminateQuery, pid, quote(c.application))
	err := c.rows(ctx, c.simple(sql), func(row *pgproto3.DataRow) error {
		ended = len(row.Values) == 1 && string(row.Values[0]) == "t"
		return nil
	})
	return ended, err
}
