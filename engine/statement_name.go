package engine

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxPlainShape is the longest shape that is part of the name of its statement, in bytes.
const maxPlainShape = 64

// PreparedName returns the name under which a statement with the given shape is prepared at endpoints, for all sessions that
// prepare the same statement.
//
// The name is one word of letters, digits and underscores, and no two statements share
// it: a shape that is no such word, or a long one, is replaced by its digest.
func PreparedName(shape string, writes bool) string {
	kind := "r"
	if writes {
		kind = "w"
	}
	if isPlainShape(shape) {
		return kind + "_" + shape
	}
	digest := sha256.Sum256([]byte(shape))
	return kind + "d_" + hex.EncodeToString(digest[:])
}

// isPlainShape reports whether a shape is a short word of letters, digits and underscores.
func isPlainShape(shape string) bool {
	if shape == "" || len(shape) > maxPlainShape {
		return false
	}
	for _, c := range []byte(shape) {
		if c != '_' && (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return true
}
