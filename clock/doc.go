// Package clock provides a clock that never steps and advances while the machine
// is suspended.
//
// Leases are measured on CLOCK_BOOTTIME, because the monotonic clock of the Go
// runtime stops during a suspend: after a resume, an instance would consider an
// expired lease valid. Times of this package are comparable only with each other.
package clock
