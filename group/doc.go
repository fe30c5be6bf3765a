// Package group holds the vocabulary that every decision shares about a
// database group: terms, log positions, member status and the history that says
// where each term began.
//
// A group is a set of endpoints, normally three, that replicate one log. One
// member leads in each term. Positions count log records and are compared only
// within one term; History carries a position across terms.
//
// The package holds values only. Nothing here reads a clock or a socket.
package group
