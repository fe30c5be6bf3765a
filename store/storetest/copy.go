package storetest

import (
	"maps"
	"slices"

	"github.com/monsoontiller/monsoontiller/store"
)

// Copy is a copy of the rows and of the history of a store.
type Copy struct {
	rows             map[string]map[string]store.Row
	changes          []store.Row
	version          uint64
	compactedVersion uint64
}

// Copy returns a copy of the store's present state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{rows: map[string]map[string]store.Row{}, changes: slices.Clone(s.changes), version: s.version, compactedVersion: s.compactedVersion}
	for table, rows := range s.rows {
		c.rows[table] = maps.Clone(rows)
	}
	return c
}

// Restore returns the store to the state of a copy of it, and begins the next era.
//
// All later transactions are lost, and their versions are assigned again. The clock
// goes on.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = map[string]map[string]store.Row{}
	for table, rows := range c.rows {
		s.rows[table] = maps.Clone(rows)
	}
	s.changes, s.version, s.compactedVersion = slices.Clone(c.changes), c.version, c.compactedVersion
	s.era++
	s.wakeLocked()
}

// Version returns the newest version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Era returns the era that the store reports.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetEra sets the era that the store reports; a new store reports none.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}
