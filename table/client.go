package table

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/table/platformv1"
	"github.com/monsoontiller/monsoontiller/table/platformv1/platformv1connect"
)

// ClientConfig describes a client of the platform's service.
type ClientConfig struct {
	URL  string
	HTTP *http.Client
	// Timeout bounds a call; 0 means defaultTimeout.
	Timeout time.Duration
}

// Client calls the platform's service; it is safe for concurrent use.
type Client struct {
	rpc     platformv1connect.PlatformServiceClient
	timeout time.Duration
}

// defaultTimeout is the default of ClientConfig.Timeout.
const defaultTimeout = 2 * time.Second

// NewClient returns a client; it connects with the first call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.HTTP == nil {
		cfg.HTTP = http.DefaultClient
	}
	return &Client{
		rpc:     platformv1connect.NewPlatformServiceClient(cfg.HTTP, cfg.URL),
		timeout: cfg.Timeout,
	}
}

// Row is one row of the table.
type Row struct {
	key     string
	value   []byte
	version uint64
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's content.
func (r Row) Value() []byte { return r.value }

// Version returns the row's version, or 0 when the row is absent.
func (r Row) Version() uint64 { return r.version }

// call runs one call within the client's timeout; any error becomes one of KindUnavailable.
func call[Q, A any](ctx context.Context, c *Client, f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), req *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := f(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.KindUnavailable,
			Message: "the platform's service did not answer",
			Remedy:  "no immediate action is needed, since the current configuration stays in force; check the platform if the outage persists",
			Cause:   err,
		})
	}
	return resp.Msg, nil
}

// Get returns one row for each key, in the order of keys; an absent row has version 0.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	resp, err := call(ctx, c, c.rpc.Get, &platformv1.GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	found := rowsOf(resp.GetRows())
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i] = Row{key: key}
		for _, r := range found {
			if r.key == key {
				rows[i] = r
			}
		}
	}
	return rows, nil
}

func rowsOf(rows []*platformv1.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{key: r.GetKey(), value: r.GetValue(), version: r.GetVersion()})
	}
	return out
}

// listPage is the maximum number of rows that List reads with one call to the service.
const listPage = 500

// List returns the rows whose keys start with prefix and are greater than after, in ascending order of keys.
func (c *Client) List(ctx context.Context, prefix, after string) ([]Row, error) {
	var out []Row
	for {
		resp, err := call(ctx, c, c.rpc.List, &platformv1.ListRequest{Prefix: prefix, After: after, Limit: listPage})
		if err != nil {
			return nil, err
		}
		page := rowsOf(resp.GetRows())
		out = append(out, page...)
		if len(page) < listPage {
			return out, nil
		}
		after = page[len(page)-1].key
	}
}

// Condition requires that a row has the given version; version 0 requires that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets the value of a row, which it creates if absent.
type Write struct {
	Key   string
	Value []byte
}

// Transact writes rows atomically if all conditions hold, and reports whether they did.
//
// After a KindUnavailable error the writes may have taken effect; the caller must read the rows to resolve this.
func (c *Client) Transact(ctx context.Context, conditions []Condition, writes []Write) (bool, error) {
	req := &platformv1.TransactRequest{}
	for _, condition := range conditions {
		req.Conditions = append(req.Conditions, &platformv1.Condition{Key: condition.Key, Version: condition.Version})
	}
	for _, write := range writes {
		req.Writes = append(req.Writes, &platformv1.Write{Key: write.Key, Value: write.Value})
	}
	resp, err := call(ctx, c, c.rpc.Transact, req)
	if err != nil {
		return false, err
	}
	return resp.GetCommitted(), nil
}

// Groups returns the database groups.
func (c *Client) Groups(ctx context.Context) ([]*platformv1.Group, error) {
	resp, err := call(ctx, c, c.rpc.ListGroups, &platformv1.ListGroupsRequest{})
	return resp.GetGroups(), err
}
