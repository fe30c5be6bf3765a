// Package store defines the interface of a durable, transactional row store.
//
// A row belongs to a table and carries the version of the transaction that wrote
// it. A transaction applies all of its changes, or none if one of its conditions
// on row versions does not hold. Package platform implements Store with the
// platform's store, and package storetest in memory for tests.
package store
