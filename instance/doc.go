// Package instance wires one process of the fleet together.
//
// An Instance claims a seat, learns the configuration, watches the database
// groups, keeps their primaries, lends and borrows connections, and serves
// callers, peers and operators. The decisions stand in their own packages; what
// stands here is the glue that feeds them and carries out what they say.
package instance
