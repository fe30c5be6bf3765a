package engine

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// Link is one connection to an endpoint, independent of its protocol; L is the implementing type itself.
type Link[L any] interface {
	comparable
	// Key returns the pool key; only requests with the same key can use the link.
	Key() string
	// Status requests the endpoint's status; ctx bounds the wait.
	Status(ctx context.Context) (group.Status, error)
	// AnsweredAt returns when the endpoint last answered on the link.
	AnsweredAt() time.Time
	// SetAnsweredAt records that the endpoint answered at now.
	SetAnsweredAt(now time.Time)
	// Canceled reports whether a cancellation was sent for the link, after which it must not be reused.
	Canceled() bool
	// Unresponsive reports whether the link was lost because the endpoint's host acknowledged no bytes for too long.
	Unresponsive() bool
	// CloseGracefully closes an idle link gracefully and reports whether the endpoint closed its side within timeout.
	CloseGracefully(timeout time.Duration) bool
	// AwaitClose waits for the endpoint to close its side and reports whether it did within timeout.
	AwaitClose(timeout time.Duration) bool
	// Terminate ends the endpoint's side of another link and reports whether it has ended.
	Terminate(ctx context.Context, other L) (bool, error)
	// Close closes the link without waiting for the endpoint.
	Close() error
}

const (
	// gracefulCloseTimeout bounds the wait for an endpoint to close an idle link.
	gracefulCloseTimeout = 200 * time.Millisecond
	// DefaultQuarantine is how long a link that the endpoint does not close still counts towards the limit.
	DefaultQuarantine = 2 * time.Second
)

// Terminator ends the endpoint's side of a link from another one.
type Terminator[L any] interface {
	// Terminate requests that an endpoint end its side of link and reports whether it did.
	Terminate(endpoint string, link L) bool
}

// retire closes a link and returns once the endpoint has closed its side, or once every wait for that has timed out.
//
// Until then the endpoint may still count the link, so that a replacement could
// exceed the endpoint's connection limit. If the endpoint does not close its side,
// because a request is running there or the connection is unresponsive, retire has
// the terminator end it, and if that fails, waits for the quarantine. It reports
// whether the endpoint is known to have closed its side.
func (c *Connections[L]) retire(link L) (closed bool) {
	defer link.Close()
	if link.CloseGracefully(gracefulCloseTimeout) {
		return true
	}
	if c.terminator != nil && c.terminator.Terminate(c.endpoint, link) {
		return true
	}
	return link.AwaitClose(c.quarantine)
}

// Unreachable returns the error of an endpoint that did not accept a connection, or whose connection was lost.
func Unreachable(endpoint string, cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindUnavailable,
		Message: "endpoint " + endpoint + " cannot be reached",
		Remedy:  "try again; if it persists, check the endpoint and the network path to it",
		Cause:   cause,
	})
}
