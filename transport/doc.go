// Package transport opens TCP connections that fail within a bounded time when the peer becomes unreachable.
package transport
