// Command monsoontiller runs and operates the proxy.
//
// Exit codes: 0 success; 1 failure; 2 wrong usage; 3 invalid settings or contract; 4
// conflict with another operator's change; 5 outcome unknown, repeat with the same
// request id. The check of a configuration has its own: 0 clean; 1 warnings; 2 errors.
package main
