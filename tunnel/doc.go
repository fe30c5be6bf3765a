// Package tunnel carries connections to endpoints through another instance.
//
// An instance that is partitioned from an endpoint reaches it through a peer that is
// not. The peer copies bytes both ways and understands nothing of them; whom to reach
// stands in the first line.
package tunnel
