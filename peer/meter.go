package peer

import (
	"io"
	"net/http"
	"path"
	"sync"

	"github.com/uber-go/tally/v4"
)

// meteredTransport counts the calls to peers and the bytes of their bodies, as sent, by kind of call; it is safe for
// concurrent use.
type meteredTransport struct {
	next   http.RoundTripper
	scope  tally.Scope
	mu     sync.Mutex
	meters map[string]callMeters
}

// callMeters are the counters of one kind of call.
type callMeters struct {
	calls, failed, sent, received tally.Counter
}

func newMeteredTransport(next http.RoundTripper, scope tally.Scope) *meteredTransport {
	return &meteredTransport{next: next, scope: scope, meters: map[string]callMeters{}}
}

// RoundTrip makes a call and counts it; it fails with the error of the underlying transport.
func (t *meteredTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	m := t.metersOf(path.Base(req.URL.Path))
	m.calls.Inc(1)
	m.sent.Inc(max(0, req.ContentLength))
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		m.failed.Inc(1)
		return nil, err
	}
	resp.Body = &meteredBody{ReadCloser: resp.Body, received: m.received}
	return resp, nil
}

// metersOf returns the counters of a kind of call.
func (t *meteredTransport) metersOf(kind string) callMeters {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.meters[kind]
	if !ok {
		scope := t.scope.Tagged(map[string]string{"kind": kind})
		m = callMeters{
			calls: scope.Counter("peer_calls_total"), failed: scope.Counter("peer_calls_failed_total"),
			sent: scope.Counter("peer_bytes_sent_total"), received: scope.Counter("peer_bytes_received_total"),
		}
		t.meters[kind] = m
	}
	return m
}

// meteredBody counts the bytes that are read from an answer.
type meteredBody struct {
	io.ReadCloser
	received tally.Counter
}

// Read reads from the answer.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received.Inc(int64(n))
	return n, err
}
