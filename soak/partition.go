package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// kindPartition separates the primary and the stranger from the other members and instances; bits of the target select what
// fails with it.
const kindPartition = "partition"

// Bits of the target of a fault of kindPartition; those above determine times.
const (
	// partitionResets resets connections across the partition, which otherwise deliver nothing.
	partitionResets = 1 << iota
	// partitionStoreDown makes the store unavailable for some time, from some time after the partition has begun.
	partitionStoreDown
	// partitionUnregistered stops the stranger and starts it before the partition, while the store does not answer writes and
	// performs them late.
	partitionUnregistered
	partitionBits = iota
)

const (
	// partitionLength is the time of a partition, and partitionLead the time from the start of the stranger to its beginning.
	partitionLength = 7 * time.Second
	partitionLead   = 2 * time.Second
	// maxOutageStart bounds the time from the claim of the promotion to the beginning of the store's outage: the order is sent
	// within it. The outage lasts as long as the fault.
	maxOutageStart = 1500 * time.Millisecond
	// claimTimeout bounds the wait for the claim, and claimPoll is the interval at which the store is asked for it.
	claimTimeout = 3 * time.Second
	claimPoll    = 10 * time.Millisecond
)

// Tables of the instances in the store.
const (
	coordinatorTable = "monsoontiller"
	instanceTable    = "monsoontiller_instances"
)

// Partitions returns n partitions at random times in the first half of a run of the given length.
func Partitions(seed uint64, length time.Duration, n int) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x9a47))
	var out []Fault
	for range n {
		out = append(out, Fault{
			At: time.Duration(r.Int64N(int64(length / 2))), Duration: time.Second + time.Duration(r.Int64N(int64(maxRandomDuration))),
			Kind: kindPartition, Target: r.IntN(1 << 16),
		})
	}
	return out
}

// strangerSeeds are the hosts that the stranger is told to join: none of them runs an instance.
func (f *fixture) strangerSeeds() []string { return []string{f.host(90), f.host(91)} }

// stranger returns the instance that knows no other when it starts; it is the last one.
func (f *fixture) stranger() *Process { return f.instances[len(f.instances)-1] }

// partition injects a fault of kindPartition; no replacement of the primary is in progress meanwhile.
func (f *fixture) partition(ctx context.Context, fault Fault) {
	f.promotions.Lock()
	defer f.promotions.Unlock()
	has := func(bit int) bool { return fault.Target&bit != 0 }
	if has(partitionUnregistered) {
		f.stranger().Stop(syscall.SIGTERM)
		performLate := f.store.Rows.DelayCommits(instanceTable, 5+fault.Target>>partitionBits%4)
		defer performLate()
		f.start(f.stranger())
		pause(ctx, partitionLead)
	}
	mode := ModeSilent
	if has(partitionResets) {
		mode = ModeRefuse
	}
	heal := f.separate(mode)
	started := time.Now()
	if has(partitionStoreDown) {
		f.awaitClaim(ctx)
		pause(ctx, time.Duration(fault.Target>>partitionBits)*time.Millisecond%maxOutageStart)
		f.store.Rows.SetDown(true)
		pause(ctx, fault.Duration)
		f.store.Rows.SetDown(false)
	}
	pause(ctx, partitionLength-time.Since(started))
	heal()
}

// awaitClaim waits until an instance has claimed a promotion, for claimTimeout at most.
func (f *fixture) awaitClaim(ctx context.Context) {
	version := func() uint64 {
		s, err := f.store.Rows.All(ctx, coordinatorTable)
		if row, ok := s.Row("duty/promotion"); ok && err == nil {
			return row.Version
		}
		return 0
	}
	before := version()
	for until := time.Now().Add(claimTimeout); version() == before && time.Now().Before(until); {
		pause(ctx, claimPoll)
	}
}

// separate cuts the primary off from the other members and from all instances but the stranger, and the stranger from the other
// members, until heal is called.
func (f *fixture) separate(mode Mode) (heal func()) {
	primary := f.group.Primary()
	if primary == nil {
		return func() {}
	}
	var others []string
	for _, p := range f.instances[:len(f.instances)-1] {
		others = append(others, p.Name())
	}
	primary.SetIsolated(true)
	for i, m := range f.members {
		if m == primary {
			f.endpointProxies[i].CutCallers(mode, others...)
			continue
		}
		f.endpointProxies[i].CutCallers(ModeSilent, f.stranger().Name())
	}
	return func() {
		primary.SetIsolated(false)
		for _, p := range f.endpointProxies {
			p.CutCallers(ModePass)
		}
	}
}
