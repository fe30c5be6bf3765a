package dev_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/instance"
	"github.com/monsoontiller/monsoontiller/operator"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1/operatorv1connect"
	"github.com/monsoontiller/monsoontiller/peer"
)

// maxWait bounds every wait. It is only a failure limit: no result of a test depends on the duration of a wait.
const maxWait = 30 * time.Second

func startFleet(t *testing.T, cfg dev.Config) *dev.Fleet {
	t.Helper()
	f, err := dev.Start(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil && !t.Failed() {
			t.Logf("stop: %v", err)
		}
	})
	for _, i := range f.Instances() {
		waitUntil(t, "an instance is ready", i.Ready)
	}
	return f
}

func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("condition not met in time: %s", condition)
		}
	}
}

func callerURL(f *dev.Fleet, n int) string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", f.Customer(), f.Instances()[n].CallerAddress(), f.Database())
}

func connectCaller(t *testing.T, f *dev.Fleet, n int) *pgx.Conn {
	t.Helper()
	var c *pgx.Conn
	waitUntil(t, "a caller is accepted", func() bool {
		var err error
		c, err = pgx.Connect(context.Background(), callerURL(f, n))
		return err == nil
	})
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string) {
	t.Helper()
	if _, err := c.Exec(context.Background(), sql); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func operatorClient(i *instance.Instance) operatorv1connect.OperatorServiceClient {
	return operator.NewClient(operator.ClientConfig{Address: i.OperatorAddress(), HTTP: peer.NewClient(nil)})
}

func applyContract(i *instance.Instance, text string, base uint64, id string) (uint64, error) {
	resp, err := operatorClient(i).ApplyContract(context.Background(), connect.NewRequest(&operatorv1.ApplyContractRequest{
		Text: text, BaseRevision: base, RequestId: id, Author: "test",
	}))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetRevision(), nil
}

func revisionOn(t *testing.T, f *dev.Fleet, n int) uint64 {
	t.Helper()
	resp, err := operatorClient(f.Instances()[n]).GetContract(context.Background(), connect.NewRequest(&operatorv1.GetContractRequest{Customer: f.Customer()}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0
	}
	if err != nil {
		t.Fatal(err)
	}
	return resp.Msg.GetContract().GetRevision()
}

// partition is a transport that fails every request while active is set.
type partition struct {
	active atomic.Bool
	next   http.RoundTripper
}

var errPartitioned = errors.New("the instance is partitioned")

func (p *partition) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.active.Load() {
		return nil, errPartitioned
	}
	return p.next.RoundTrip(r)
}

// groupsGate is a transport that delays ListGroups requests until opened is closed.
type groupsGate struct {
	opened chan struct{}
	next   http.RoundTripper
}

func (g *groupsGate) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/ListGroups") {
		select {
		case <-g.opened:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return g.next.RoundTrip(r)
}
