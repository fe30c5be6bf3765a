// Package tabletest provides a stand-in for the platform's service: a
// transactional table, an object store, and lists of instances and groups, with
// outages, delays and lost answers on demand. It keeps everything in memory and
// serves tests and the dev command.
package tabletest
