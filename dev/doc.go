// Package dev runs a fleet of instances with a fake platform and fake databases in
// one process, for trying out the proxy and for end-to-end tests.
package dev
