package store

import (
	"cmp"
	"fmt"
)

// Position orders the states of a store.
//
// A store that returns from an older copy assigns the versions that it lost again, to other
// transactions. Versions are therefore comparable only within one era.
type Position struct {
	era     uint64
	version uint64
}

// NewPosition returns the position of a version within an era.
func NewPosition(era, version uint64) Position { return Position{era: era, version: version} }

// Era returns the era, or 0 if the store reports none.
func (p Position) Era() uint64 { return p.era }

// Version returns the version within the era.
func (p Position) Version() uint64 { return p.version }

// After reports whether p is a later state than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Compare returns a negative number if p is an earlier state than q, 0 if they are the same, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.version, q.version))
}

// String returns the era and the version, as in "2/105".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.version) }
