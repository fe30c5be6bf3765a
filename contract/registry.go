package contract

import "sort"

// Revision numbers the versions of one customer's contract, from 1.
type Revision uint64

// Entry is one revision of one customer's contract.
type Entry struct {
	customer string
	revision Revision
	text     []byte
	contract *Contract
}

// NewEntry parses text as the given revision; it fails as Parse does.
func NewEntry(revision Revision, text []byte) (Entry, error) {
	c, err := Parse(text)
	if err != nil {
		return Entry{}, err
	}
	return Entry{customer: c.Customer(), revision: revision, text: append([]byte(nil), text...), contract: c}, nil
}

// Customer returns the customer's name.
func (e Entry) Customer() string { return e.customer }

// Revision returns the revision's number.
func (e Entry) Revision() Revision { return e.revision }

// Text returns the contract's TOML text.
func (e Entry) Text() []byte { return append([]byte(nil), e.text...) }

// Contract returns the parsed contract.
func (e Entry) Contract() *Contract { return e.contract }

// Registry holds the highest applied revision of each customer's contract; it is not safe for concurrent use.
type Registry struct {
	entries map[string]Entry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: map[string]Entry{}} }

// Apply stores e if its revision is higher than the stored one, and reports whether it did.
func (r *Registry) Apply(e Entry) bool {
	if current, ok := r.entries[e.customer]; ok && current.revision >= e.revision {
		return false
	}
	r.entries[e.customer] = e
	return true
}

// Get returns the entry of a customer; ok is false if there is none.
func (r *Registry) Get(customer string) (e Entry, ok bool) {
	e, ok = r.entries[customer]
	return e, ok
}

// List returns all entries, sorted by customer.
func (r *Registry) List() []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].customer < out[j].customer })
	return out
}
