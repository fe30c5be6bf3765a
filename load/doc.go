// Package load drives a fleet over real sockets and checks its answers.
//
// Arrivals are open-loop: each request has an intended time, and latency counts
// from it, so that a stalled fleet cannot hide its stall (coordinated omission).
// Every write appends a mark of its own to a row; at the end the rows tell which
// acknowledged writes were lost, which ran twice, and which ran although they were
// refused as not run. Reads tell at once when a session misses its own write.
package load
