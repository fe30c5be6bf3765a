package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
)

// newTurns returns connections to a member of a cluster of which one link may be at work at once.
func newTurns(c *cluster) *engine.Connections[*link] {
	return engine.NewConnections(engine.ConnectionsConfig[*link]{
		Endpoint: "a", Limit: 4, Turns: 1, Ordered: true,
		Dial: func(ctx context.Context, key string) (*link, error) {
			return c.dial(ctx, engine.Address{Endpoint: "a"}, key)
		},
	})
}

func request(customer string, priority int, target time.Duration) engine.Request {
	by := clock.Now().Add(target)
	return engine.Request{Customer: customer, QueueLimit: 100, Deadline: by, Target: by, MaxIdle: time.Hour, Priority: priority}
}

// The members' own queue is first come, first served: what would wait there must wait here, where the order is known.
func TestNoMoreLinksAreAtWorkThanTurns(t *testing.T) {
	conns := newTurns(newCluster())
	first, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	order := make(chan string, 2)
	for i, customer := range []string{"lookup", "booking"} {
		go func() {
			l, err := conns.Acquire(t.Context(), request(customer, 2-i, time.Minute))
			if err != nil {
				t.Error(err)
				return
			}
			order <- customer
			conns.Release(l)
		}()
		waitUntil(t, func() bool { return conns.Usage().Waiting() == i+1 })
	}
	conns.Release(first)
	if got := [2]string{<-order, <-order}; got != [2]string{"booking", "lookup"} {
		t.Errorf("served in the order %v, want the more urgent one first", got)
	}
}

func TestARestingTransactionKeepsItsLinkButNotItsTurn(t *testing.T) {
	conns := newTurns(newCluster())
	held, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Rest(held)
	other, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if err := conns.Resume(t.Context(), held, clock.Now().Add(10*time.Millisecond)); err == nil {
		t.Fatal("the transaction went on though the turn was taken")
	}
	resumed := make(chan error, 1)
	go func() { resumed <- conns.Resume(t.Context(), held, clock.Now().Add(time.Minute)) }()
	waitUntil(t, func() bool { return conns.Usage().Waiting() == 1 })
	conns.Release(other)
	if err := <-resumed; err != nil {
		t.Fatal(err)
	}
	conns.Release(held)
	if u := conns.Usage(); u.Open() != 2 || u.Idle() != 2 {
		t.Errorf("%d links open, %d idle; want 2 and 2", u.Open(), u.Idle())
	}
}

// A link that is discarded, or whose dial failed, gives its turn back at once.
func TestALostLinkGivesItsTurnBack(t *testing.T) {
	c := newCluster()
	conns := newTurns(c)
	lost, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Discard(lost)
	c.with("a", func(n *node) { n.down = true })
	if _, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute)); err == nil {
		t.Fatal("a member that is down was dialed")
	}
	c.with("a", func(n *node) { n.down = false })
	next, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Release(next)
}
