package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// kindRefusedValues makes the members refuse a share of the commands that set values or prepare statements.
	kindRefusedValues = "refused_values"
	// leastRefused is the least share of these commands that are refused.
	leastRefused = 0.1
	// configurationBound is how long a version may take to come into force on every instance.
	configurationBound = 3 * time.Second
)

// RefusedValues returns n times in which the members refuse values and prepared statements, in the first four fifths of a run of
// the given length.
func RefusedValues(seed uint64, length time.Duration, n int) []Fault {
	return drawn(rand.New(rand.NewPCG(seed, 0x5e70)), length, n, maxRandomDuration, kindRefusedValues)
}

func (f *fixture) refuseValues(ctx context.Context, fault Fault) {
	f.group.SetRefusedValues(leastRefused + (1-leastRefused)*float64(fault.Target%100)/100)
	pause(ctx, fault.Duration)
	f.group.SetRefusedValues(0)
}

// checkMissedAnswers loses the answers of all calls that wait for changes, writes a version, and returns a failure for each
// instance on which it is not in force within its bound; it does so as often as the run is configured, after the last fault.
func (f *fixture) checkMissedAnswers(ctx context.Context, oracle *Oracle) (failures []string) {
	for range f.cfg.MissedAnswers {
		f.store.LoseWaitingAnswers()
		f.writeConfiguration()
		database := f.newestExtraDatabase()
		bounded, cancel := context.WithTimeout(ctx, configurationBound)
		for i, p := range f.instances {
			if c := f.newClient(f.cfg.Clients+i, oracle, []string{p.Address()}); !c.AwaitDatabase(bounded, database) {
				failures = append(failures, fmt.Sprintf("config: %s refuses %s %v after its version was written, beside a lost answer", p.Name(), database, configurationBound))
			}
		}
		cancel()
	}
	return failures
}
