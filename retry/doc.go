// Package retry decides what becomes of a request whose attempt failed.
//
// There are three outcomes and no others: the whole answer, refused without
// having run, and unknown. A request that is not idempotent is never sent again
// once a byte of it has gone to an endpoint. Retries stay within the request's
// deadline and within a budget, so that they cannot multiply an overload.
//
// The package is pure: times and random numbers come in as arguments.
package retry
