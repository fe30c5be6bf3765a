package main

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/transport"
)

// acceptLogInterval is the least time between two lines about a listener that accepts no connections.
const acceptLogInterval = 10 * time.Second

// listeners opens listeners that count and log the temporary errors of Accept.
type listeners struct {
	logger log.Logger
	scope  tally.Scope
}

// named returns a function that opens listeners under a name.
func (l *listeners) named(name string) func(address string) (net.Listener, error) {
	failures := l.scope.Tagged(map[string]string{"listener": name}).Counter("accept_errors_total")
	var loggedAt atomic.Int64
	failed := func(err error) {
		failures.Inc(1)
		now := clock.Now().UnixNano()
		if last := loggedAt.Load(); (last == 0 || now-last >= int64(acceptLogInterval)) && loggedAt.CompareAndSwap(last, now) {
			_ = l.logger.Log("level", "error", "msg", "accept_failed", "listener", name, "error", err.Error())
		}
	}
	return func(address string) (net.Listener, error) {
		nl, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return transport.NewListener(transport.ListenerConfig{Listener: nl, Failed: failed}), nil
	}
}
