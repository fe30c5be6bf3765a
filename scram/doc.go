// Package scram implements the client and the server side of SCRAM-SHA-256 as PostgreSQL uses it.
//
// The exchange follows RFC 5802 and RFC 7677 without channel binding. A Verifier
// holds the server's keys in the form that PostgreSQL stores, so that a contract
// never contains a password.
package scram
