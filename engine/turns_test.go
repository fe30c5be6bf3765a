package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
)

// newTurns returns connections to a member of a cluster of which one link may be at work at once.
func newTurns(c *cluster) *engine.Connections[*link] {
	return engine.NewConnections(engine.ConnectionsConfig[*link]{
		Endpoint: "a", Limit: 4, Permits: 1, Ordered: true,
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
	conns.ReleasePermit(held)
	other, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if err := conns.ReacquirePermit(t.Context(), held, clock.Now().Add(10*time.Millisecond)); err == nil {
		t.Fatal("the transaction went on though the turn was taken")
	}
	resumed := make(chan error, 1)
	go func() { resumed <- conns.ReacquirePermit(t.Context(), held, clock.Now().Add(time.Minute)) }()
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

// The pattern: an endpoint takes no more links for seconds after a loss of power. The request that waits to dial again
// must not keep the transactions that hold a link from going on.
func TestWaitingToDialTakesNoTurn(t *testing.T) {
	c := newCluster()
	conns := newTurns(c)
	held, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.ReleasePermit(held)
	c.with("a", func(n *node) { n.fullFor = 1_000_000 })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := conns.Acquire(ctx, request("orders", 2, time.Minute))
		ended <- err
	}()
	refused := func() (n int) {
		c.with("a", func(m *node) { n = m.refusedDials })
		return n
	}
	// Each dial is further from the one before: the last of these waits for several tenths of a second.
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for refused() < 8 {
		if err := conns.ReacquirePermit(t.Context(), held, clock.Now().Add(120*time.Millisecond)); err != nil {
			t.Fatalf("the transaction did not go on while another request waited to dial: %v", err)
		}
		conns.ReleasePermit(held)
		<-tick.C
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("an endpoint without room gave a link")
	}
	c.with("a", func(n *node) { n.fullFor = 0 })
	next, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Release(next)
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

// The pattern: all instances lose power. Endpoints count their links for seconds more, so that what nobody used
// before keeps the places from the instances that start again.
func TestUnusedLinksAreClosedButOne(t *testing.T) {
	c := newCluster()
	conns := engine.NewConnections(engine.ConnectionsConfig[*link]{
		Endpoint: "a", Limit: 4, Ordered: true,
		Dial: func(ctx context.Context, key string) (*link, error) {
			return c.dial(ctx, engine.Address{Endpoint: "a"}, key)
		},
	})
	var held []*link
	for range 3 {
		l, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, l)
	}
	for _, l := range held {
		conns.Release(l)
	}
	conns.CloseIdle(time.Minute)
	if u := conns.Usage(); u.Idle() != 3 {
		t.Fatalf("%d links are left though they were just used, want 3", u.Idle())
	}
	conns.CloseIdle(0)
	waitUntil(t, func() bool { return conns.Usage().Open() == 1 })
}

// An instance that gets the evidence of leases from another one keeps no link for probes.
func TestAStandbyKeepsNoLinkForProbes(t *testing.T) {
	c := newCluster()
	dialed := make(chan *link, 100)
	g := engine.NewGroup(engine.GroupConfig[*link]{
		Name:          "orders",
		Members:       []engine.Address{{Endpoint: "a", Slots: 4}},
		ProbeInterval: time.Millisecond,
		ProbeTimeout:  time.Second,
		Lease:         time.Minute,
		Limit:         4,
		LinkIdle:      5 * time.Millisecond,
		Probing:       &route.Probing{Every: time.Minute, Idle: time.Minute, Kicked: time.Minute},
		Standby:       func() bool { return true },
		Dial: func(ctx context.Context, m engine.Address, key string) (*link, error) {
			l, err := c.dial(ctx, m, key)
			if err == nil {
				dialed <- l
			}
			return l, err
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	probe := <-dialed
	waitUntil(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return probe.closed
	})
}

// A grant that comes as its waiter gives up goes back, whichever is first.
func TestNoTurnIsLostWhereWaitersGiveUp(t *testing.T) {
	conns := newTurns(newCluster())
	const callers, rounds = 16, 400
	ended := make(chan struct{}, callers)
	for i := range callers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for n := range rounds {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration((i*n)%17)*20*time.Microsecond)
				r := request("orders", 2, time.Duration(1+(i+n)%9)*100*time.Microsecond)
				if l, err := conns.Acquire(ctx, r); err == nil {
					if n%3 == 0 {
						conns.ReleasePermit(l)
						if conns.ReacquirePermit(ctx, l, r.Deadline) != nil {
							conns.Discard(l)
							cancel()
							continue
						}
					}
					conns.Release(l)
				}
				cancel()
			}
		}()
	}
	for range callers {
		<-ended
	}
	waitUntil(t, func() bool { u := conns.Usage(); return u.Open() == u.Idle() && u.Running() == 0 })
}
