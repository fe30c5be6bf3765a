package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
)

// Guards against a burst of one account that is served before the others although it has used the endpoint for longer:
// ten waiters of one account, queued before one of another, at a single permit.
func TestMeasuredPermitTimeOrdersAccounts(t *testing.T) {
	conns := newSinglePermitConnections(newCluster())
	of := func(account string) engine.AcquireRequest {
		r := request("orders", 2, time.Minute)
		r.Account = account
		return r
	}
	first, err := conns.Acquire(t.Context(), of("burst"))
	if err != nil {
		t.Fatal(err)
	}
	const burst = 10
	order := make(chan string, burst+1)
	for i := range burst + 1 {
		account := "burst"
		if i == burst {
			account = "quiet"
		}
		go func() {
			l, err := conns.Acquire(t.Context(), of(account))
			if err != nil {
				t.Error(err)
				return
			}
			order <- account
			conns.Release(l)
		}()
		waitUntil(t, func() bool { return conns.Usage().Waiting() == i+1 })
	}
	conns.Release(first)
	if got := <-order; got != "quiet" {
		t.Errorf("the first served is a request of %s, want quiet: its account has used no permit time", got)
	}
	for range burst {
		<-order
	}
}

// Guards against a link of another account that is replaced although the account's own link is about to come back, and
// against a wait for a link that does not. Load: two accounts, two links, dials of 200 ms.
func TestWaitsForLinkExpectedBack(t *testing.T) {
	c := newCluster()
	dials := make(chan string, 10)
	conns := engine.NewConnections(engine.ConnectionsConfig[*fakeLink]{
		Endpoint: "a", Limit: 2, Permits: 2, Ordered: true,
		Dial: func(ctx context.Context, key string) (*fakeLink, error) {
			dials <- key
			if err := engine.Sleep(ctx, 200*time.Millisecond); err != nil {
				return nil, err
			}
			return c.dial(ctx, engine.Address{Endpoint: "a"}, key)
		},
	})
	acquire := func(key string) *fakeLink {
		r := request("orders", 2, time.Minute)
		r.Key, r.Account = key, key
		l, err := conns.Acquire(t.Context(), r)
		if err != nil {
			t.Error(err)
		}
		return l
	}
	conns.Release(acquire("other"))
	conns.Release(acquire("own"))
	held := acquire("own")
	next := make(chan *fakeLink)
	go func() { next <- acquire("own") }()
	waitUntil(t, func() bool { return conns.Usage().Waiting() == 1 })
	conns.Release(held)
	if got := <-next; got != held || len(dials) != 2 {
		t.Errorf("another link, after %d dials; want the link that came back, and no further dial", len(dials))
	}
	go func() { next <- acquire("own") }()
	waitUntil(t, func() bool { return len(dials) == 3 })
	if got := <-next; got == held {
		t.Error("the link in use was granted twice")
	}
}
