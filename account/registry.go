package account

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// Key is the SHA-256 hash of the key that a caller presents.
//
// Only hashes are compared and kept, so that the time of a lookup says nothing about
// other keys, and a memory dump or a log line contains none.
type Key [sha256.Size]byte

// HashKey returns the Key of a caller's key.
func HashKey(text string) Key { return sha256.Sum256([]byte(text)) }

// Limits are the quota of an account; both fields 0 mean that it has none.
type Limits struct {
	// Rate is in operations per second, and Burst in operations.
	Rate  float64
	Burst float64
}

// Limited reports whether the account has a quota.
func (l Limits) Limited() bool { return l.Rate > 0 || l.Burst > 0 }

// Config describes one client account.
type Config struct {
	Name   string
	Keys   []Key
	Limits Limits
}

// Registry holds the accounts of one version of the configuration; it is immutable.
type Registry struct {
	names  map[Key]string
	limits map[string]Limits
}

// NewRegistry returns the registry of the given accounts.
//
// A key that several accounts list identifies none of them: a request must not be attributed to the wrong account.
func NewRegistry(accounts []Config) *Registry {
	r := &Registry{names: map[Key]string{}, limits: map[string]Limits{}}
	ambiguous := map[Key]bool{}
	for _, a := range accounts {
		r.limits[a.Name] = a.Limits
		for _, k := range a.Keys {
			if holder, held := r.names[k]; held && holder != a.Name {
				ambiguous[k] = true
			}
			r.names[k] = a.Name
		}
	}
	for k := range ambiguous {
		delete(r.names, k)
	}
	return r
}

// Lookup returns the account that holds a key.
func (r *Registry) Lookup(k Key) (name string, ok bool) {
	name, ok = r.names[k]
	return name, ok
}

// Limits returns the quota of an account; ok is false if there is no such account.
func (r *Registry) Limits(name string) (l Limits, ok bool) {
	l, ok = r.limits[name]
	return l, ok
}

// Names returns the names of the accounts, sorted.
func (r *Registry) Names() []string { return slices.Sorted(maps.Keys(r.limits)) }

// Keys returns the number of keys that identify an account.
func (r *Registry) Keys() int { return len(r.names) }
