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

// StatusQuery is the SQL statement that returns a member's status.
const StatusQuery = "SELECT endpoint_status()"

// statusColumns is the number of columns in a status row.
const statusColumns = 7

// statusRequest is StatusQuery in the extended protocol. It has no Describe message, so the answer has no row
// description, and uses the unnamed statement, so no named statement remains on the connection.
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

// QueueStatus appends a status query to the output buffer; its answer ends with ReadyForQuery.
func (c *Conn) QueueStatus() { c.QueueRaw(statusRequest) }

// ParseStatus parses a row of endpoint_status(); it fails with KindProtocol.
func ParseStatus(row *pgproto3.DataRow) (group.Status, error) {
	if len(row.Values) != statusColumns {
		return group.Status{}, invalidStatus(fmt.Errorf("%d columns, want %d", len(row.Values), statusColumns))
	}
	var numbers [3]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(string(row.Values[2+i]), 10, 64)
		if err != nil {
			return group.Status{}, invalidStatus(err)
		}
		numbers[i] = n
	}
	history, err := group.ParseHistory(string(row.Values[6]))
	if err != nil {
		return group.Status{}, invalidStatus(err)
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

func invalidStatus(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindProtocol,
		Message: "an endpoint's status row cannot be parsed",
		Remedy:  "install the platform's endpoint functions of this release on the endpoint",
		Cause:   cause,
	})
}

// Status queries the endpoint's status.
func (c *Conn) Status(ctx context.Context) (group.Status, error) {
	return c.queryStatus(ctx, func() error {
		c.QueueStatus()
		return nil
	})
}

// simpleQuery returns a function that queues sql as a Query message, in the simple query protocol.
func (c *Conn) simpleQuery(sql string) func() error {
	return func() error { return c.Queue(&pgproto3.Query{String: sql}) }
}

// Fence requests that the endpoint promise term to attempt and returns the resulting status.
func (c *Conn) Fence(ctx context.Context, term group.Term, attempt string) (group.Status, error) {
	return c.queryStatus(ctx, c.simpleQuery(fmt.Sprintf("SELECT endpoint_fence(%d, %s)", term, quote(attempt))))
}

// Promote requests that the endpoint become the primary of term for attempt and returns the resulting status.
func (c *Conn) Promote(ctx context.Context, term group.Term, attempt string) (group.Status, error) {
	return c.queryStatus(ctx, c.simpleQuery(fmt.Sprintf("SELECT endpoint_promote(%d, %s)", term, quote(attempt))))
}

func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// queryStatus runs a query that returns one status row; after an error the connection must be closed.
func (c *Conn) queryStatus(ctx context.Context, queue func() error) (status group.Status, err error) {
	err = c.queryRows(ctx, queue, func(row *pgproto3.DataRow) (err error) {
		status, err = ParseStatus(row)
		return err
	})
	return status, err
}

// queryRows runs a query within ctx and calls handleRow for each row.
func (c *Conn) queryRows(ctx context.Context, queue func() error, handleRow func(*pgproto3.DataRow) error) error {
	stop := context.AfterFunc(ctx, func() { c.nc.SetDeadline(time.Unix(1, 0)) })
	err := c.readRows(queue, handleRow)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return err
}

func (c *Conn) readRows(queue func() error, handleRow func(*pgproto3.DataRow) error) error {
	if err := queue(); err != nil {
		return err
	}
	if _, err := c.Flush(); err != nil {
		return engine.Unreachable(c.address, err)
	}
	var rowErrs error
	for {
		msg, err := c.Receive()
		if err != nil {
			return engine.Unreachable(c.address, err)
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			rowErrs = errors.Join(rowErrs, handleRow(m))
		case *pgproto3.ErrorResponse:
			rowErrs = errors.Join(rowErrs, errorFromResponse(c.address, m))
		case *pgproto3.ReadyForQuery:
			return rowErrs
		}
	}
}

// terminateQuery ends a server process only if it belongs to this instance, since the endpoint may have reused the pid.
const terminateQuery = "SELECT pg_terminate_backend(pid) FROM pg_stat_activity WHERE pid = %d AND application_name = %s"

// terminate runs terminateQuery for pid and reports whether it succeeded. Without a matching row it did: the process had
// ended before.
func (c *Conn) terminate(ctx context.Context, pid uint32) (bool, error) {
	ended := true
	sql := fmt.Sprintf(terminateQuery, pid, quote(c.application))
	err := c.queryRows(ctx, c.simpleQuery(sql), func(row *pgproto3.DataRow) error {
		ended = len(row.Values) == 1 && string(row.Values[0]) == "t"
		return nil
	})
	return ended, err
}
