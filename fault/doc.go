// Package fault defines the typed errors that are reported to callers and operators.
//
// The kind of an error determines its SQLSTATE and whether the request may have
// run. A kind whose Effect method returns EffectNone guarantees that the request did
// not run. The remedy says what the receiver should do next.
package fault
