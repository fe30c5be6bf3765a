package group

import (
	"iter"
	"maps"
	"unique"
)

// Log identifies the log of a group: points of different logs cannot be compared. The zero value identifies none.
type Log struct {
	group unique.Handle[string]
}

// NewLog returns the identifier of the log of the named group.
func NewLog(group string) Log { return Log{group: unique.Make(group)} }

// IsZero reports whether l identifies no log.
func (l Log) IsZero() bool { return l == Log{} }

// Group returns the name of the group, or "" for the zero value.
func (l Log) Group() string {
	if l.IsZero() {
		return ""
	}
	return l.group.Value()
}

// String returns the name of the group.
func (l Log) String() string { return l.Group() }

// PerLog holds a value for each of several logs, such as the point that a session has reached there.
//
// A second log needs a map. The zero value and nil are empty; only Set needs a PerLog that is not nil.
type PerLog[T any] struct {
	log    Log
	value  T
	others map[Log]T
}

// Get returns the value for a log; ok is false if there is none.
func (p *PerLog[T]) Get(l Log) (value T, ok bool) {
	switch {
	case p == nil:
		return value, false
	case p.log == l:
		return p.value, !l.IsZero()
	}
	value, ok = p.others[l]
	return value, ok
}

// Set sets the value for a log; it ignores the zero log.
func (p *PerLog[T]) Set(l Log, value T) {
	if l.IsZero() {
		return
	}
	if _, held := p.others[l]; !held && (p.log.IsZero() || p.log == l) {
		p.log, p.value = l, value
		return
	}
	if p.others == nil {
		p.others = map[Log]T{}
	}
	p.others[l] = value
}

// Delete removes the value for a log.
func (p *PerLog[T]) Delete(l Log) {
	if p.log == l {
		var none T
		p.log, p.value = Log{}, none
		return
	}
	delete(p.others, l)
}

// All iterates over the logs and their values, in no particular order.
func (p *PerLog[T]) All() iter.Seq2[Log, T] {
	return func(yield func(Log, T) bool) {
		if p == nil || !p.log.IsZero() && !yield(p.log, p.value) {
			return
		}
		for l, value := range p.others {
			if !yield(l, value) {
				return
			}
		}
	}
}

// Clone returns a copy that shares no state with p, or nil for nil.
func (p *PerLog[T]) Clone() *PerLog[T] {
	if p == nil {
		return nil
	}
	return &PerLog[T]{log: p.log, value: p.value, others: maps.Clone(p.others)}
}

// Floors holds the log point that a session has reached in each log; without an entry, the session has reached none.
type Floors = PerLog[Point]
