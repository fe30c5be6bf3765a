package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is a scheduled fault.
type Fault struct {
	// At is the time from the start of the load to the start of the fault.
	At       time.Duration
	Duration time.Duration
	// Kind is one of kinds.
	Kind string
	// Target selects the affected instance or member, modulo their number; some kinds derive a count from it.
	Target int
}

// String returns the line that a run writes for the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs for %4.2fs %s %d", f.At.Seconds(), f.Duration.Seconds(), f.Kind, f.Target)
}

// kinds are the kinds of faults that a schedule draws from; inject implements each.
var kinds = []string{
	"kill", "kill_all", "terminate", "freeze", "hangup",
	"store_down", "store_lose", "store_compact", "store_silent", "store_refuse", "store_clock",
	"endpoint_crash", "primary_crash", "endpoint_silent", "endpoint_deaf", "endpoint_delay", "endpoint_refuse",
	"primary_leaves", "replicas_lag", "promoter_silent", "configuration",
}

// Durations of a schedule.
const (
	// maxRandomDuration bounds the random part of a fault's duration. It exceeds the time until a primary is suspected, so
	// that some faults end before the suspicion and others outlast it.
	maxRandomDuration = 4 * time.Second
	// meanInterval is the mean time between the starts of two faults, short enough that faults overlap.
	meanInterval = 900 * time.Millisecond
)

// Schedule returns the faults of a seed for a run of the given length, in order of their start. All of them start within
// the first four fifths of the run.
func Schedule(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x50a4))
	var out []Fault
	at := meanInterval
	for at < length*4/5 {
		out = append(out, Fault{
			At:       at,
			Duration: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxRandomDuration))),
			Kind:     kinds[r.IntN(len(kinds))],
			Target:   r.IntN(1 << 16),
		})
		at += time.Duration(r.ExpFloat64() * float64(meanInterval))
	}
	return out
}

// Kinds of faults that are drawn separately, so that the schedules of the other kinds stay the same.
const (
	// kindPowerLoss kills all instances while the endpoints keep their connections.
	kindPowerLoss = "power_loss"
	// kindSever makes a share of all open connections deliver nothing further.
	kindSever = "sever"
	// kindStoreRestore makes the store return from an older copy.
	kindStoreRestore = "store_restore"
)

// PowerLosses returns n power losses of all instances at random times in the first half of a run of the given length.
func PowerLosses(seed uint64, length time.Duration, n int) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x9055))
	var out []Fault
	for range n {
		out = append(out, Fault{
			At: time.Duration(r.Int64N(int64(length / 2))), Duration: time.Second + time.Duration(r.Int64N(int64(maxRandomDuration))), Kind: kindPowerLoss,
		})
	}
	return out
}

// Severances returns n moments, in the first four fifths of a run of the given length, at which open connections go silent.
func Severances(seed uint64, length time.Duration, n int) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x5e7e))
	var out []Fault
	for range n {
		out = append(out, Fault{At: time.Duration(r.Int64N(int64(length * 4 / 5))), Kind: kindSever, Target: r.IntN(1 << 16)})
	}
	return out
}

// StoreRestores returns n returns of the store from an older copy at random times in the first four fifths of a run of the
// given length.
func StoreRestores(seed uint64, length time.Duration, n int) []Fault {
	r := rand.New(rand.NewPCG(seed, 0xe4a5))
	var out []Fault
	for range n {
		out = append(out, Fault{
			At: time.Duration(r.Int64N(int64(length * 4 / 5))), Duration: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxStoreAbsence))),
			Kind: kindStoreRestore, Target: r.IntN(1 << 16),
		})
	}
	return out
}

// Kinds returns all kinds of faults that Schedule draws from.
func Kinds() []string { return append([]string(nil), kinds...) }
