// Package operator adapts the operator API to the types of the other packages.
//
// The API is served with connect-go, which also accepts plain HTTP with JSON, so
// that curl can call it. Any instance serves requests for the whole fleet. A change
// of a contract is a compare-and-set on the revision that the operator edited.
package operator
