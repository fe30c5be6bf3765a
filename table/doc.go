// Package table is the adapter to a table service that speaks connect.
//
// A Client calls the table, the object store and the lists of instances and
// groups, each call bounded in time. Configuration keeps versioned items in the
// table: every accepted change bumps one sequence row, so that a reader learns
// with a single read whether it has all of them.
//
// Rows are JSON in snake case. The keys are:
//
//	sequence                 number of accepted changes
//	item/KEY                 newest revision of KEY
//	history/KEY/REVISION     every revision of KEY
//	log/NUMBER               the KEY that change NUMBER touched
//	term/GROUP               the newest claimed term of a group
package table
