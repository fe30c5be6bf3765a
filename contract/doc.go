// Package contract defines the settings that an operator grants to one customer.
//
// A contract is a short TOML text that sets the customer's databases, limits,
// timeouts, retry rules and drain time; the defaults suit a small team. Parse
// reports all validation errors of a text at once. A Registry holds the contracts
// in force on an instance, and replaces them only by higher revisions.
package contract
