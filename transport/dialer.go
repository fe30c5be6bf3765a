package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config bounds the time after which a dial fails and a connection to an unresponsive peer is closed.
type Config struct {
	// Timeout bounds the dial; 0 leaves it to the context.
	Timeout time.Duration
	// Idle is the time without traffic after which keep-alive probes are sent.
	Idle time.Duration
	// Interval is the time between probes.
	Interval time.Duration
	// Count is the number of unanswered probes after which the connection is closed.
	Count int
	// UserTimeout is the time for which sent bytes may remain unacknowledged before the connection is closed.
	UserTimeout time.Duration
}

// NewDialer returns a dialer that enables keep-alive probes and TCP_USER_TIMEOUT on its connections.
func NewDialer(cfg Config) *net.Dialer {
	return &net.Dialer{
		Timeout: cfg.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     cfg.Idle,
			Interval: cfg.Interval,
			Count:    cfg.Count,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var optErr error
			err := rc.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cfg.UserTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
		},
	}
}
