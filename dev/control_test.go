package dev_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/peer"
)

// countedConn is a connection that counts the bytes read and written.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingClient returns a peer client that adds the bytes of its connections to a counter.
func countingClient(bytes *atomic.Int64) *http.Client {
	var d net.Dialer
	c := peer.NewClient(nil)
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		return countedConn{Conn: nc, bytes: bytes}, err
	}
	return c
}

// processTime returns the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleControl measures an instance without callers: bytes between peers, and processor time, including the share
// of the fakes.
func BenchmarkIdleControl(b *testing.B) {
	for _, instances := range []int{1, 3, 5, 9} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			var bytes atomic.Int64
			f, err := dev.Start(context.Background(), dev.Config{
				Instances:  instances,
				PeerClient: func(string) *http.Client { return countingClient(&bytes) },
			})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = f.Stop() }()
			warmup := time.NewTimer(3 * time.Second)
			<-warmup.C
			const duration = 4 * time.Second
			bytes.Store(0)
			used := processTime(b)
			measured := time.NewTimer(duration)
			<-measured.C
			used = processTime(b) - used
			instanceSeconds := duration.Seconds() * float64(instances)
			b.ReportMetric(float64(bytes.Load())/instanceSeconds, "peer-bytes/s")
			b.ReportMetric(100*used.Seconds()/instanceSeconds, "%core")
		})
	}
}
