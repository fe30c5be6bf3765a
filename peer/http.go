package peer

import (
	"crypto/tls"
	"net/http"
	"time"
)

// Limits on connections to peers. An open connection can stop delivering bytes for good, without a reset, while new
// ones work; calls on it fail until it is closed.
const (
	// pingAfter is the time without a frame after which a connection is checked by a ping: longer than the interval of
	// heartbeats, so that a connection in use needs none.
	pingAfter = 600 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping, after which the connection is closed.
	pingTimeout = 500 * time.Millisecond
)

const (
	// peerIdleTimeout is the time after which an unused connection to a peer is closed; it spans many heartbeats.
	peerIdleTimeout = 30 * time.Second
	// serverIdleTimeout ends connections whose client is gone without a trace: later than the client would end them.
	serverIdleTimeout = 2 * peerIdleTimeout
	// headerTimeout bounds the time in which a client must send the header of a request.
	headerTimeout = time.Second
)

// NewClient returns an HTTP/2 client for peers; it uses TLS unless cfg is nil.
func NewClient(cfg *tls.Config) *http.Client {
	var protocols http.Protocols
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Client{Transport: &http.Transport{
		Protocols:       &protocols,
		TLSClientConfig: cfg,
		IdleConnTimeout: peerIdleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// NewServer returns an HTTP server for peers or operators; it uses TLS unless cfg is nil.
func NewServer(cfg *tls.Config) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Server{Protocols: &protocols, TLSConfig: cfg, ReadHeaderTimeout: headerTimeout, IdleTimeout: serverIdleTimeout}
}
