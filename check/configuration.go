package check

import (
	"crypto/sha256"
	"strings"
)

// Consistency is the consistency of the reads of a route.
type Consistency uint8

// The kinds of consistency; ConsistencyUnknown stands for a type that the adapter does not know.
const (
	ConsistencyUnknown Consistency = iota
	ConsistencyPrimary
	ConsistencyBounded
	ConsistencySession
)

// Configuration describes one version of a configuration.
type Configuration struct {
	// Version is the number of the version, or 0 if it is missing.
	Version uint64
	Routes  []Route
	Groups  []Group
	// AccountsDefined is true if the configuration has a list of accounts, which may be empty; otherwise no key is checked.
	AccountsDefined bool
	Accounts        []Account
	// TransactionIdleMs limits the idle time of an open transaction, in milliseconds; 0 means the default.
	TransactionIdleMs float64
}

// Route describes a route to a database.
type Route struct {
	Name string
	// Database is the name that sessions connect to.
	Database string
	// Group is the name of the group that holds the database.
	Group string
	// Type is the consistency as the configuration states it, and Consistency its meaning.
	Type        string
	Consistency Consistency
	// Public is true if sessions with unknown keys are accepted.
	Public bool
	// TimeLimitMs limits a request, in milliseconds; 0 means the default.
	TimeLimitMs float64
	// LatencyObjectiveMs is the objective for the latency of a request, in milliseconds; 0 means the default.
	LatencyObjectiveMs float64
	// StalenessLimitMs limits the staleness of bounded reads, in milliseconds.
	StalenessLimitMs float64
	Priority         float64
}

// Group describes a group of endpoints.
type Group struct {
	Name string
	// Connections is the connection limit of each member.
	Connections float64
	// SyncReplicas above 0 makes the acknowledgement of a write wait for a replica.
	SyncReplicas float64
}

// Account describes a client account; nil means that a value is not set.
type Account struct {
	Name     string
	Keys     []Key
	Priority *float64
	// RatePerS is the rate of operations per second.
	RatePerS *float64
	// Burst is the number of operations above the rate.
	Burst *float64
}

// Key stands for the key of an account without containing it.
type Key struct {
	hash     [sha256.Size]byte
	sendable bool
}

// NewKey returns the Key that stands for text.
func NewKey(text string) Key {
	return Key{hash: sha256.Sum256([]byte(text)), sendable: isWord(text)}
}

// isWord reports whether text can be a word of the message that begins a session; a space or a line break ends a word.
func isWord(text string) bool { return text != "" && !strings.ContainsAny(text, " \r\n") }
