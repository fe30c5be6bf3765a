// Package experiment compares routing policies on seeded loads in virtual time.
//
// It simulates one group of a primary and two replicas, and sessions that write and
// read. The replication lag of each replica changes at random, with spikes. Every
// policy gets the same load and is compared with a router that knows the position
// of every member. Real time has no influence: results depend only on the seed.
//
// RunGroup drives the router, the pools and the queues of one instance with a simulated group
// of few slots under load, while replicas are behind, the primary changes or a partition lasts.
//
// RunPace compares ways to limit the requests at an endpoint that has just started.
//
// RunQuota drives the quota ledgers of a fleet under faults, and checks every sliding window of every account.
//
// RunPaired compares two builds of the program: it runs a command for both over the same
// cases and seeds, and Compare gives the paired differences with their confidence intervals.
package experiment
