package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
)

// newSinglePermitConnections returns connections to a member of a cluster with a single permit.
func newSinglePermitConnections(c *cluster) *engine.Connections[*fakeLink] {
	return engine.NewConnections(engine.ConnectionsConfig[*fakeLink]{
		Endpoint: "a", Limit: 4, Permits: 1, Ordered: true,
		Dial: func(ctx context.Context, key string) (*fakeLink, error) {
			return c.dial(ctx, engine.Address{Endpoint: "a"}, key)
		},
	})
}

func request(customer string, priority int, target time.Duration) engine.AcquireRequest {
	deadline := clock.Now().Add(target)
	return engine.AcquireRequest{Customer: customer, QueueLimit: 100, Deadline: deadline, Target: deadline, MaxIdle: time.Hour, Priority: priority}
}

// The members' own queues are first come, first served; requests must therefore wait in the proxy, which knows their
// priorities.
func TestRunningLinksAreLimitedByPermits(t *testing.T) {
	conns := newSinglePermitConnections(newCluster())
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
		t.Errorf("served in the order %v, want booking before lookup", got)
	}
}

func TestIdleTransactionKeepsLinkWithoutPermit(t *testing.T) {
	conns := newSinglePermitConnections(newCluster())
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
		t.Fatal("the permit was reacquired while another link held it")
	}
	reacquired := make(chan error, 1)
	go func() { reacquired <- conns.ReacquirePermit(t.Context(), held, clock.Now().Add(time.Minute)) }()
	waitUntil(t, func() bool { return conns.Usage().Waiting() == 1 })
	conns.Release(other)
	if err := <-reacquired; err != nil {
		t.Fatal(err)
	}
	conns.Release(held)
	if u := conns.Usage(); u.Open() != 2 || u.Idle() != 2 {
		t.Errorf("%d links open, %d idle; want 2 and 2", u.Open(), u.Idle())
	}
}

// After a power loss, an endpoint is at its connection limit for seconds. A request that waits to dial again must not
// block the transactions that hold a link.
func TestWaitingToDialHoldsNoPermit(t *testing.T) {
	c := newCluster()
	conns := newSinglePermitConnections(c)
	held, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.ReleasePermit(held)
	c.with("a", func(m *member) { m.dialsToRefuse = 1_000_000 })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := conns.Acquire(ctx, request("orders", 2, time.Minute))
		ended <- err
	}()
	refused := func() (n int) {
		c.with("a", func(m *member) { n = m.refusedDials })
		return n
	}
	// The time between dials grows: the last of these waits for several tenths of a second.
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for refused() < 8 {
		if err := conns.ReacquirePermit(t.Context(), held, clock.Now().Add(120*time.Millisecond)); err != nil {
			t.Fatalf("the permit was not reacquired while another request waited to dial: %v", err)
		}
		conns.ReleasePermit(held)
		<-tick.C
	}
	cancel()
	if err := <-ended; err == nil {
		t.Error("acquired a link of an endpoint at its connection limit")
	}
	c.with("a", func(m *member) { m.dialsToRefuse = 0 })
	next, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Release(next)
}

// A link that is discarded, or whose dial failed, releases its permit at once.
func TestLostLinkReleasesPermit(t *testing.T) {
	c := newCluster()
	conns := newSinglePermitConnections(c)
	lost, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Discard(lost)
	c.with("a", func(m *member) { m.down = true })
	if _, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute)); err == nil {
		t.Fatal("acquired a link of a member that is down")
	}
	c.with("a", func(m *member) { m.down = false })
	next, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Release(next)
}

// When all instances crash, endpoints still count their links for seconds. Idle links would then use up the connection
// limit that the restarted instances need.
func TestIdleLinksAreClosedExceptOne(t *testing.T) {
	c := newCluster()
	conns := engine.NewConnections(engine.ConnectionsConfig[*fakeLink]{
		Endpoint: "a", Limit: 4, Ordered: true,
		Dial: func(ctx context.Context, key string) (*fakeLink, error) {
			return c.dial(ctx, engine.Address{Endpoint: "a"}, key)
		},
	})
	var held []*fakeLink
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
		t.Fatalf("%d idle links, want 3: they were just used", u.Idle())
	}
	conns.CloseIdle(0)
	waitUntil(t, func() bool { return conns.Usage().Open() == 1 })
}

// Load: connections go silent for good without a reset. Once one link is lost without an acknowledgment, requests must not be
// sent over the others that have been idle since before, of which each would cost a request its deadline.
func TestIdleLinksEndWithUnresponsiveLink(t *testing.T) {
	c := newCluster()
	conns := newSinglePermitConnections(c)
	conns.SetPermits(0)
	var held []*fakeLink
	for range 3 {
		l, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, l)
	}
	conns.Release(held[1])
	conns.Release(held[2])
	used, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	conns.Release(held[0])
	used.unresponsive = true
	conns.Discard(used)
	waitUntil(t, func() bool { return conns.Usage().Open() == 1 })
	next, err := conns.Acquire(t.Context(), request("orders", 2, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if next != held[0] {
		t.Error("the next request uses a link that was idle before the unresponsive one was used, want the one that answered since")
	}
}

// An instance that receives the lease evidence from another one closes its idle link for probes.
func TestStandbyClosesIdleProbeLink(t *testing.T) {
	c := newCluster()
	dialed := make(chan *fakeLink, 100)
	g := engine.NewGroup(engine.GroupConfig[*fakeLink]{
		Name:          "orders",
		Members:       []engine.Address{{Endpoint: "a", Slots: 4}},
		ProbeInterval: time.Millisecond,
		ProbeTimeout:  time.Second,
		Lease:         time.Minute,
		Limit:         4,
		MaxLinkIdle:   5 * time.Millisecond,
		Probing:       &route.Probing{RenewalAge: time.Minute, MaxStatusAge: time.Minute, TriggeredAge: time.Minute},
		Standby:       func() bool { return true },
		Dial: func(ctx context.Context, m engine.Address, key string) (*fakeLink, error) {
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

// A grant that is delivered just as its waiter times out is returned, whichever happens first.
func TestTimedOutWaitersLeakNoPermit(t *testing.T) {
	conns := newSinglePermitConnections(newCluster())
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
