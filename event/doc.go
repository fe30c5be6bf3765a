// Package event keeps the recent decisions of an instance with their evidence, so
// that it can explain what it did.
package event
