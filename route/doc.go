// Package route decides which endpoint of a group serves a request.
//
// A Tracker keeps what is known of a group: its term and primary, the newest
// position of each member, and when the primary passed which position. A Policy
// turns that and a request into a Decision. Reads may go to a replica that has
// reached the session's floor and is young enough; everything else goes to the
// primary.
//
// A decision may rest on a prediction. The caller therefore asks the replica for
// its position on the same connection ahead of the read and calls
// Tracker.Verify with the answer before it passes the read's rows on.
//
// The package is pure: times come in as arguments. Durations are wall-clock.
package route
