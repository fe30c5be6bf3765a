// Package failover decides when the primary of a group is replaced, and by which member.
//
// Each instance runs a Machine for each group that it watches. The machine turns
// probe results, the views of other instances and the results of its own requests
// into actions: claim a term, fence the members off the old term, wait until the
// leases under which answers of the old primary are acknowledged have expired,
// promote the fenced member with the longest log, and publish the result.
//
// # Safety
//
// A proxy acknowledges an answer of the primary of term T only under a lease for
// T. A lease starts when the status requests are sent with which the primary and
// one replica confirm T. A promotion first fences a majority of the members. Any
// such pair and any such majority share a member, so the lease started before
// that member was fenced and has expired one lease duration after the last fence.
//
// A member promises a term to one attempt only, so two attempts never both hold a
// majority for the same term. The claim in the platform's table makes such a
// collision rare, but safety does not depend on it. A machine that finds its
// attempt superseded never promotes a second member in the same term.
//
// The package does no I/O: times are arguments, and results come in as events.
package failover
