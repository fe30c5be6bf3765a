// Package endpointtest provides a fake database group that serves the PostgreSQL
// protocol over TCP, for tests and the dev command.
//
// The members of a Group, three by default, replicate one log asynchronously,
// each with its own lag. Members support terms, fencing and promotion. They can be
// stopped, partitioned from named clients, or made to stop answering on the open
// connections. They run only a few fixed forms of statements on one key/value
// table named kv, listed in the variable shapes.
package endpointtest
