package peer_test

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// emptyBackend is a backend without sessions, loans and evidence.
type emptyBackend struct{}

func (emptyBackend) PrimaryLost(string, uint64) bool             { return false }
func (emptyBackend) Cancel(context.Context, uint32, []byte) bool { return false }
func (emptyBackend) Lend(string, pool.LoanReport) int            { return 0 }
func (emptyBackend) ApplyReport(string, pool.LoanReport)         {}
func (emptyBackend) Loans(string) []peer.Loan                    { return nil }
func (emptyBackend) ItemApplied(peer.ConfigItem)                 {}
func (emptyBackend) Evidence([]string) peer.LeaseEvidence        { return peer.LeaseEvidence{} }
func (emptyBackend) Revoke(string, failover.Revoke)              {}
func (emptyBackend) PeerChanged()                                {}

// LendTokens lends no quota tokens.
func (emptyBackend) LendTokens(map[string]float64) map[string]float64 { return nil }

// startNode runs a node with the given seeds, which exchanges every 5 ms, until the test ends.
func startNode(t *testing.T, name string, seeds ...string) *peer.Node {
	t.Helper()
	return startNodeWithInterval(t, name, 5*time.Millisecond, seeds...)
}

// startNodeWithInterval runs a node with the given interval of exchanges and seeds until the test ends.
func startNodeWithInterval(t *testing.T, name string, interval time.Duration, seeds ...string) *peer.Node {
	t.Helper()
	return startNodeWith(t, name, interval, emptyBackend{}, seeds...)
}

// startNodeWithBackend runs a node with the given backend until the test ends.
func startNodeWithBackend(t *testing.T, name string, b peer.Backend) *peer.Node {
	t.Helper()
	return startNodeWith(t, name, 5*time.Millisecond, b)
}

func startNodeWith(t *testing.T, name string, interval time.Duration, b peer.Backend, seeds ...string) *peer.Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := peer.NewNode(peer.Config{
		Self:     membership.NewIdentity(membership.IdentityConfig{Name: name, Incarnation: 1, PeerAddress: l.Addr().String()}),
		Listener: l, Client: peer.NewClient(nil), Server: peer.NewServer(nil), Seeds: seeds, Interval: interval,
		Backend: b, Events: event.NewLog(event.LogConfig{}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return n
}

func item(key, text string) peer.ConfigItem {
	return membership.NewItem(key, 7, membership.NewEntry(membership.EntryConfig{Text: text}))
}

// Items applied without a delta, short or long, must reach peers by repair. They must not be part of a heartbeat: each
// instance would receive them from most of its peers.
func TestItemsWithoutDeltaArePulled(t *testing.T) {
	source := startNode(t, "one")
	receiver := startNode(t, "two", source.Self().PeerAddress())
	long, short := strings.Repeat("x", 20_000), "short"
	source.ApplyWithoutDelta(item("long", long))
	source.ApplyWithoutDelta(item("short", short))
	deadline := time.Now().Add(20 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		got, gotLong := receiver.Item("long")
		_, gotShort := receiver.Item("short")
		if gotLong && gotShort {
			if got.Value().Text() != long {
				t.Fatal("the received text differs from the applied one")
			}
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the items did not reach the second node")
		}
		<-tick.C
	}
	node := startNode(t, "three")
	node.ApplyWithoutDelta(item("long", long))
	client := peerv1connect.NewPeerServiceClient(peer.NewClient(nil), "http://"+node.Self().PeerAddress())
	answer, err := client.Exchange(t.Context(), connect.NewRequest(&peerv1.ExchangeRequest{News: &peerv1.News{
		From: &peerv1.Identity{Name: "asker", Incarnation: 1},
	}}))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(answer.Msg.GetNews().GetItems()); n != 0 {
		t.Errorf("%d items were pushed in a heartbeat, want none", n)
	}
}

// Load: a planned change of a primary while the instances restart in turn. An instance that shuts down has left the fleet
// but still serves its callers with its lease; unless it ends the lease on request, the promotion waits until it has lapsed.
func TestRevocationReachesInstanceThatShutsDown(t *testing.T) {
	one := startNode(t, "one")
	two := startNode(t, "two", one.Self().PeerAddress())
	waitUntil := func(done func() bool) {
		t.Helper()
		deadline := time.Now().Add(20 * time.Second)
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for !done() {
			if time.Now().After(deadline) {
				t.Fatal("the condition is still false after 20s")
			}
			<-tick.C
		}
	}
	waitUntil(func() bool { return len(one.Others()) == 1 })
	two.Leave()
	waitUntil(func() bool { return len(one.Others()) == 0 })
	registered := map[string]bool{"one": true, "two": true}
	got := one.Revoke(context.Background(), "orders", failover.Revoke{Term: 1}, func(name string) bool { return registered[name] })
	if len(got) != 1 || got[0] != "two" {
		t.Errorf("the instances %v confirmed, want the one that shuts down", got)
	}
	if got := one.Revoke(context.Background(), "orders", failover.Revoke{Term: 1}, func(string) bool { return false }); len(got) != 0 {
		t.Errorf("the instances %v confirmed after all registrations were removed", got)
	}
}

// The traffic between instances must be attributable to a kind of call.
func TestCallsAndBytesAreCountedByKind(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	source := startNode(t, "one")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := peer.NewNode(peer.Config{
		Self:   membership.NewIdentity(membership.IdentityConfig{Name: "two", Incarnation: 1, PeerAddress: l.Addr().String()}),
		Client: peer.NewClient(nil), Seeds: []string{source.Self().PeerAddress()}, Backend: emptyBackend{}, Scope: scope,
		Events: event.NewLog(event.LogConfig{}),
	})
	n.ExchangeRound(t.Context())
	counters := scope.Snapshot().Counters()
	for _, name := range []string{"peer_calls_total", "peer_bytes_sent_total", "peer_bytes_received_total"} {
		if c, ok := counters[name+"+kind=Exchange"]; !ok || c.Value() == 0 {
			t.Errorf("%s is not counted for heartbeats", name)
		}
	}
}

// Load: all instances start at once, and their first exchanges are long. If each message that is compressed allocated a
// compressor, an idle instance would collect its heap for each of them.
func TestCompressionAllocatesNoWriterPerMessage(t *testing.T) {
	// Only the receiver initiates exchanges, so that one message at a time is compressed.
	source := startNodeWithInterval(t, "one", time.Hour)
	receiver := startNode(t, "two", source.Self().PeerAddress())
	exchangeLong := func(revision membership.Revision) {
		long := membership.NewItem("long", revision, membership.NewEntry(membership.EntryConfig{Text: strings.Repeat("x", 20_000)}))
		source.ApplyWithoutDelta(long)
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for {
			if held, ok := receiver.Item("long"); ok && held.Revision() == revision {
				return
			}
			<-tick.C
		}
	}
	exchangeLong(1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const messages = 20
	for k := range messages {
		runtime.GC()
		exchangeLong(membership.Revision(2 + k))
	}
	runtime.ReadMemStats(&after)
	if each, limit := (after.TotalAlloc-before.TotalAlloc)/messages, writerSize(t); each > limit {
		t.Errorf("%d bytes allocated for each long message, want less than the %d of a compressor", each, limit)
	}
}

// writerSize returns the number of bytes that a compressor allocates for its first message.
func writerSize(t *testing.T) uint64 {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	w := gzip.NewWriter(io.Discard)
	if _, err := w.Write(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
