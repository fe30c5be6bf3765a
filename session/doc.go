// Package session decides what a caller's session may read.
//
// A session has a floor: the lowest log point that a read of it must see. The
// floor rises with every write that the session makes and with every answer that
// it was given by the primary. A session that roams to another instance carries
// its floor in a signed token; a session without a token takes as its floor a
// position of the primary that was probed after the session connected, below
// which all its earlier writes must lie.
//
// The package is pure: times come in as arguments.
package session
