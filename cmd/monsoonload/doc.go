// Command monsoonload loads a fleet over real sockets, with or without faults,
// and compares routing policies in virtual time.
//
// Exit codes: 0 success; 1 failure; 2 wrong usage; 3 the verdict found lost,
// doubled, stale or falsely refused requests.
package main
