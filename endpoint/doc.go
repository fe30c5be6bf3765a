// Package endpoint implements PostgreSQL connections to the databases behind the proxy.
//
// A Conn is one connection to one endpoint. Package engine shares these
// connections between sessions and monitors them, and calls them links.
//
// The platform installs three SQL functions on every endpoint, which report its
// status and change its role: endpoint_status(), endpoint_fence(term, attempt)
// and endpoint_promote(term, attempt).
package endpoint
