// Command cases3 runs the scripted cases of the third review: stand-ins of the platform, its members and its clients around
// the project's own program, which runs as separate processes.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main
