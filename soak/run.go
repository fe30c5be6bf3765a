package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Length is how long callers ask while faults come.
	Length    time.Duration
	Instances int
	Clients   int
	// Connections is the most that a member takes, by the configuration.
	Connections int
	// Network is the second number of the loopback addresses of the instances, so that runs can go on at once.
	Network int
	// Binary is the program, and Directory takes the settings and the output of its processes.
	Binary    string
	Directory string
	// Output takes a line for each fault.
	Output io.Writer
}

// Report says what a run has seen.
type Report struct {
	violations []string
	runs       int
	acked      int
}

// Violations returns what broke, or nothing.
func (r Report) Violations() []string { return r.violations }

// Runs returns how many statements of callers the members ran.
func (r Report) Runs() int { return r.runs }

// Acked returns how many writes were acknowledged.
func (r Report) Acked() int { return r.acked }

// Bounds of the start and the end of a run.
const (
	// startTime is how long instances may take until they say that they are ready.
	startTime = 30 * time.Second
	// recoveryTime is how long it may take after the last fault until every instance serves a write.
	recoveryTime = 30 * time.Second
)

// Run plays the faults of a seed against instances under load; it fails when the stand itself does.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	ledger := NewLedger()
	s, err := newStand(ctx, cfg, ledger)
	if err != nil {
		cancel()
		return report, err
	}
	defer func() {
		for _, p := range s.instances {
			p.Stop(syscall.SIGKILL)
		}
		cancel()
		err = errors.Join(err, s.await())
	}()
	for _, p := range s.instances {
		if err := p.Start(); err != nil {
			return report, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return report, err
	}
	s.play(ctx, ledger)
	late := s.recovered(ctx, ledger)
	if ctx.Err() != nil {
		return report, errors.New("the run was stopped; what it saw tells nothing")
	}
	for _, p := range s.instances {
		if err := p.Ended(); err != nil {
			late = append(late, "exit: "+err.Error())
		}
	}
	if leader := s.group.Leader(); leader != nil {
		ledger.Lost(leader.Log(), s.group.Lost)
	}
	report.violations = append(ledger.Violations(), late...)
	report.runs, report.acked = ledger.Counts()
	return report, nil
}

func (s *stand) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTime)
	for _, p := range s.instances {
		for !p.Ready(ctx) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("instance %s is not ready after %v", p.Name(), startTime)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// play runs the callers and the faults until the length of the run is over and every fault has ended.
func (s *stand) play(ctx context.Context, ledger *Ledger) {
	asking, stop := context.WithTimeout(ctx, s.cfg.Length)
	defer stop()
	var wait sync.WaitGroup
	for i := range s.cfg.Clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			NewClient(i, s.cfg.Seed, ledger, s.addresses()).Run(asking)
		}()
	}
	started := time.Now()
	for _, f := range Schedule(s.cfg.Seed, s.cfg.Length) {
		pause(ctx, f.At-time.Since(started))
		if _, err := fmt.Fprintln(s.cfg.Output, f); err != nil {
			return
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.inject(ctx, f)
		}()
	}
	wait.Wait()
}

func (s *stand) addresses() []string {
	out := make([]string, 0, len(s.instances))
	for _, p := range s.instances {
		out = append(out, p.Address())
	}
	return out
}

// recovered reports the instances that serve no write in time, after all faults have ended.
func (s *stand) recovered(ctx context.Context, ledger *Ledger) (late []string) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	ends := make(chan string, len(s.instances))
	for i, p := range s.instances {
		go func() {
			c := NewClient(s.cfg.Clients+i, s.cfg.Seed, ledger, []string{p.Address()})
			if !c.Serve(ctx) {
				// The program answers with the stacks of its goroutines, in its output.
				p.Signal(syscall.SIGQUIT)
				ends <- "recovery: " + p.Name() + " serves no write " + recoveryTime.String() + " after the last fault"
				return
			}
			ends <- ""
		}()
	}
	for range s.instances {
		if text := <-ends; text != "" {
			late = append(late, text)
		}
	}
	return late
}
