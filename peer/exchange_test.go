package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// idle is a backend that has nothing to tell.
type idle struct{}

func (idle) Lost(string, uint64) bool                    { return false }
func (idle) Cancel(context.Context, uint32, []byte) bool { return false }
func (idle) Lend(string, pool.LoanReport) int            { return 0 }
func (idle) Reported(string, pool.LoanReport)            {}
func (idle) Loans(string) []peer.Loan                    { return nil }
func (idle) ItemApplied(peer.ConfigItem)                 {}
func (idle) Evidence([]string) peer.AllEvidence          { return peer.AllEvidence{} }
func (idle) Revoke(string, uint64)                       {}
func (idle) PeerChanged()                                {}

// newNode runs a node whose seeds are the addresses given.
func newNode(t *testing.T, name string, seeds ...string) *peer.Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := peer.NewNode(peer.Config{
		Self:     membership.NewIdentity(membership.IdentityConfig{Name: name, Incarnation: 1, PeerAddress: l.Addr().String()}),
		Listener: l, Client: peer.NewClient(nil), Server: peer.NewServer(nil), Seeds: seeds, Interval: 5 * time.Millisecond,
		Backend: idle{}, Events: event.NewLog(event.LogConfig{}),
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

// A long configuration reaches all, but is not sent to who has it.
func TestALongItemIsPulled(t *testing.T) {
	one := newNode(t, "one")
	two := newNode(t, "two", one.Self().PeerAddress())
	long, short := strings.Repeat("x", 20_000), "short"
	one.Hold(item("long", long))
	one.Hold(item("short", short))
	deadline := time.Now().Add(20 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		a, gotLong := two.Item("long")
		_, gotShort := two.Item("short")
		if gotLong && gotShort {
			if a.Value().Text() != long {
				t.Fatal("the item is not what was held")
			}
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the items did not arrive")
		}
		<-tick.C
	}
	third := newNode(t, "three")
	third.Hold(item("long", long))
	client := peerv1connect.NewPeerServiceClient(peer.NewClient(nil), "http://"+third.Self().PeerAddress())
	answer, err := client.Exchange(t.Context(), connect.NewRequest(&peerv1.ExchangeRequest{News: &peerv1.News{
		From: &peerv1.Identity{Name: "asker", Incarnation: 1},
	}}))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(answer.Msg.GetNews().GetItems()); n != 0 {
		t.Errorf("%d items were sent unasked", n)
	}
}
