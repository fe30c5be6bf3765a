package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// caseStart is when the faults of a case begin: late enough that a copy of the store is copyAge old.
const caseStart = copyAge + time.Second

// caseBuilder collects the faults of a case; random offsets vary with the seed.
type caseBuilder struct {
	r         *rand.Rand
	instances int
	faults    []Fault
}

// add adds a fault that starts a random time between from and to after caseStart.
func (b *caseBuilder) add(kind string, from, to, duration time.Duration, target int) {
	at := caseStart + from
	if to > from {
		at += time.Duration(b.r.Int64N(int64(to - from)))
	}
	b.faults = append(b.faults, Fault{At: at, Duration: duration, Kind: kind, Target: target})
}

// restore makes the store return from an older copy; early rewrites its rows before any instance reaches it.
func (b *caseBuilder) restore(from, to time.Duration, early bool) {
	target := 2 * b.r.IntN(1000)
	if early {
		target++
	}
	b.add(kindStoreRestore, from, to, time.Second+time.Duration(b.r.Int64N(int64(2*time.Second))), target)
}

// caseReplacement is the case in which the store does not return from an older copy.
const caseReplacement = "replacement"

// casePartition is the case of partitions; the store does not return from an older copy in it, either.
const casePartition = "partition"

// cases are series of faults around a store that returns from an older copy, caseReplacement and casePartition.
var cases = map[string]func(b *caseBuilder){
	"configuration": func(b *caseBuilder) {
		b.add("configuration", 0, 0, 0, 0)
		b.restore(0, 300*time.Millisecond, b.r.IntN(2) == 0)
		b.add("configuration", 500*time.Millisecond, 4*time.Second, 0, 0)
	},
	"promotion": func(b *caseBuilder) {
		b.add("primary_crash", 0, 0, 3*time.Second, 0)
		b.restore(0, 2500*time.Millisecond, b.r.IntN(2) == 0)
		b.add("primary_crash", 5*time.Second, 7*time.Second, 3*time.Second, 0)
	},
	caseReplacement: func(b *caseBuilder) {
		for i := range 3 {
			from := time.Duration(i)*10*time.Second - caseStart
			b.add(kindPromotion, from, from+2*time.Second, 3*time.Second+time.Duration(b.r.Int64N(int64(3*time.Second))), b.r.IntN(1<<promotionBits))
		}
	},
	casePartition: func(b *caseBuilder) {
		for i, fails := range []int{partitionStoreDown, partitionUnregistered} {
			from := time.Duration(i)*13*time.Second - caseStart + time.Second
			target := b.r.IntN(1<<16)&^(partitionStoreDown|partitionUnregistered) | fails
			b.add(kindPartition, from, from+time.Second, time.Second+time.Duration(b.r.Int64N(int64(maxRandomDuration))), target)
		}
	},
	"switchover": func(b *caseBuilder) {
		b.add("primary_leaves", 0, 0, 4*time.Second, 0)
		b.restore(0, time.Second, b.r.IntN(2) == 0)
		b.add("primary_leaves", 5*time.Second, 7*time.Second, 4*time.Second, 0)
	},
	"rolling_restart": func(b *caseBuilder) {
		for i := range b.instances {
			from := time.Duration(i) * 600 * time.Millisecond
			b.add("terminate", from, from, time.Second, i)
		}
		b.restore(0, 2*time.Second, b.r.IntN(2) == 0)
	},
	"start": func(b *caseBuilder) {
		b.add(kindPowerLoss, 0, 0, 2*time.Second, 0)
		b.restore(0, 2*time.Second, b.r.IntN(2) == 0)
	},
	"twice": func(b *caseBuilder) {
		b.add("primary_crash", 0, 3*time.Second, 3*time.Second, 0)
		b.restore(0, time.Second, b.r.IntN(2) == 0)
		b.restore(4*time.Second, 9*time.Second, b.r.IntN(2) == 0)
	},
	"half_cut_off": func(b *caseBuilder) {
		for i := range b.instances / 2 {
			b.add("store_silent", 0, 0, 6*time.Second, i)
		}
		b.add("configuration", 0, time.Second, 0, 0)
		b.restore(500*time.Millisecond, 2*time.Second, b.r.IntN(2) == 0)
		b.add("primary_crash", time.Second, 4*time.Second, 3*time.Second, 0)
	},
	"history_dropped": func(b *caseBuilder) {
		b.restore(0, time.Second, b.r.IntN(2) == 0)
		b.add("store_compact", 0, 3*time.Second, 0, 0)
		b.add("configuration", 2*time.Second, 4*time.Second, 0, 0)
		b.add("kill", time.Second, 3*time.Second, time.Second, b.r.IntN(b.instances))
	},
}

// CaseNames returns the names of the cases, sorted.
func CaseNames() []string {
	names := make([]string, 0, len(cases))
	for name := range cases {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// CaseFaults returns the faults of a case for a seed and a number of instances; it fails if there is no such case.
func CaseFaults(name string, seed uint64, instances int) ([]Fault, error) {
	build, ok := cases[name]
	if !ok {
		return nil, fmt.Errorf("there is no case %q; choose one of %v", name, CaseNames())
	}
	b := &caseBuilder{r: rand.New(rand.NewPCG(seed, 0xca5e)), instances: instances}
	build(b)
	return b.faults, nil
}
