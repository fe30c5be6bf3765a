package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// inject makes a fault happen and ends it after its time.
func (s *stand) inject(ctx context.Context, f Fault) {
	instance := s.instances[f.Target%len(s.instances)]
	switch f.Kind {
	case "kill":
		s.restart(ctx, f, instance, syscall.SIGKILL)
	case "terminate":
		s.restart(ctx, f, instance, syscall.SIGTERM)
	case "kill_all":
		for _, p := range s.instances {
			p.Stop(syscall.SIGKILL)
		}
		pause(ctx, f.For/4)
		for _, p := range s.instances {
			s.start(p)
		}
	case "freeze":
		instance.Signal(syscall.SIGSTOP)
		pause(ctx, f.For)
		instance.Signal(syscall.SIGCONT)
	case "hangup":
		instance.Signal(syscall.SIGHUP)
	case "configuration":
		s.configure()
	default:
		s.injectOutside(ctx, f)
	}
}

// injectOutside makes the faults of the platform and of the endpoints happen.
func (s *stand) injectOutside(ctx context.Context, f Fault) {
	at := f.Target % len(s.instances)
	member := f.Target % len(s.members)
	switch f.Kind {
	case "store_down":
		s.store.Rows.SetDown(true)
		pause(ctx, f.For)
		s.store.Rows.SetDown(false)
	case "store_lose":
		s.store.Rows.LoseAnswers(1 + f.Target%3)
	case "store_compact":
		s.store.Rows.Compact()
	case "store_clock":
		s.store.Rows.Advance(f.For)
	case "store_silent":
		s.shape(ctx, f, s.stores[at], ModeSilent)
	case "store_refuse":
		s.shape(ctx, f, s.stores[at], ModeRefuse)
	case "promoter_silent":
		s.shape(ctx, f, s.promoters[at], ModeSilent)
	case "endpoint_silent":
		s.shape(ctx, f, s.endpoints[member], ModeSilent)
	case "endpoint_deaf":
		s.shape(ctx, f, s.endpoints[member], ModeDeaf)
	case "endpoint_delay":
		s.shape(ctx, f, s.endpoints[member], ModeDelay)
	case "endpoint_refuse":
		s.shape(ctx, f, s.endpoints[member], ModeRefuse)
	case "endpoint_crash":
		s.crash(ctx, f, s.members[member])
	case "primary_crash":
		if m := s.group.Leader(); m != nil {
			s.crash(ctx, f, m)
		}
	case "primary_leaves":
		if m := s.group.Leader(); m != nil {
			s.list(m, platformtest.StateLeaving)
			pause(ctx, f.For)
			s.list(m, platformtest.StateReady)
		}
	case "replicas_lag":
		s.group.SetLag(f.For / 2)
		pause(ctx, f.For)
		s.group.SetLag(0)
	default:
		// A fault of the list that nothing makes happen would pass every run.
		panic("no such fault: " + f.Kind)
	}
}

// shape puts a proxy into a mode for the time of a fault.
func (s *stand) shape(ctx context.Context, f Fault, p *Proxy, m Mode) {
	p.SetMode(m)
	pause(ctx, f.For)
	p.SetMode(ModePass)
}

// crash takes a member down for the time of a fault; it comes back as a new process with its log.
func (s *stand) crash(ctx context.Context, f Fault, m *platformtest.Member) {
	m.SetDown(true)
	// Its entry lapses after a while without a heartbeat.
	pause(ctx, f.For/2)
	s.store.Rows.Remove(platform.TableEndpoints, m.ID)
	pause(ctx, f.For/2)
	m.Start(time.Now().UnixMilli())
	s.list(m, platformtest.StateReady)
}

// restart ends an instance and starts it again after the time of a fault.
func (s *stand) restart(ctx context.Context, f Fault, p *Process, how syscall.Signal) {
	p.Stop(how)
	pause(ctx, f.For)
	s.start(p)
}

// start starts an instance again, unless another fault has already done so.
func (s *stand) start(p *Process) {
	if !p.Stopped() {
		return
	}
	if err := p.Start(); err != nil {
		if _, err := fmt.Fprintln(s.cfg.Output, "cannot start", p.Name(), err); err != nil {
			return
		}
	}
}
