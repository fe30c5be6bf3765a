package fleet

import (
	"context"
	"time"
)

// coalescer runs an action after signals, and no more often than once in a pause; it is safe for concurrent use.
type coalescer struct {
	signals chan struct{}
	pause   time.Duration
}

func newCoalescer(pause time.Duration) *coalescer {
	return &coalescer{signals: make(chan struct{}, 1), pause: pause}
}

// Signal requests that the action run; it does not wait for it.
func (c *coalescer) Signal() {
	select {
	case c.signals <- struct{}{}:
	default:
	}
}

// Run runs the action until ctx ends: at once after a signal, or when the pause since its last run is over.
func (c *coalescer) Run(ctx context.Context, action func()) {
	for {
		select {
		case <-c.signals:
		case <-ctx.Done():
			return
		}
		action()
		select {
		case <-time.After(c.pause):
		case <-ctx.Done():
			return
		}
	}
}
