// Package pool decides who uses an endpoint's connections.
//
// A Pool holds connections of any type within a limit that may change while they
// are in use. Requests that find none wait in a Queue, which is fair between
// customers, bounded per customer, and drops waiters whose deadline passed.
//
// Pool and Queue are pure containers: times come in as arguments, and the caller
// dials, closes and locks.
package pool
