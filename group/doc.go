// Package group defines the values that describe a database group: terms, log
// positions, member status and the history of the positions at which terms began.
//
// A group is a set of endpoints, normally three, that replicate one log. One
// member is primary in each term. Positions count log records and are compared
// only within one term; History translates a position into a later term.
//
// The package holds values only. Nothing here reads a clock or a socket.
package group
