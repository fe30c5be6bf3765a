package load

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/monsoontiller/monsoontiller/fault"
)

// Workload says what sessions do.
type Workload struct {
	name string
	// writeShare and partShare are the shares of requests that write or reserve a part.
	writeShare float64
	partShare  float64
	staleShare float64
	// burst multiplies the rate during the second half of every burst period.
	burst       float64
	burstPeriod time.Duration
	// roamShare is the share of requests ahead of which the session reconnects.
	roamShare float64
}

// Workloads returns the workloads of both deployments by name.
func Workloads() []Workload {
	return []Workload{
		{name: "bookings", writeShare: 0.3, staleShare: 0.2, burst: 4, burstPeriod: 4 * time.Second, roamShare: 0.01},
		{name: "workshop", writeShare: 0.06, partShare: 0.02, staleShare: 0.6, burst: 1, burstPeriod: 4 * time.Second, roamShare: 0.01},
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
		Message: "no workload " + name,
		Remedy:  "use bookings or workshop",
	})
}

// Name returns the workload's name.
func (w Workload) Name() string { return w.name }

// kind is what a request does.
type kind uint8

const (
	kindRead kind = iota
	kindStaleRead
	kindWrite
	kindPart
)

func (w Workload) draw(r *rand.Rand) kind {
	x := r.Float64()
	switch {
	case x < w.writeShare:
		return kindWrite
	case x < w.writeShare+w.partShare:
		return kindPart
	case r.Float64() < w.staleShare:
		return kindStaleRead
	}
	return kindRead
}

// gap returns the time to the next arrival at a time into the run.
func (w Workload) gap(r *rand.Rand, into time.Duration, rate float64) time.Duration {
	factor := 2 / (1 + w.burst)
	if into%w.burstPeriod >= w.burstPeriod/2 {
		factor *= w.burst
	}
	return time.Duration(r.ExpFloat64() / (rate * factor) * float64(time.Second))
}

// Fault is one entry of a fault schedule.
type Fault struct {
	At     string `toml:"at"`
	Kind   string `toml:"kind"`
	Target string `toml:"target"`
	For    string `toml:"for"`
	at     time.Duration
	length time.Duration
}

// schedule is the TOML form of a fault file.
type schedule struct {
	Faults []Fault `toml:"fault"`
}

// Kinds of fault that an embedded fleet can bring about.
const (
	FaultStop      = "stop_endpoint"
	FaultIsolate   = "isolate_endpoint"
	FaultSilence   = "silence_endpoint"
	FaultLag       = "lag_endpoint"
	FaultPlatform  = "platform_outage"
	FaultInstances = "restart_instance"
)

// LoadFaults reads a fault schedule; it fails with KindInvalid.
func LoadFaults(path string) ([]Fault, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFaults(text)
}

// ParseFaults returns the faults in a TOML text; it fails with KindInvalid.
func ParseFaults(text []byte) ([]Fault, error) {
	var s schedule
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, badFault(err)
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		var err error
		if f.at, err = time.ParseDuration(f.At); err != nil {
			return nil, badFault(err)
		}
		if f.For != "" {
			if f.length, err = time.ParseDuration(f.For); err != nil {
				return nil, badFault(err)
			}
		}
		switch f.Kind {
		case FaultStop, FaultIsolate, FaultSilence, FaultLag, FaultPlatform, FaultInstances:
		default:
			return nil, badFault(fmt.Errorf("unknown kind %q", f.Kind))
		}
	}
	return s.Faults, nil
}

func badFault(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindInvalid,
		Message: "the fault schedule cannot be read",
		Remedy:  `write [[fault]] tables with at = "5s", kind, target and for = "2s"`,
		Cause:   cause,
	})
}
