// Package endpoint is the adapter to the databases behind the proxy.
//
// A Conn is one PostgreSQL connection to one endpoint; engine shares and watches such
// connections as links.
//
// Endpoints report themselves through three functions that the platform
// installs: endpoint_status(), endpoint_fence(term, attempt) and
// endpoint_promote(term, attempt).
package endpoint
