// Package peer is the adapter between instances.
//
// A Node exchanges heartbeats with a bounded number of peers over connect-go, and
// with them the presence of instances, the configuration, the proof that it is
// current, and what each has borrowed of the other's connections. It also carries
// the calls that one instance makes of another: views of a primary, cancel
// requests, loans and explanations.
package peer
