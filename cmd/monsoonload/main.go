package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/load"
)

// Exit codes.
const (
	exitFailure   = 1
	exitUsage     = 2
	exitViolation = 3
)

// errViolation reports that the answers violate a guarantee.
var errViolation = errors.New("the answers violate a guarantee; see the violation counts in the result")

// options holds the subcommands.
type options struct {
	Run      runCommand      `command:"run" description:"Play a workload over sockets and check the answers"`
	Policies policiesCommand `command:"policies" description:"Compare routing policies in virtual time"`
	Fleet    fleetCommand    `command:"fleet" description:"Start fleets of several sizes in virtual time, and show what they send each other"`
	Pace     paceCommand     `command:"pace" description:"Compare limits of the requests at an endpoint that has just started, in virtual time"`
	Quota    quotaCommand    `command:"quota" description:"Limit accounts over fleets of several sizes in virtual time, with faults"`
	Paired   pairedCommand   `command:"paired" description:"Run a command for two builds over the same cases and seeds, and compare the reports"`
	Matrix   matrixCommand   `command:"matrix" description:"Run a command for several builds as a file describes, and compare the reports; a stopped comparison continues"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "monsoonload:", err)
	if errors.Is(err, errViolation) {
		return exitViolation
	}
	return exitFailure
}

// runCommand runs a workload over sockets and checks the answers.
type runCommand struct {
	Workload  string        `long:"workload" choice:"bookings" choice:"workshop" default:"bookings" description:"What sessions do"`
	Address   []string      `long:"address" value-name:"HOST:PORT" description:"Caller address of an instance; repeat for more; none runs an embedded fleet"`
	Customer  string        `long:"customer" default:"baird-lennox" description:"Customer to connect as, with --address"`
	Database  string        `long:"database" default:"candidates-1" description:"Database to connect to, with --address"`
	Instances int           `long:"instances" default:"3" description:"Instances of the embedded fleet"`
	Lag       time.Duration `long:"lag" default:"20ms" description:"Replication lag of the embedded fleet"`
	Contract  string        `long:"contract-extra" value-name:"FILE" description:"TOML tables appended to the embedded fleet's contract"`
	Sessions  int           `long:"sessions" default:"64" description:"Number of sessions"`
	Rate      float64       `long:"rate" default:"1000" description:"Mean requests per second"`
	Duration  time.Duration `long:"duration" default:"20s" description:"Length of the run"`
	Seed      uint64        `long:"seed" default:"1" description:"Seed of arrivals and choices"`
	Faults    string        `long:"faults" value-name:"FILE" description:"TOML fault schedule for the embedded fleet"`
	JSON      string        `long:"json" value-name:"FILE" description:"File for the result; default is standard output"`
	Plot      string        `long:"plot" value-name:"FILE" description:"File for a plot, .svg or .png"`
}

// Execute runs the command.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg, err := c.config()
	if err != nil {
		return err
	}
	if len(c.Address) == 0 {
		f, err := c.startFleet(ctx, &cfg)
		if err != nil {
			return err
		}
		defer func() { _ = f.Stop() }()
	}
	result, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return c.writeResult(result)
}

func (c *runCommand) config() (load.Config, error) {
	workload, err := load.FindWorkload(c.Workload)
	return load.Config{
		Workload:  workload,
		Addresses: c.Address,
		Customer:  c.Customer,
		Database:  c.Database,
		Sessions:  c.Sessions,
		Rate:      c.Rate,
		Duration:  c.Duration,
		Seed:      c.Seed,
		Progress: func(s load.SecondCounts) {
			fmt.Fprintf(os.Stderr, "%3d s: %6d answered, %4d failed, p50 %.2f ms, p99 %.2f ms\n", s.At, s.Answered, s.Failed, s.P50, s.P99)
		},
	}, err
}

// startFleet starts an embedded fleet and its fault schedule, and completes cfg with the addresses of its ready
// instances, its customer and its database.
func (c *runCommand) startFleet(ctx context.Context, cfg *load.Config) (*dev.Fleet, error) {
	preset := dev.PresetBairdLennox
	if c.Workload == "workshop" {
		preset = dev.PresetLellu
	}
	extra, faults, err := c.readFiles()
	if err != nil {
		return nil, err
	}
	f, err := dev.Start(ctx, dev.Config{Instances: c.Instances, Preset: preset, Lag: c.Lag, ContractExtra: extra})
	if err != nil {
		return nil, err
	}
	for _, i := range f.Instances() {
		for !i.Ready() && ctx.Err() == nil {
			time.Sleep(readyPollInterval)
		}
		cfg.Addresses = append(cfg.Addresses, i.CallerAddress())
	}
	cfg.Customer = f.Customer()
	cfg.Database = f.Database()
	go load.Inject(ctx, f, faults, func(text string) { fmt.Fprintln(os.Stderr, "fault:", text) })
	return f, nil
}

const readyPollInterval = 10 * time.Millisecond

func (c *runCommand) readFiles() (extra string, faults []load.Fault, err error) {
	if c.Contract != "" {
		text, err := os.ReadFile(c.Contract)
		if err != nil {
			return "", nil, err
		}
		extra = string(text)
	}
	if c.Faults != "" {
		faults, err = load.LoadFaults(c.Faults)
	}
	return extra, faults, err
}

// writeResult writes the result and the plot, and returns errViolation if the check of the answers failed.
func (c *runCommand) writeResult(result load.Result) error {
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	if c.JSON == "" {
		result.Seconds = nil
		text, _ = json.MarshalIndent(result, "", "  ")
		fmt.Println(string(text))
	} else if err := os.WriteFile(c.JSON, text, 0o644); err != nil {
		return err
	}
	if c.Plot != "" {
		if err := load.Plot(result, c.Plot); err != nil {
			return err
		}
	}
	if !result.Passed() {
		return errViolation
	}
	return nil
}
