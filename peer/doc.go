// Package peer implements the protocol between instances over connect-go.
//
// A Node exchanges heartbeats with a bounded number of peers. A heartbeat carries
// presences of instances, configuration items, the proof that the sender's
// configuration is current, and the connections that the sender has borrowed from
// the receiver.
// A Node also makes and serves the other calls between instances: views of a
// primary, cancel requests, loans of connections and quota tokens, lease evidence, lease revocations and explanations.
package peer
