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

// patience bounds every wait; nothing in a test depends on how much of it is used.
const patience = 30 * time.Second

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

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("it did not come true: %s", what)
		}
	}
}

func url(f *dev.Fleet, n int) string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", f.Customer(), f.Instances()[n].CallerAddress(), f.Database())
}

func connectTo(t *testing.T, f *dev.Fleet, n int) *pgx.Conn {
	t.Helper()
	var c *pgx.Conn
	waitUntil(t, "a caller is taken", func() bool {
		var err error
		c, err = pgx.Connect(context.Background(), url(f, n))
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

func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func client(i *instance.Instance) operatorv1connect.OperatorServiceClient {
	return operator.NewClient(operator.ClientConfig{Address: i.OperatorAddress(), HTTP: peer.NewClient(nil)})
}

func apply(i *instance.Instance, text string, base uint64, id string) (uint64, error) {
	a, err := client(i).ApplyContract(context.Background(), connect.NewRequest(&operatorv1.ApplyContractRequest{
		Text: text, BaseRevision: base, RequestId: id, Author: "test",
	}))
	if err != nil {
		return 0, err
	}
	return a.Msg.GetRevision(), nil
}

func revisionOn(t *testing.T, f *dev.Fleet, n int) uint64 {
	t.Helper()
	a, err := client(f.Instances()[n]).GetContract(context.Background(), connect.NewRequest(&operatorv1.GetContractRequest{Customer: f.Customer()}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0
	}
	if err != nil {
		t.Fatal(err)
	}
	return a.Msg.GetContract().GetRevision()
}

// cutter breaks an instance's links while it is set.
type cutter struct {
	cut  atomic.Bool
	next http.RoundTripper
}

var errCut = errors.New("the link is cut")

func (c *cutter) RoundTrip(r *http.Request) (*http.Response, error) {
	if c.cut.Load() {
		return nil, errCut
	}
	return c.next.RoundTrip(r)
}

// gate holds back the platform's answers about groups until it is opened.
type gate struct {
	opened chan struct{}
	next   http.RoundTripper
}

func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/ListGroups") {
		select {
		case <-g.opened:
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return g.next.RoundTrip(r)
}
