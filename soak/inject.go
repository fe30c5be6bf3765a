package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// inject starts a fault and ends it after its duration.
func (f *fixture) inject(ctx context.Context, fault Fault) {
	f.accounts.disturb(fault)
	if injectAccounts, ok := accountFaults[fault.Kind]; ok {
		injectAccounts(ctx, f, fault)
		f.accounts.disturb(Fault{})
		return
	}
	instance := f.instances[fault.Target%len(f.instances)]
	switch fault.Kind {
	case "kill":
		f.restart(ctx, fault, instance, syscall.SIGKILL)
	case "terminate":
		f.restart(ctx, fault, instance, syscall.SIGTERM)
	case "kill_all":
		f.killAll(ctx, fault)
	case kindPowerLoss:
		for _, p := range f.endpointProxies {
			p.Linger(deadPeerTime)
		}
		f.killAll(ctx, fault)
	case kindRouteMove:
		f.moveRoute(ctx, fault)
	case kindDescriptors:
		if err := f.limitDescriptors(ctx, fault, instance); err != nil {
			fmt.Fprintln(f.cfg.Output, "cannot limit the descriptors of", instance.Name(), err)
		}
	case kindOddEntry:
		f.writeOddEntry(ctx, fault)
	case kindRefusedValues:
		f.refuseValues(ctx, fault)
	case kindSever:
		f.sever(fault)
	case kindPromotion:
		f.replacePrimary(ctx, fault)
	case kindPartition:
		f.partition(ctx, fault)
	case kindStoreRestore:
		f.restoreStore(ctx, fault)
	case "freeze":
		instance.Signal(syscall.SIGSTOP)
		pause(ctx, fault.Duration)
		instance.Signal(syscall.SIGCONT)
	case "hangup":
		instance.Signal(syscall.SIGHUP)
	case "configuration":
		f.writeConfiguration()
	default:
		f.injectEnvironment(ctx, fault)
	}
}

// leastSevered is the least share of the connections that a severance affects.
const leastSevered = 0.4

// sever makes a share of the open connections to the endpoints, the store and the promoter go silent for good.
func (f *fixture) sever(fault Fault) {
	share := leastSevered + (1-leastSevered)*float64(fault.Target%100)/100
	for _, proxies := range [][]*Proxy{f.endpointProxies, f.storeProxies, f.promoterProxies} {
		for _, p := range proxies {
			p.Sever(share)
		}
	}
}

// deadPeerTime is how long an endpoint keeps the connections of a machine without power.
const deadPeerTime = 3 * time.Second

// killAll kills all instances, and starts them again after a part of the fault's duration.
func (f *fixture) killAll(ctx context.Context, fault Fault) {
	for _, p := range f.instances {
		p.Stop(syscall.SIGKILL)
	}
	pause(ctx, fault.Duration/4)
	for _, p := range f.instances {
		f.start(p)
	}
}

// injectEnvironment injects the faults of the platform and of the endpoints.
func (f *fixture) injectEnvironment(ctx context.Context, fault Fault) {
	index := fault.Target % len(f.instances)
	member := fault.Target % len(f.members)
	switch fault.Kind {
	case "store_down":
		f.store.Rows.SetDown(true)
		pause(ctx, fault.Duration)
		f.store.Rows.SetDown(false)
	case "store_lose":
		f.store.Rows.LoseAnswers(1 + fault.Target%3)
	case "store_compact":
		f.store.Rows.Compact()
	case "store_clock":
		f.store.Rows.Advance(fault.Duration)
	case "store_silent":
		f.holdMode(ctx, fault, f.storeProxies[index], ModeSilent)
	case "store_refuse":
		f.holdMode(ctx, fault, f.storeProxies[index], ModeRefuse)
	case "promoter_silent":
		f.holdMode(ctx, fault, f.promoterProxies[index], ModeSilent)
	case "endpoint_silent":
		f.holdMode(ctx, fault, f.endpointProxies[member], ModeSilent)
	case "endpoint_deaf":
		f.holdMode(ctx, fault, f.endpointProxies[member], ModeDeaf)
	case "endpoint_delay":
		f.holdMode(ctx, fault, f.endpointProxies[member], ModeDelay)
	case "endpoint_refuse":
		f.holdMode(ctx, fault, f.endpointProxies[member], ModeRefuse)
	case "endpoint_crash":
		f.crash(ctx, fault, f.members[member])
	case "primary_crash":
		if m := f.group.Primary(); m != nil {
			f.crash(ctx, fault, m)
		}
	case "primary_leaves":
		if m := f.group.Primary(); m != nil {
			f.writeEntry(m, platformtest.StateLeaving)
			pause(ctx, fault.Duration)
			f.writeEntry(m, platformtest.StateReady)
		}
	case "replicas_lag":
		f.group.SetLag(fault.Duration / 2)
		pause(ctx, fault.Duration)
		f.group.SetLag(0)
	default:
		// A kind without an implementation would pass every run unnoticed.
		panic("fault kind has no implementation: " + fault.Kind)
	}
}

// holdMode sets a proxy to a mode for the duration of a fault.
func (f *fixture) holdMode(ctx context.Context, fault Fault, p *Proxy, m Mode) {
	p.SetMode(m)
	pause(ctx, fault.Duration)
	p.SetMode(ModePass)
}

// crash stops a member for the duration of a fault and restarts it as a new process with its log intact.
func (f *fixture) crash(ctx context.Context, fault Fault, m *platformtest.Member) {
	m.SetDown(true)
	// The platform removes a member's entry after some time without a heartbeat, here after half the duration.
	pause(ctx, fault.Duration/2)
	f.removeEntry(m.ID)
	pause(ctx, fault.Duration/2)
	m.Start(time.Now().UnixMilli())
	f.writeEntry(m, platformtest.StateReady)
}

// restart stops an instance with a signal and starts it again after the duration of a fault.
func (f *fixture) restart(ctx context.Context, fault Fault, p *Process, sig syscall.Signal) {
	p.Stop(sig)
	pause(ctx, fault.Duration)
	f.start(p)
}

// start starts a stopped instance, unless another fault has already started it.
func (f *fixture) start(p *Process) {
	if !p.Stopped() {
		return
	}
	if err := p.Start(); err != nil {
		if _, err := fmt.Fprintln(f.cfg.Output, "cannot start", p.Name(), err); err != nil {
			return
		}
	}
}
