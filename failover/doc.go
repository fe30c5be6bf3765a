// Package failover decides when the primary of a group is replaced, and by whom.
//
// A Machine runs on each instance for each group that it watches. It turns
// probes, other instances' views and the results of its own requests into
// actions: claim a term, fence the members off the old one, wait out the leases
// under which the old primary's answers are still acknowledged, promote the
// fenced member with the longest log, and publish the result.
//
// # Why it is safe
//
// A proxy acknowledges an answer of the primary of term T only under a lease,
// called a lease in this code, that starts when the primary and one replica were
// asked and both confirmed T. A promotion fences a majority of the members first.
// Any such pair and any such majority share a member, so the lease started
// before that member was fenced and has run out one lease duration after the
// last fence. A member takes part in one attempt per term only, so two attempts
// never both hold a majority for the same term; the table's claim makes that
// collision rare but is not what prevents it. A machine that finds its attempt
// superseded never promotes a second member in the same term.
//
// The package is pure: times, random numbers and results come in as events.
package failover
