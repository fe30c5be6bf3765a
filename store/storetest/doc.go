// Package storetest provides an in-memory store for tests that can lose answers, refuse calls and drop its history.
package storetest
