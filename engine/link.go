package engine

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// Link is one connection to an endpoint, whatever protocol it speaks; L is the implementing type itself.
type Link[L any] interface {
	comparable
	// Key returns the pool key; only requests with the same key can use the link.
	Key() string
	// Status asks the endpoint for its status within ctx.
	Status(ctx context.Context) (group.Status, error)
	// AnsweredAt returns when the endpoint last answered on the link.
	AnsweredAt() time.Time
	// SetAnsweredAt records that the endpoint answered at now.
	SetAnsweredAt(now time.Time)
	// Canceled reports whether the link must not be shared again.
	Canceled() bool
	// Goodbye asks the endpoint to close an idle link and reports whether it did in time.
	Goodbye(timeout time.Duration) bool
	// Drained waits for the endpoint to close and reports whether it did in time.
	Drained(timeout time.Duration) bool
	// Terminate ends the endpoint's side of another link and reports whether it is ended.
	Terminate(ctx context.Context, other L) (bool, error)
	// Close ends the link without waiting.
	Close() error
}

const (
	// gracefulCloseTimeout bounds the wait for an endpoint to close an idle link.
	gracefulCloseTimeout = 200 * time.Millisecond
	// DefaultQuarantine is how long a link that the endpoint does not close still counts.
	DefaultQuarantine = 2 * time.Second
)

// Terminator ends the endpoint's side of a link from another one.
type Terminator[L any] interface {
	// Terminate asks an endpoint to end its side of link and reports whether it did.
	Terminate(endpoint string, link L) bool
}

// retire ends a link and returns once the endpoint has closed its side, or after the quarantine.
//
// Until then the endpoint may still count the link, so that another opened in its
// place could exceed the endpoint's limit. A side that does not close by itself,
// because it is at work or has gone silent, is terminated. It reports whether the
// endpoint is known to have closed.
func (c *Connections[L]) retire(link L) (closed bool) {
	defer link.Close()
	if link.Goodbye(gracefulCloseTimeout) {
		return true
	}
	if c.terminator != nil && c.terminator.Terminate(c.endpoint, link) {
		return true
	}
	return link.Drained(c.quarantine)
}

// Unreachable returns the error of an endpoint that did not take a connection, or lost one.
func Unreachable(endpoint string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "endpoint " + endpoint + " cannot be reached",
		Remedy:  "try again; if it lasts, look at the endpoint and the network to it",
		Cause:   cause,
	})
}
