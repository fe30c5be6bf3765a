// Command monsoonsoak runs monsoontiller as separate processes under faults that a seed determines, and checks the
// guarantees.
//
// Exit codes: 0 no violation; 1 a violation, or a seed that could not be run; 2 wrong usage or
// --help.
package main
