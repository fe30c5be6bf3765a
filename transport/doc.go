// Package transport opens TCP connections on which a peer that vanished is noticed.
package transport
