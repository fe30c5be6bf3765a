// Package load generates load on a fleet over real sockets and checks the answers.
//
// Arrivals are open-loop: each request has an intended start time, from which its
// latency is measured, so that the latency includes the time for which a stalled
// fleet delays later requests (no coordinated omission). Every write appends a
// unique marker to a row. At the end of the run, the rows show which acknowledged
// writes were lost, which writes ran more than once, and which ran although they were
// refused. Each read checks that it returns the last acknowledged write of its session.
package load
