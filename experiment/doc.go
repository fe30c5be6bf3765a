// Package experiment compares routing policies on seeded loads in virtual time.
//
// One group of three members, a process of writes, and sessions that write and
// read. Replicas lag by a random walk with spikes. The same seeded load is given
// to each policy and to a router that knows every position. Nothing is timed:
// the results depend on the seed alone.
package experiment
