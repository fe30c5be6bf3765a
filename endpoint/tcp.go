package endpoint

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/monsoontiller/monsoontiller/transport"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	userTimeout       = 10 * time.Second
)

// dialTCP connects with keepalive and TCP_USER_TIMEOUT set, which detect an endpoint that became unreachable.
func dialTCP(ctx context.Context, cfg DialConfig) (net.Conn, error) {
	d := transport.NewDialer(transport.Config{
		Idle:        keepAliveIdle,
		Interval:    keepAliveInterval,
		Count:       keepAliveCount,
		UserTimeout: userTimeout,
	})
	nc, err := d.DialContext(ctx, "tcp", cfg.Address)
	if err != nil || cfg.TLS == nil {
		return nc, err
	}
	return startTLS(ctx, nc, cfg)
}

// sslRequest is the encoded SSLRequest message: its length and the request code 80877103.
var sslRequest = []byte{0, 0, 0, 8, 4, 210, 22, 47}

// startTLS requests TLS from the endpoint and performs the handshake; it fails when the endpoint declines TLS.
func startTLS(ctx context.Context, nc net.Conn, cfg DialConfig) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	response := make([]byte, 1)
	if _, err := nc.Write(sslRequest); err != nil {
		nc.Close()
		return nil, err
	}
	if _, err := nc.Read(response); err != nil {
		nc.Close()
		return nil, err
	}
	if response[0] != 'S' {
		nc.Close()
		return nil, errors.New("the endpoint does not offer TLS; enable it there or unset endpoint_ca")
	}
	tc := tls.Client(nc, cfg.TLS)
	if err := tc.HandshakeContext(ctx); err != nil {
		nc.Close()
		return nil, err
	}
	return tc, nil
}
