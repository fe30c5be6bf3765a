// Package kernel runs the services of an instance and lets them find each other
// by name.
//
// Services start together and stop in the reverse order of their registration,
// each only after those registered later have ended, so that a service may rely
// on the ones before it until its own end.
package kernel
