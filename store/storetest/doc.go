// Package storetest is a store in memory for tests, which can lose answers, refuse calls and drop its history.
package storetest
