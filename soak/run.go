package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Config describes a run.
type Config struct {
	// Seed determines the faults and the operations of the callers.
	Seed uint64
	// Length is the duration of the load; all faults start within it.
	Length    time.Duration
	Instances int
	Clients   int
	// Connections is the connection limit of a member.
	Connections int
	// Accounts is the number of accounts, or 0 for a configuration without accounts.
	Accounts int
	// PowerLosses is the number of times that all instances lose power, in addition to the faults of the schedule.
	PowerLosses int
	// Severances is the number of times that open connections go silent, in addition to the faults of the schedule.
	Severances int
	// StoreRestores is the number of times that the store returns from an older copy, in addition to the schedule.
	StoreRestores int
	// Promotions is the number of replacements of the primary under failures, in addition to the faults of the schedule.
	Promotions int
	// RouteMoves is the number of times that the route of a database leads to another group for a while, OddEntries that of entries
	// of another writer among those of the members, both in addition to the faults of the schedule.
	RouteMoves int
	OddEntries int
	// DescriptorLimits is the number of times that an instance has hardly a descriptor left for a while, in addition, too.
	DescriptorLimits int
	// Partitions is the number of times that the primary and the last instance, which starts without knowing the others, are cut off
	// from the others, in addition, too.
	Partitions int
	// RefusedValues is the number of times that the members refuse values and prepared statements for a while, in addition, too.
	RefusedValues int
	// MissedAnswers is the number of versions that are written, after the last fault, while the store's answers to the calls that
	// wait for changes are lost.
	MissedAnswers int
	// CutMessages makes callers send some messages in two pieces, of which the second looks like a request.
	CutMessages bool
	// SyncReplica makes the members acknowledge a write only once a replica has received it.
	SyncReplica bool
	// Case, if set, names the series of faults that replaces those of the schedule, one of CaseNames.
	Case string
	// Network is the second octet of the instances' loopback addresses; concurrent runs need different values.
	Network int
	// Binary is the path of the program; Directory receives the settings and output files of its processes.
	Binary    string
	Directory string
	// Output receives a line for each fault.
	Output io.Writer
}

// restoresStore reports whether the store returns from older copies in the run.
func (c Config) restoresStore() bool {
	return c.StoreRestores > 0 || c.Case != "" && c.Case != caseReplacement && c.Case != casePartition
}

// hasStranger reports whether the last instance starts without knowing the others.
func (c Config) hasStranger() bool { return c.Partitions > 0 || c.Case == casePartition }

// promotes reports whether the primary is replaced under failures in the run.
func (c Config) promotes() bool {
	return c.Promotions > 0 || c.hasStranger() || c.Case == caseReplacement
}

// faults returns the faults of the run in order of their start.
func (c Config) faults() (faults []Fault, err error) {
	if c.Case == "" {
		faults = Schedule(c.Seed, c.Length)
	} else if faults, err = CaseFaults(c.Case, c.Seed, c.Instances); err != nil {
		return nil, err
	}
	faults = slices.Concat(faults, PowerLosses(c.Seed, c.Length, c.PowerLosses), StoreRestores(c.Seed, c.Length, c.StoreRestores),
		Severances(c.Seed, c.Length, c.Severances), Promotions(c.Seed, c.Length, c.Promotions),
		RouteMoves(c.Seed, c.Length, c.RouteMoves), OddEntries(c.Seed, c.Length, c.OddEntries), DescriptorLimits(c.Seed, c.Length, c.DescriptorLimits),
		Partitions(c.Seed, c.Length, c.Partitions), RefusedValues(c.Seed, c.Length, c.RefusedValues))
	if c.Accounts > 0 {
		faults = append(faults, AccountFaults(c.Seed, c.Length)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults, nil
}

// Report holds the results of a run.
type Report struct {
	violations []string
	runs       int
	acked      int
	// quotaRefusals is the number of requests refused because of a quota, belowLimit the number of those that were refused in
	// calm time although their account sent no more than its rate.
	quotaRefusals int
	belowLimit    int
}

// Violations returns the violated guarantees and failed recoveries, each as "kind: description".
func (r Report) Violations() []string { return r.violations }

// Runs returns the number of callers' statements that members ran.
func (r Report) Runs() int { return r.runs }

// Acked returns the number of acknowledged writes.
func (r Report) Acked() int { return r.acked }

// QuotaRefusals returns the number of requests refused because of a quota, and how many of them were refused in calm time
// although their account sent no more than its rate; the latter are no violation.
func (r Report) QuotaRefusals() (all, belowLimit int) { return r.quotaRefusals, r.belowLimit }

// Time limits of a run's start and end.
const (
	// startTime is the time limit for all instances to become ready.
	startTime = 30 * time.Second
	// recoveryTime is the time limit after the last fault for every instance to serve a write.
	recoveryTime = 30 * time.Second
)

// Run injects the faults of a seed into instances under load and reports the violations. It returns an error if the run
// could not be completed; its report is then not valid.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	faults, err := cfg.faults()
	if err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	oracle := NewOracle()
	f, err := newFixture(ctx, cfg, oracle)
	if err != nil {
		cancel()
		return report, err
	}
	defer func() {
		for _, p := range f.instances {
			p.Stop(syscall.SIGKILL)
		}
		cancel()
		err = errors.Join(err, f.awaitEnd())
	}()
	for _, p := range f.instances {
		if err := p.Start(); err != nil {
			return report, err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return report, err
	}
	f.runLoad(ctx, oracle, faults)
	if cfg.restoresStore() {
		f.restoreStore(ctx, lastRestore)
	}
	failures := f.checkRecovery(ctx, oracle)
	failures = append(failures, f.checkMissedAnswers(ctx, oracle)...)
	if ctx.Err() != nil {
		return report, errors.New("the run was interrupted and its result is incomplete; run the seed again")
	}
	for _, p := range f.instances {
		if err := p.UnexpectedExit(); err != nil {
			failures = append(failures, "exit: "+err.Error())
		}
	}
	if primary := f.group.Primary(); primary != nil {
		oracle.CheckAcked(primary.Log(), func(data string) bool { return !cfg.SyncReplica && f.group.RolledBack(data) })
	}
	report.violations = append(oracle.Violations(), failures...)
	report.runs, report.acked = oracle.Counts()
	if f.accounts != nil {
		report.violations = append(report.violations, f.accounts.oracle.Violations()...)
		report.quotaRefusals, report.belowLimit = f.accounts.oracle.QuotaRefusals()
	}
	return report, nil
}

// lastRestore is injected after the load, so that nothing that is written later hides a change that an instance has missed.
var lastRestore = Fault{Kind: kindStoreRestore, Duration: time.Second, Target: 1}

func (f *fixture) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTime)
	for _, p := range f.instances {
		for !p.Ready(ctx) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("instance %s is not ready after %v; see its log", p.Name(), startTime)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// runLoad runs the callers for the length of the run and injects the faults; it returns when all of them have ended.
func (f *fixture) runLoad(ctx context.Context, oracle *Oracle, faults []Fault) {
	loadCtx, stop := context.WithTimeout(ctx, f.cfg.Length)
	defer stop()
	var wait sync.WaitGroup
	for i := range f.cfg.Clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.newClient(i, oracle, f.addresses()).Run(loadCtx)
		}()
	}
	// The quota of an account fills from empty after a start.
	f.accounts.disturb(Fault{})
	started := time.Now()
	for _, fault := range faults {
		pause(ctx, fault.At-time.Since(started))
		if _, err := fmt.Fprintln(f.cfg.Output, fault); err != nil {
			return
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.inject(ctx, fault)
		}()
	}
	wait.Wait()
}

func (f *fixture) newClient(number int, oracle *Oracle, addresses []string) *Client {
	return newClient(number, f.cfg, oracle, addresses, f.accounts)
}

func (f *fixture) addresses() []string {
	out := make([]string, 0, len(f.instances))
	for _, p := range f.instances {
		out = append(out, p.Address())
	}
	return out
}

// checkRecovery returns a failure for each instance that, within recoveryTime after the last fault, serves no write or no
// database of the newest configuration.
func (f *fixture) checkRecovery(ctx context.Context, oracle *Oracle) (failures []string) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTime)
	defer cancel()
	results := make(chan string, len(f.instances))
	for i, p := range f.instances {
		go func() {
			c := f.newClient(f.cfg.Clients+i, oracle, []string{p.Address()})
			if !c.AwaitWrite(ctx) {
				// On SIGQUIT, the program writes the stacks of its goroutines to its output.
				p.Signal(syscall.SIGQUIT)
				results <- "recovery: " + p.Name() + " serves no write " + recoveryTime.String() + " after the last fault"
				return
			}
			if database := f.newestExtraDatabase(); !c.AwaitDatabase(ctx, database) {
				results <- "config: " + p.Name() + " refuses " + database + " of the newest configuration " + recoveryTime.String() + " after the last fault"
				return
			}
			results <- ""
		}()
	}
	for range f.instances {
		if text := <-results; text != "" {
			failures = append(failures, text)
		}
	}
	return failures
}
