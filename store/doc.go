// Package store holds what the product asks of a store that keeps what must last.
//
// Rows lie in tables and carry the version of the transaction that wrote them. A
// transaction applies all of its changes, or none if a row was changed meanwhile.
// The package has no implementation: the adapter to the platform's store is one,
// and tests use a fake.
package store
