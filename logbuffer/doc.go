// Package logbuffer writes log lines without ever waiting for whoever reads them.
//
// Lines go to bounded buffers that goroutines of their own empty. When a buffer is full, the oldest lines are dropped and counted.
// The number is written as a line as soon as the reader takes lines again. Lines about single statements have a buffer of their
// own, so that they displace no others.
package logbuffer
