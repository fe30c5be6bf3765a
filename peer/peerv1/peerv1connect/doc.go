// Package peerv1connect holds the generated connect-go client and handler of the peerv1 service.
package peerv1connect
