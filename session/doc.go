// Package session tracks the log point that the reads of a caller's session must see.
//
// A session has a floor: the lowest log point that a read of it must see. The
// floor rises with every answer of the primary to a request of the session that may
// have written. A session that moves to another instance carries its floor in a
// signed token, which is valid in the log of one group. A session without a token uses as its floor a position of the
// primary that was probed after the session connected, since no earlier write of
// the session can lie above that position.
//
// The package is pure: times come in as arguments.
package session
