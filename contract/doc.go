// Package contract holds what an operator agrees with one customer.
//
// A contract is a short TOML text; every limit, wait, retry rule and drain time
// follows from it, with defaults that suit a small team. Parse reports all
// mistakes of a text at once. A Registry keeps the contracts in force on an instance
// and only ever moves to higher revisions.
package contract
