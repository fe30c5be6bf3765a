// Package dev runs a fleet of instances with a stand-in platform and stand-in
// databases in one process, for trying the proxy out and for tests of the whole.
package dev
