// Command world plays one case of the review: it starts the platform's store and promotion API, the members of one
// database group and the callers as stand-ins in its own process, and the instances as separate processes.
package main
