// Package transporttest provides a TCP proxy whose open connections can go silent.
package transporttest
