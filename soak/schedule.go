package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it starts, from the start of the callers, and For how long it lasts.
	At  time.Duration
	For time.Duration
	// Kind is what happens, as listed in Kinds.
	Kind string
	// Target picks what it happens to.
	Target int
}

// String describes the fault as it is logged.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs for %4.2fs %s %d", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target)
}

// kinds are the faults that a schedule draws from, by name; a run looks up what they do.
var kinds = []string{
	"kill", "kill_all", "terminate", "freeze", "hangup",
	"store_down", "store_lose", "store_compact", "store_silent", "store_refuse", "store_clock",
	"endpoint_crash", "primary_crash", "endpoint_silent", "endpoint_deaf", "endpoint_delay", "endpoint_refuse",
	"primary_leaves", "replicas_lag", "promoter_silent", "configuration",
}

// Bounds of a schedule.
const (
	// longest is the longest that a fault lasts: a few times what it takes to suspect a primary.
	longest = 4 * time.Second
	// apart is the usual time between the starts of two faults, so that they overlap.
	apart = 900 * time.Millisecond
)

// Schedule returns the faults of a seed for a run that lasts so long; the last start in its first four fifths.
func Schedule(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	var out []Fault
	at := apart
	for at < length*4/5 {
		out = append(out, Fault{
			At:     at,
			For:    200*time.Millisecond + time.Duration(r.Int64N(int64(longest))),
			Kind:   kinds[r.IntN(len(kinds))],
			Target: r.IntN(1 << 16),
		})
		at += time.Duration(r.ExpFloat64() * float64(apart))
	}
	return out
}

// Kinds returns the names of all faults.
func Kinds() []string { return append([]string(nil), kinds...) }
