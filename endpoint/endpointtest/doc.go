// Package endpointtest provides a stand-in database group that speaks the
// PostgreSQL protocol over TCP.
//
// A Group has three members that replicate one log asynchronously, each with its
// own settable lag. Members know terms, can be fenced and promoted, and can be
// stopped, partitioned from named clients, or made to go silent on the
// connections that are open. The statements are a handful of fixed shapes over
// one key/value table named kv; see the engine type for the list.
//
// The stand-in serves tests and the dev command. It is no database.
package endpointtest
