package membership

import "time"

// EntryConfig lists the parts of an accepted configuration value.
type EntryConfig struct {
	Text       string
	Author     string
	RequestID  string
	AcceptedAt time.Time
}

// Entry is an accepted configuration value: a contract, a seat, or an order to leave.
type Entry struct {
	cfg EntryConfig
}

// NewEntry returns the entry described by cfg.
func NewEntry(cfg EntryConfig) Entry { return Entry{cfg: cfg} }

// Text returns the value itself.
func (e Entry) Text() string { return e.cfg.Text }

// Author returns the author of the change.
func (e Entry) Author() string { return e.cfg.Author }

// RequestID returns the id of the request that made the change.
func (e Entry) RequestID() string { return e.cfg.RequestID }

// AcceptedAt returns when the table accepted the value.
func (e Entry) AcceptedAt() time.Time { return e.cfg.AcceptedAt }
