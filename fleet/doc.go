// Package fleet runs an instance whose lasting state lies in the platform's store.
//
// The configuration and the entries of the endpoints are followed in the store; what
// an instance cannot read there it gets from its peers. Promotions are the duty of
// one instance at a time, held by a row of the store with a lease and a fencing
// token. The package is generic over the links to endpoints and gets everything that
// knows the platform's formats from an Adapter.
package fleet
