// Package operator is the adapter to the people and scripts that run the fleet.
//
// It serves connect-go, which also answers plain HTTP with JSON, so that curl is
// enough. Any instance answers for the whole fleet; contract changes are
// compare-and-set on the revision that the operator edited.
package operator
