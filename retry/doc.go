// Package retry decides whether a request is retried after a failed attempt.
//
// A request is answered in full, is refused without having run, or has an unknown
// outcome. A request that is not idempotent is never sent again once a
// byte of it has been sent, unless the endpoint is known not to have run it.
// Retries stay within the request's deadline and within a budget, so that they
// cannot multiply an overload.
//
// The package is pure: times and random numbers come in as arguments.
package retry
