// Package kernel runs the services of an instance and finds them by name.
//
// Services start concurrently and stop in reverse order of registration. A service
// is stopped only after all services registered later have returned, so it can use
// the services registered before it until it returns.
package kernel
