// Package pace limits the requests in flight at an endpoint that has just started, recovered or been promoted.
//
// A Controller finds the limit from the endpoint's answers: it starts at one request
// after each restart, and limits nothing once it has reached its ceiling. It does no
// I/O and takes no locks; times are arguments.
package pace
