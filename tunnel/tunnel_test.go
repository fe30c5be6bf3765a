package tunnel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/tunnel"
)

// echo listens on an address until the test ends and sends back what it receives.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				io.Copy(nc, nc)
			}()
		}
	}()
	return l.Addr().String()
}

func startTunnel(t *testing.T, allow func(string) bool) string {
	t.Helper()
	var d net.Dialer
	s, err := tunnel.NewServer(tunnel.ServerConfig{Address: "127.0.0.1:0", Allow: allow, Dial: d.DialContext})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s.Address()
}

func dial(t *testing.T, peer, target string) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var d net.Dialer
	return tunnel.Dial(ctx, tunnel.DialConfig{Peer: peer, Target: target, Dial: d.DialContext})
}

func TestTunnelRelaysBothWays(t *testing.T) {
	target := echo(t)
	peer := startTunnel(t, func(address string) bool { return address == target })
	nc, err := dial(t, peer, target)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, "START orders\r\n"); err != nil {
		t.Fatal(err)
	}
	got, err := bufio.NewReader(nc).ReadString('\n')
	if err != nil || got != "START orders\r\n" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestTunnelReachesOnlyEndpoints(t *testing.T) {
	peer := startTunnel(t, func(string) bool { return false })
	if nc, err := dial(t, peer, echo(t)); err == nil {
		nc.Close()
		t.Fatal("a tunnel to an address that is not an endpoint was accepted")
	}
}

func TestTunnelReportsARefusedTarget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := l.Addr().String()
	l.Close()
	peer := startTunnel(t, func(string) bool { return true })
	if nc, err := dial(t, peer, target); err == nil {
		nc.Close()
		t.Fatal("a tunnel to a closed port was accepted")
	}
}
