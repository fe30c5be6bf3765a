// Package membership decides what instances know of each other and of their
// configuration.
//
// Items holds versioned values that spread by deltas and are repaired by digest;
// one Items carries the configuration, another the presence of instances. A
// Roster turns presences and heartbeats into the set of live instances and picks
// the bounded number of peers for the next heartbeat. Freshness says until when
// an instance may rely on its configuration being the newest accepted one.
// Rendezvous ranks instances for a key without any agreement.
//
// Dissemination follows the infection style of SWIM (Das, Gupta, Motivala, 2002)
// with rendezvous hashing (Thaler, Ravishankar, 1998) for placement. The package
// is pure: times and random numbers come in as arguments.
package membership
