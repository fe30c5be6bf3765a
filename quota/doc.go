// Package quota limits the operations of client accounts over all instances of a fleet.
//
// Each instance holds a Ledger with one token Bucket for each account. A bucket refills with its share of the account's
// rate, and buckets that run short borrow from those that hold the other shares. While the shares of an account add up to
// 1, the operations admitted in any sliding window stay within Tolerance.Bound.
//
// The package has no clock and no goroutines: times are arguments.
package quota
