// Package check examines a configuration before it is sent to a fleet.
//
// An adapter describes the configuration as a Configuration; Findings reports its
// errors, the entries that can never match and the limits that contradict each other,
// and Differences compares two versions. A Report holds both and is written as text or
// JSON. The package holds keys as hashes only, and its output names a key by its
// account and its number in the account's list. Functions are pure, and their results
// depend on their arguments only.
package check
