package engine

import "sync"

// Attempt names the promotion attempt of a group whose orders may be sent; it is safe for concurrent use.
//
// An order that waits for a member is sent only while its attempt is current: once
// another member may have been promoted, a late order would replace that member too.
type Attempt struct {
	mu sync.Mutex
	// newest is the attempt that began last, and ended reports that none of its orders may be sent.
	newest string
	ended  bool
}

// Begin makes an attempt the current one; an attempt that is current or has ended stays as it is.
func (a *Attempt) Begin(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.newest != id {
		a.newest, a.ended = id, false
	}
}

// End ends an attempt.
func (a *Attempt) End(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = a.ended || a.newest == id
}

// Current reports whether the orders of an attempt may be sent.
func (a *Attempt) Current(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest == id && !a.ended
}

// Newest reports whether no other attempt began after this one, so that what it fenced may be released.
func (a *Attempt) Newest(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest == id
}
