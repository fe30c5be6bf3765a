// Package peerv1 contains the code generated from proto/peer/v1/peer.proto.
package peerv1
