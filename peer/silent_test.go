package peer_test

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/transport/transporttest"
)

// silentBound is how long calls may fail after an open connection went silent: a watched peer that answers no call for
// longer is declared dead.
const silentBound = 2 * time.Second

// Guards against calls that fail for good on a connection which has gone silent without a reset: the peer would be
// declared dead, although new connections to it work.
func TestSilentConnectionToPeerIsReplaced(t *testing.T) {
	proxy, err := transporttest.NewProxy(startNode(t, "one").Self().PeerAddress())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- proxy.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	client := peerv1connect.NewPeerServiceClient(peer.NewClient(nil), "http://"+proxy.Address())
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.View(ctx, connect.NewRequest(&peerv1.ViewRequest{Group: "g", Term: 1}))
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	proxy.Silence()
	silencedAt := time.Now()
	for {
		err := call()
		if err == nil {
			return
		}
		if failing := time.Since(silencedAt); failing > silentBound {
			t.Fatalf("calls fail for %v, want at most %v: %v", failing, silentBound, err)
		}
	}
}
