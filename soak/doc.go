// Package soak runs the real program as separate processes on one machine, injects faults from outside them, and
// checks from what callers and endpoints see that every promise holds.
//
// The platform and the database groups are the stand-ins of platformtest. Faults come in overlapping series that a
// seed decides: connections that are delayed, reset, cut one way or silenced by a proxy; processes that are stopped,
// paused, killed and started again by signals; endpoints that crash, lag or leave; a store that is down, loses answers
// or forgets its history; a clock of the store that jumps.
package soak
