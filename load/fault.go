package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
)

// farLag is the lag of a replica that falls far behind.
const farLag = 30 * time.Second

// Inject carries a fault schedule out on an embedded fleet until it is done or ctx ends.
func Inject(ctx context.Context, f *dev.Fleet, faults []Fault, note func(string)) {
	started := time.Now()
	ends := make(chan struct{}, len(faults))
	for _, one := range faults {
		go func() {
			defer func() { ends <- struct{}{} }()
			if !until(ctx, started.Add(one.at)) {
				return
			}
			note(fmt.Sprintf("%s %s", one.Kind, one.Target))
			undo := begin(f, one)
			if one.length == 0 || !until(ctx, started.Add(one.at+one.length)) {
				return
			}
			undo()
			note(fmt.Sprintf("end of %s %s", one.Kind, one.Target))
		}()
	}
	for range faults {
		<-ends
	}
}

func until(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// member returns the endpoint of that name; "primary" and "replica" name one by its present role in the first group.
func member(f *dev.Fleet, name string) *endpointtest.Member {
	first := f.Groups()[0]
	primary := first.Primary()
	for _, g := range f.Groups() {
		for _, m := range g.Members() {
			if m.Name() == name || name == "primary" && m == primary || name == "replica" && g == first && m != primary {
				return m
			}
		}
	}
	return first.Members()[0]
}

// begin starts a fault and returns what ends it.
func begin(f *dev.Fleet, one Fault) (undo func()) {
	switch one.Kind {
	case FaultPlatform:
		f.Platform().SetDown(true)
		return func() { f.Platform().SetDown(false) }
	case FaultInstances:
		return restart(f, one.Target)
	}
	m := member(f, one.Target)
	switch one.Kind {
	case FaultStop:
		m.Stop()
		return func() { _ = m.Restart() }
	case FaultSilence:
		m.Silence()
	case FaultLag:
		m.SetLag(farLag)
		return func() { m.SetLag(0) }
	case FaultIsolate:
		m.SetIsolated(true)
		m.Block("*")
		return func() {
			m.Unblock("*")
			m.SetIsolated(false)
		}
	}
	return func() {}
}

// restart stops an instance gracefully at once, and starts it again at the end of the fault.
func restart(f *dev.Fleet, name string) (undo func()) {
	var n int
	if _, err := fmt.Sscanf(strings.TrimPrefix(name, "entry-"), "%d", &n); err != nil || n < 1 {
		return func() {}
	}
	_ = f.StopInstance(n - 1)
	return func() { _ = f.StartInstance(n - 1) }
}
