// Package engine carries requests from a session to an endpoint and back, whatever
// protocol either side speaks.
//
// A Link is one connection to an endpoint. Connections shares an endpoint's links
// between sessions within this instance's limit. A Group watches the members of a
// database group, keeps the route.Tracker that decisions read, and answers whether
// the primary's lease evidence is fresh.
package engine
