// Package tunnel carries connections to endpoints through another instance.
//
// An instance that is partitioned from an endpoint reaches it through a peer that is
// not. The first line of a tunnel names the endpoint's address; after its reply the
// peer copies bytes both ways without interpreting them.
package tunnel
