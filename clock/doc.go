// Package clock tells time on a clock that never steps and goes on while the
// machine is suspended.
//
// A lease must not outlive a pause of its holder. The runtime's monotonic clock
// stands still while a machine sleeps, so leases are measured on CLOCK_BOOTTIME.
// Times of this package compare only with each other.
package clock
