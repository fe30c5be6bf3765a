// Package tabletest provides an in-memory fake of the platform's service for
// tests and the dev command: a transactional table, an object store, and lists of
// instances and groups, with configurable outages, delays and lost answers.
package tabletest
