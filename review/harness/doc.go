// Command harness runs the cases of the second review: it starts instances of the program with the command of the deploy file
// on loopback addresses, before stand-ins of the platform, the members and the callers, and checks one rule.
package main
