package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// kindDescriptors leaves an instance hardly a descriptor for a while.
const kindDescriptors = "descriptors"

// DescriptorLimits returns n moments, in the first four fifths of a run of the given length, from which an instance can open
// hardly a connection for a while.
func DescriptorLimits(seed uint64, length time.Duration, n int) []Fault {
	return drawn(rand.New(rand.NewPCG(seed, 0xfd5)), length, n, maxRandomDuration, kindDescriptors)
}

// maxFreeDescriptors bounds the number of descriptors that are left free.
const maxFreeDescriptors = 4

// limitDescriptors lowers the limit of an instance to little above what it has open, and raises it again.
func (f *fixture) limitDescriptors(ctx context.Context, fault Fault, p *Process) error {
	pid := p.pid()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return err
	}
	var former unix.Rlimit
	lowered := unix.Rlimit{Cur: uint64(len(open) + fault.Target%maxFreeDescriptors)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &former); err != nil {
		return err
	}
	lowered.Max = former.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		return err
	}
	pause(ctx, fault.Duration)
	if p.pid() != pid || p.Stopped() {
		return nil
	}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &former, nil)
}

// pid returns the process ID of the program.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}
