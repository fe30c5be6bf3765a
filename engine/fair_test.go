package engine_test

import (
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
