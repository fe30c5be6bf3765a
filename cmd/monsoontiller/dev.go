package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/monsoontiller/monsoontiller/dev"
)

// devCommand runs a fleet in one process, with a fake platform and fake databases.
type devCommand struct {
	Instances int           `long:"instances" default:"2" description:"Number of instances"`
	Lag       time.Duration `long:"lag" default:"20ms" description:"Replication lag of the replicas"`
	Port      int           `long:"port" default:"6432" description:"Port of the first instance for callers; 0 picks free ports"`
	Operator  int           `long:"operator-port" default:"7300" description:"Port of the first instance for operators; 0 picks free ports"`
	Preset    string        `long:"preset" choice:"baird-lennox" choice:"lellu" default:"baird-lennox" description:"Whose deployment to model"`
	Verbose   bool          `long:"verbose" description:"Write the instances' logs to standard output"`
	Duration  time.Duration `long:"duration" description:"Stop by itself after this time; 0 runs until a signal"`
}

// Execute runs the command.
func (c *devCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Duration)
		defer cancel()
	}
	cfg := dev.Config{
		Instances:    c.Instances,
		Lag:          c.Lag,
		Preset:       dev.Preset(c.Preset),
		CallerPort:   c.Port,
		OperatorPort: c.Operator,
		NewScope:     newScope,
		Logger:       func(name string) log.Logger { return c.logger(name) },
	}
	f, err := dev.Start(ctx, cfg)
	if err != nil {
		return err
	}
	c.printUsage(f)
	return f.Wait()
}

func (c *devCommand) logger(name string) log.Logger {
	if c.Verbose {
		return newLogger(log.NewJSONLogger(log.NewSyncWriter(os.Stdout)), name)
	}
	return log.NewNopLogger()
}

func (c *devCommand) printUsage(f *dev.Fleet) {
	for n, i := range f.Instances() {
		host, port, _ := net.SplitHostPort(i.CallerAddress())
		fmt.Printf("instance %d: callers %s, operators %s\n", n+1, i.CallerAddress(), i.OperatorAddress())
		fmt.Printf("  psql \"host=%s port=%s user=%s dbname=%s sslmode=disable\"\n", host, port, f.Customer(), f.Database())
	}
	first := f.Instances()[0]
	fmt.Printf("\nmonsoontiller status --operator %s\n", first.OperatorAddress())
	fmt.Printf("curl http://%s/metrics\n", first.OperatorAddress())
	fmt.Printf("platform_url = %q in the settings of `monsoontiller serve` makes a separate process join this fleet\n", f.PlatformURL())
	fmt.Println("\nStatements that the fake databases support: INSERT INTO kv VALUES ('k', 'v'); SELECT value FROM kv WHERE key = 'k';")
	fmt.Println("A read on a replica: /*class='read'*/ SELECT value FROM kv WHERE key = 'k';")
	fmt.Println("Stop with Ctrl-C.")
}
