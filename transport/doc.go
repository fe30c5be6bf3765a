// Package transport opens TCP connections that fail within a bounded time when the peer becomes unreachable, and accepts
// connections through errors that pass and within the process's limit of file descriptors.
package transport
