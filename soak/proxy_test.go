package soak_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/soak"
)

// startEcho starts a server that echoes the bytes of each connection, and returns its address.
func startEcho(t *testing.T) string {
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
				_, _ = io.Copy(nc, nc)
				nc.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxyHoldsBackAndResets(t *testing.T) {
	p, err := soak.NewProxy("echo", startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	nc, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	answer := make([]byte, 1)
	exchange := func() error {
		if _, err := nc.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(nc, answer)
		return err
	}
	if err := exchange(); err != nil {
		t.Fatal(err)
	}
	for _, m := range []soak.Mode{soak.ModeSilent, soak.ModeDeaf} {
		p.SetMode(m)
		got := make(chan error, 1)
		go func() { got <- exchange() }()
		select {
		case err := <-got:
			t.Fatalf("got an answer in mode %v: %v", m, err)
		case <-time.After(20 * time.Millisecond):
		}
		p.SetMode(soak.ModePass)
		if err := <-got; err != nil {
			t.Fatalf("bytes held back in mode %v were not forwarded afterwards: %v", m, err)
		}
	}
	p.SetMode(soak.ModeRefuse)
	if err := exchange(); err == nil {
		t.Error("the connection is still open in mode refuse")
	}
}
