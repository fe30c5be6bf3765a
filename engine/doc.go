// Package engine carries requests from a session to an endpoint and back,
// independent of the protocol on either side.
//
// A Link is one connection to an endpoint. Connections shares an endpoint's links
// between sessions within this instance's limit, and may bound by permits how many
// of them have a request running. A Group probes the members of a database group,
// maintains the route.Tracker that routing decisions read, and reports whether the
// primary's lease evidence is fresh. An Execution routes one Operation, sends it
// and retries it where that is safe. A Session runs typed statements and
// transactions on top of this, and a Monitor runs the failover of a group.
package engine
