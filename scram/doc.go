// Package scram implements SCRAM-SHA-256 as PostgreSQL uses it, for both sides.
//
// The exchange follows RFC 5802 and RFC 7677 without channel binding. A Verifier
// holds what the server side needs in the form that PostgreSQL stores, so that a
// contract never carries a password.
package scram
