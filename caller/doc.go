// Package caller serves the callers of the proxy, which use PostgreSQL protocol
// version 3.
//
// A Server accepts connections, authenticates them against the customer's
// contract and runs one session for each. A session reads requests, has the
// engine route each of them, relays it over a pooled connection, and forwards
// the answer only when it may be acknowledged.
//
// Hints classify requests. They come from comments in sqlcommenter form, from
// startup parameters and from the contract's defaults, in descending order of
// precedence. SQL is not parsed.
package caller
