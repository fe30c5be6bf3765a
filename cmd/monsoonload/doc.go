// Command monsoonload runs a workload against a fleet over real sockets, with or
// without faults, and compares routing policies in virtual time.
//
// Exit codes: 0 success; 1 failure; 2 wrong usage; 3 the check of the answers found
// lost or duplicated writes, writes that ran although they were refused, stale reads, or
// parts that more than one session reserved.
package main
