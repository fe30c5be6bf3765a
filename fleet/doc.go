// Package fleet runs an instance whose persistent state lies in the platform's store.
//
// An instance follows the configuration and the entries of the endpoints in the store;
// what it cannot read there it gets from its peers. Promotions are ordered by one
// instance at a time, the promotion coordinator, whose lease and fencing token are a
// row of the store. The package is generic over the links to endpoints, and an Adapter
// supplies everything that depends on the platform's formats.
package fleet
