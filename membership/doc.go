// Package membership tracks which instances are alive, and whether the configuration of
// an instance is current.
//
// Items holds versioned values that spread by deltas and are repaired by digest;
// one Items carries the configuration, another the presences of instances. A
// Roster derives the set of live instances from presences and heartbeats, and selects
// the bounded number of peers for the next heartbeat. Freshness determines until when
// an instance may rely on its configuration being the newest acknowledged one. Rank and
// Homes order instances for a key by rendezvous hashing, without any agreement.
//
// Dissemination follows the infection style of SWIM (Das, Gupta, Motivala, 2002)
// with rendezvous hashing (Thaler, Ravishankar, 1998) for placement. The package
// is pure: times and random numbers come in as arguments.
package membership
