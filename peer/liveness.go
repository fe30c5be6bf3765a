package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// minSilence is how long a call must have waited for its end to tell something about the connection.
const minSilence = 200 * time.Millisecond

// liveTransport closes connections on which a call ended without an answer while they delivered no bytes; it is safe for
// concurrent use.
//
// An open connection can stop delivering bytes for good, without a reset, while new ones
// work. The calls to a peer share a connection, and a call that times out does not end it,
// so that all later calls would fail too.
type liveTransport struct {
	base *http.Transport
	mu   sync.Mutex
	// conns holds the open connections to each address.
	conns map[string]map[*countedConn]struct{}
}

func newLiveTransport(base *http.Transport) *liveTransport {
	t := &liveTransport{base: base, conns: map[string]map[*countedConn]struct{}{}}
	base.DialContext = t.dial
	return t
}

// RoundTrip makes a call; it fails with the error of the underlying transport.
func (t *liveTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	before, startedAt := t.counts(req.URL.Host), time.Now()
	resp, err := t.base.RoundTrip(req)
	if err != nil && req.Context().Err() != nil && time.Since(startedAt) >= minSilence {
		for _, c := range before {
			c.closeIfSilent()
		}
	}
	return resp, err
}

// dial opens a connection whose reads are counted.
func (t *liveTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countedConn{Conn: nc}
	c.forget = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns[address], c)
		if len(t.conns[address]) == 0 {
			delete(t.conns, address)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*countedConn]struct{}{}
	}
	t.conns[address][c] = struct{}{}
	return c, nil
}

// counts returns the open connections to an address with the number of their reads so far.
func (t *liveTransport) counts(address string) []readCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var counts []readCount
	for c := range t.conns[address] {
		counts = append(counts, readCount{conn: c, reads: c.reads.Load()})
	}
	return counts
}

// readCount is the number of reads of a connection at the start of a call.
type readCount struct {
	conn  *countedConn
	reads uint64
}

// closeIfSilent closes the connection if it has delivered nothing since.
func (r readCount) closeIfSilent() {
	if r.conn.reads.Load() == r.reads {
		r.conn.Close()
	}
}

// countedConn is a connection that counts the reads that returned bytes.
type countedConn struct {
	net.Conn
	reads  atomic.Uint64
	once   sync.Once
	forget func()
}

// Read reads from the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.forget)
	return c.Conn.Close()
}
