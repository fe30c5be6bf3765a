// Package account identifies client accounts by their keys.
//
// A Registry holds the accounts of one version of the configuration, and is replaced
// with each version. A Freshness bounds how long an instance may trust the registry
// that it holds: a key may have been removed since. A Usage counts the operations of
// accounts for metrics. The package has no goroutines and no sockets; times are
// arguments.
package account
