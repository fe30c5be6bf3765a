// Package caller is the adapter to the callers of the proxy, who speak PostgreSQL
// protocol version 3.
//
// A Server accepts connections, authenticates them against the customer's
// contract and runs one session for each. A session reads requests, asks the
// decision packages where each goes, relays it over a pooled connection, and
// passes the answer on only when it may be acknowledged.
//
// Requests are classified by startup parameters, by comments in sqlcommenter
// form, and by the contract's defaults, in falling order of precedence of
// comments, parameters, contract. SQL is not parsed.
package caller
