package peer

import (
	"crypto/tls"
	"net/http"
	"time"
)

const (
	// peerIdleTimeout is the time after which an unused connection to a peer is closed; it spans several heartbeats. In a large
	// fleet the next call to a peer that is contacted in turn comes minutes later.
	peerIdleTimeout = 5 * time.Second
	// serverIdleTimeout ends connections whose client is gone without a trace: later than the client would end them.
	serverIdleTimeout = 12 * peerIdleTimeout
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
	return &http.Client{Transport: newLiveTransport(&http.Transport{
		Protocols:       &protocols,
		TLSClientConfig: cfg,
		IdleConnTimeout: peerIdleTimeout,
	})}
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
