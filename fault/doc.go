// Package fault defines the typed errors that reach callers and operators.
//
// Every error has a kind, which fixes its SQLSTATE and whether the request ran,
// and a remedy, which says what to do next. Kinds whose Ran is RanNo promise that
// the request did not run.
package fault
