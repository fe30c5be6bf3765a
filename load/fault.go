package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
)

// longLag is the replication lag that FaultLag sets.
const longLag = 30 * time.Second

// Inject runs a fault schedule on an embedded fleet and returns when all faults have ended or ctx ends.
//
// It calls report with a description of each start and end of a fault.
func Inject(ctx context.Context, f *dev.Fleet, faults []Fault, report func(string)) {
	started := time.Now()
	done := make(chan struct{}, len(faults))
	for _, fault := range faults {
		go func() {
			defer func() { done <- struct{}{} }()
			if !waitUntil(ctx, started.Add(fault.at)) {
				return
			}
			report(fmt.Sprintf("%s %s", fault.Kind, fault.Target))
			undo := startFault(f, fault)
			if fault.duration == 0 || !waitUntil(ctx, started.Add(fault.at+fault.duration)) {
				return
			}
			undo()
			report(fmt.Sprintf("end of %s %s", fault.Kind, fault.Target))
		}()
	}
	for range faults {
		<-done
	}
}

// waitUntil waits until the given time and reports whether it was reached before ctx ended.
func waitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// findMember returns the endpoint of that name.
//
// The names "primary" and "replica" select an endpoint of the first group by its
// current role. An unknown name selects the first endpoint of the first group.
func findMember(f *dev.Fleet, name string) *endpointtest.Member {
	firstGroup := f.Groups()[0]
	primary := firstGroup.Primary()
	for _, g := range f.Groups() {
		for _, m := range g.Members() {
			if m.Name() == name || name == "primary" && m == primary || name == "replica" && g == firstGroup && m != primary {
				return m
			}
		}
	}
	return firstGroup.Members()[0]
}

// startFault starts a fault and returns the function that ends it.
//
// Ending FaultSilence has no effect: the silenced connections stay silent. Ending FaultLag sets the lag to 0, not to the
// fleet's configured lag.
func startFault(f *dev.Fleet, fault Fault) (undo func()) {
	switch fault.Kind {
	case FaultPlatform:
		f.Platform().SetDown(true)
		return func() { f.Platform().SetDown(false) }
	case FaultRestart:
		return restartInstance(f, fault.Target)
	}
	m := findMember(f, fault.Target)
	switch fault.Kind {
	case FaultStop:
		m.Stop()
		return func() { _ = m.Restart() }
	case FaultSilence:
		m.Silence()
	case FaultLag:
		m.SetLag(longLag)
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

// restartInstance stops an instance gracefully and returns the function that starts it again.
//
// Instance names are entry-1, entry-2 and so on; other names have no effect.
func restartInstance(f *dev.Fleet, name string) (undo func()) {
	var n int
	if _, err := fmt.Sscanf(strings.TrimPrefix(name, "entry-"), "%d", &n); err != nil || n < 1 {
		return func() {}
	}
	_ = f.StopInstance(n - 1)
	return func() { _ = f.StartInstance(n - 1) }
}
