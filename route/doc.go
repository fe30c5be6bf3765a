// Package route decides which endpoint of a group serves a request.
//
// A Tracker keeps the known state of a group: its term and primary, the newest
// position of each member, and the times at which the primary reached its
// positions. A Policy maps that state and a request to a Decision. Reads may be sent
// to a replica that has reached the session's floor and whose data is recent enough;
// all other requests are sent to the primary.
//
// A decision may depend on a prediction. The caller therefore queries the replica's
// position on the same connection before the read, and calls Tracker.Verify with the
// answer before it forwards the rows of the read.
//
// The package does no I/O: times are arguments. Durations are wall-clock.
package route
