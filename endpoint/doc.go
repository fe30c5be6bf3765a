// Package endpoint is the adapter to the databases behind the proxy.
//
// A Conn is one PostgreSQL connection to one endpoint. Connections shares an
// endpoint's connections between sessions within this instance's limit. A Group
// watches the members of a database group, keeps the route.Tracker that
// decisions read, and answers whether the primary's lease evidence is fresh.
//
// Endpoints report themselves through three functions that the platform
// installs: endpoint_status(), endpoint_fence(term, attempt) and
// endpoint_promote(term, attempt).
package endpoint
