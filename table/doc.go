// Package table implements a client of the platform's table service over connect-go.
//
// A Client calls the service, each call within a timeout. Configuration keeps
// versioned items in the table. Every accepted change increments one sequence
// row, so that a single read shows whether a reader has all changes.
//
// Items, revisions and terms are JSON objects with keys in snake case; sequence is a
// decimal number, and a log row contains only the key. The row keys are:
//
//	sequence                 number of accepted changes
//	item/KEY                 newest revision of KEY
//	history/KEY/REVISION     every revision of KEY
//	log/NUMBER               KEY that change NUMBER modified
//	term/GROUP               newest claimed term of a group and, once published, its primary
package table
