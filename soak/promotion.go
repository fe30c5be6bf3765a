package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// kindPromotion replaces the primary while parts fail that the promotion needs; bits of the target select them.
const kindPromotion = "promotion"

// Bits of the target of a fault of kindPromotion.
const (
	// promotionCrash crashes the primary, which otherwise leaves as planned work does.
	promotionCrash = 1 << iota
	// promotionSuspended makes the promotion API accept requests and answer none, and run them afterwards.
	promotionSuspended
	// successorSilent cuts the member off whose promotion is ordered first from the instances, when it is ordered.
	successorSilent
	// successorIsolated cuts that member off from the other members, too.
	successorIsolated
	// coordinatorKilled kills the instance that orders the promotion, when it does.
	coordinatorKilled
	// coordinatorFrozen suspends that instance.
	coordinatorFrozen
	// replicaDeaf makes a replica receive nothing from before the replacement on.
	replicaDeaf
	promotionBits = iota
)

const (
	// promotionTime and stepDownAfter are the times of the members: from an order until the member leads, and how long a
	// replaced primary continues.
	promotionTime = 600 * time.Millisecond
	stepDownAfter = time.Second
	// deafLead is how long a replica has received nothing when the primary is replaced.
	deafLead = 500 * time.Millisecond
)

// Promotions returns n replacements of the primary under failures at random times in the first four fifths of a run of the given
// length.
func Promotions(seed uint64, length time.Duration, n int) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x9807))
	var out []Fault
	for range n {
		target := 0
		for bit := range promotionBits {
			// Each failure occurs in a third of the replacements.
			if r.IntN(3) == 0 {
				target |= 1 << bit
			}
		}
		out = append(out, Fault{
			At: time.Duration(r.Int64N(int64(length * 4 / 5))), Duration: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxPromotionOutage))),
			Kind: kindPromotion, Target: target,
		})
	}
	return out
}

// maxPromotionOutage exceeds the time after which an attempt is given up, so that some failures outlast one.
const maxPromotionOutage = 6 * time.Second

// replacePrimary injects a fault of kindPromotion; only one is in progress at a time.
func (f *fixture) replacePrimary(ctx context.Context, fault Fault) {
	f.promotions.Lock()
	defer f.promotions.Unlock()
	primary := f.group.Primary()
	if primary == nil {
		return
	}
	has := func(bit int) bool { return fault.Target&bit != 0 }
	if has(replicaDeaf) {
		deaf := f.replicaOf(primary, fault.Target)
		deaf.SetDeaf(true)
		defer deaf.SetDeaf(false)
		pause(ctx, deafLead)
	}
	if has(promotionSuspended) {
		f.group.SuspendPromotions()
		defer f.group.ResumePromotions()
	}
	ended := f.onFirstOrder(ctx, fault)
	defer ended()
	if has(promotionCrash) {
		f.crash(ctx, fault, primary)
		return
	}
	f.writeEntry(primary, platformtest.StateLeaving)
	pause(ctx, fault.Duration)
	f.writeEntry(primary, platformtest.StateReady)
}

// replicaOf returns a member other than the primary.
func (f *fixture) replicaOf(primary *platformtest.Member, number int) *platformtest.Member {
	var replicas []*platformtest.Member
	for _, m := range f.members {
		if m != primary {
			replicas = append(replicas, m)
		}
	}
	return replicas[(number/2)%len(replicas)]
}

// onFirstOrder lets the parts fail that fail when the first promotion is ordered; the function that it returns ends the failures
// and waits for their end.
func (f *fixture) onFirstOrder(ctx context.Context, fault Fault) (ended func()) {
	ctx, cancel := context.WithCancel(ctx)
	var once sync.Once
	var failures sync.WaitGroup
	f.group.OnOrder(func(id, holder string) {
		once.Do(func() {
			failures.Add(2)
			go func() {
				defer failures.Done()
				f.failSuccessor(ctx, fault, id)
			}()
			go func() {
				defer failures.Done()
				f.failCoordinator(ctx, fault, holder)
			}()
		})
	})
	return func() {
		f.group.OnOrder(nil)
		once.Do(func() {})
		cancel()
		failures.Wait()
	}
}

// failSuccessor cuts off the member whose promotion was ordered.
func (f *fixture) failSuccessor(ctx context.Context, fault Fault, id string) {
	for i, m := range f.members {
		if m.ID != id {
			continue
		}
		if fault.Target&successorIsolated != 0 {
			m.SetIsolated(true)
			defer m.SetIsolated(false)
		}
		if fault.Target&(successorSilent|successorIsolated) != 0 {
			f.holdMode(ctx, fault, f.endpointProxies[i], ModeSilent)
		}
	}
}

// failCoordinator kills or suspends the instance that ordered the promotion.
func (f *fixture) failCoordinator(ctx context.Context, fault Fault, holder string) {
	for _, p := range f.instances {
		switch {
		case p.Name() != holder:
		case fault.Target&coordinatorKilled != 0:
			p.Stop(syscall.SIGKILL)
			pause(ctx, fault.Duration)
			f.start(p)
		case fault.Target&coordinatorFrozen != 0:
			p.Signal(syscall.SIGSTOP)
			pause(ctx, fault.Duration)
			p.Signal(syscall.SIGCONT)
		}
	}
}
