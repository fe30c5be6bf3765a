package load

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Workload is a mix of requests and a pattern of arrivals.
//
// Requests read or write the session's row, or reserve a part: a row that several
// sessions try to insert and only one can.
type Workload struct {
	name string
	// writeShare and reserveShare are the shares of requests that write or reserve a part.
	writeShare   float64
	reserveShare float64
	// staleShare is the share of reads that accept stale data.
	staleShare float64
	// burst is the ratio of the rates in the second and the first half of every burst period.
	burst       float64
	burstPeriod time.Duration
	// reconnectShare is the share of requests before which the session reconnects.
	reconnectShare float64
}

// Workloads returns the workloads of the deployments in package dev: bookings for Baird-Lennox, workshop for Lellu.
func Workloads() []Workload {
	return []Workload{
		{name: "bookings", writeShare: 0.3, staleShare: 0.2, burst: 4, burstPeriod: 4 * time.Second, reconnectShare: 0.01},
		{name: "workshop", writeShare: 0.06, reserveShare: 0.02, staleShare: 0.6, burst: 1, burstPeriod: 4 * time.Second, reconnectShare: 0.01},
	}
}

// FindWorkload returns the workload of that name; it fails with KindNotFound.
func FindWorkload(name string) (Workload, error) {
	for _, w := range Workloads() {
		if w.name == name {
			return w, nil
		}
	}
	return Workload{}, fault.New(fault.Config{
		Kind:    fault.KindNotFound,
		Message: "unknown workload " + name,
		Remedy:  "use bookings or workshop",
	})
}

// Name returns the workload's name.
func (w Workload) Name() string { return w.name }

// kind is the operation of a request.
type kind uint8

const (
	kindRead kind = iota
	kindStaleRead
	kindWrite
	kindReserve
)

// randomKind draws the kind of the next request.
func (w Workload) randomKind(r *rand.Rand) kind {
	x := r.Float64()
	switch {
	case x < w.writeShare:
		return kindWrite
	case x < w.writeShare+w.reserveShare:
		return kindReserve
	case r.Float64() < w.staleShare:
		return kindStaleRead
	}
	return kindRead
}

// interarrival draws the time to the next arrival of a Poisson process.
//
// elapsed is the time since the start of the run. The rates of the two halves of a
// burst period average to rate.
func (w Workload) interarrival(r *rand.Rand, elapsed time.Duration, rate float64) time.Duration {
	factor := 2 / (1 + w.burst)
	if elapsed%w.burstPeriod >= w.burstPeriod/2 {
		factor *= w.burst
	}
	return time.Duration(r.ExpFloat64() / (rate * factor) * float64(time.Second))
}

// Fault is one entry of a fault schedule.
//
// At is the time from the start of the schedule to the start of the fault. An
// empty Duration means that the fault is not ended.
type Fault struct {
	At       string `toml:"at"`
	Kind     string `toml:"kind"`
	Target   string `toml:"target"`
	Duration string `toml:"for"`
	at       time.Duration
	duration time.Duration
}

// schedule is the top level of a fault schedule in TOML.
type schedule struct {
	Faults []Fault `toml:"fault"`
}

// Kinds of fault that can be injected into an embedded fleet.
const (
	// FaultStop crashes an endpoint.
	FaultStop = "stop_endpoint"
	// FaultIsolate partitions an endpoint from its group and from all clients.
	FaultIsolate = "isolate_endpoint"
	// FaultSilence stops all answers on the open connections of an endpoint.
	FaultSilence = "silence_endpoint"
	// FaultLag sets the replication lag of an endpoint to 30 s.
	FaultLag = "lag_endpoint"
	// FaultPlatform makes the platform unavailable.
	FaultPlatform = "platform_outage"
	// FaultRestart stops an instance gracefully and starts it again at the end of the fault.
	FaultRestart = "restart_instance"
)

// LoadFaults reads a fault schedule from a file; it returns the error of the file system, or fails as ParseFaults does.
func LoadFaults(path string) ([]Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFaults(text)
}

// ParseFaults decodes a fault schedule in TOML; it fails with KindInvalid if the schedule is invalid.
func ParseFaults(text []byte) ([]Fault, error) {
	var s schedule
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, invalidSchedule(err)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		var err error
		if f.at, err = time.ParseDuration(f.At); err != nil {
			return nil, invalidSchedule(err)
		}
		if f.Duration != "" {
			if f.duration, err = time.ParseDuration(f.Duration); err != nil {
				return nil, invalidSchedule(err)
			}
		}
		switch f.Kind {
		case FaultStop, FaultIsolate, FaultSilence, FaultLag, FaultPlatform, FaultRestart:
		default:
			return nil, invalidSchedule(fmt.Errorf("unknown kind %q", f.Kind))
		}
	}
	return s.Faults, nil
}

func invalidSchedule(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "the fault schedule is invalid",
		Remedy:  `write [[fault]] tables with at = "5s", kind, target and for = "2s"`,
		Cause:   cause,
	})
}
