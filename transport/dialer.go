package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Config says how soon a silent peer is given up.
type Config struct {
	// Timeout bounds the dial; 0 leaves it to the context.
	Timeout time.Duration
	// Idle is how long a connection is unused before it is probed.
	Idle time.Duration
	// Interval is the time between probes.
	Interval time.Duration
	// Count is the number of unanswered probes that end the connection.
	Count int
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
}

// Dialer returns a dialer that sets keep-alive probes and TCP_USER_TIMEOUT.
func Dialer(cfg Config) *net.Dialer {
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
