// Package pool allocates an endpoint's connections to requests.
//
// A Pool holds connections of any type within a limit that may change while they
// are in use. Requests that get no connection wait in a queue: a FairQueue serves
// customers round robin and is bounded per customer; a PriorityQueue serves by
// priority, recent service of the client account (FairShares), and target. Both drop waiters whose deadline has passed. A Pool can also
// limit how many of its connections run a request at once: a running request holds
// a permit. Shares divide an endpoint's connection limit between instances.
//
// The types do no I/O and take no locks: times are arguments, and the caller
// dials, closes and locks.
package pool
