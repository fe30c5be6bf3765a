package peer

import (
	"crypto/tls"
	"net/http"
	"time"
)

const (
	// peerIdleTimeout is how long an unused connection to a peer is kept: many heartbeats.
	peerIdleTimeout = 30 * time.Second
	// headerTimeout is how long a client may take to send the head of a request.
	headerTimeout = time.Second
)

// NewClient returns an HTTP client for peers: over TLS with cfg, or over cleartext HTTP/2 without.
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
	}}
}

// NewServer returns an HTTP server for peers or operators: over TLS with cfg, or over cleartext HTTP without.
func NewServer(cfg *tls.Config) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	if cfg == nil {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Server{Protocols: &protocols, TLSConfig: cfg, ReadHeaderTimeout: headerTimeout}
}
