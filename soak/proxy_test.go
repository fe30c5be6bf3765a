package soak_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/soak"
)

// echo answers every connection with what it sends.
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
				_, _ = io.Copy(nc, nc)
				nc.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestAProxyHoldsBackAndResets(t *testing.T) {
	p, err := soak.NewProxy("echo", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	nc, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	answer := make([]byte, 1)
	ask := func() error {
		if _, err := nc.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(nc, answer)
		return err
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	for _, m := range []soak.Mode{soak.ModeSilent, soak.ModeDeaf} {
		p.SetMode(m)
		got := make(chan error, 1)
		go func() { got <- ask() }()
		select {
		case err := <-got:
			t.Fatalf("answered while %v: %v", m, err)
		case <-time.After(20 * time.Millisecond):
		}
		p.SetMode(soak.ModePass)
		if err := <-got; err != nil {
			t.Fatalf("what was held back while %v is gone: %v", m, err)
		}
	}
	p.SetMode(soak.ModeRefuse)
	if err := ask(); err == nil {
		t.Error("a connection outlived a reset")
	}
}
