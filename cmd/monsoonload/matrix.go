package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// matrixCommand compares several builds over cases and seeds.
type matrixCommand struct {
	JSON string `long:"json" value-name:"FILE" description:"File for the differences"`
	Plot string `long:"plot" value-name:"FILE" description:"File for a plot of the differences, .svg or .png"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"Description of the comparison in TOML"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *matrixCommand) Execute([]string) error {
	m, err := experiment.ReadMatrix(c.Args.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	results, runErr := m.Run(ctx, func(done, all int) { fmt.Fprintf(os.Stderr, "%d of %d runs have ended\n", done, all) })
	differences := m.Differences(results)
	fmt.Printf("%-16s %-20s %-20s %5s %10s %10s %11s %10s\n", "build", "case", "measure", "pairs", "base", "change", "difference", "+/-")
	for _, d := range differences {
		fmt.Printf("%-16s ", d.Build)
		printDifference(d.Case, d.Difference)
	}
	if runErr != nil {
		return runErr
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(differences, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, text, 0o644); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	return experiment.PlotMatrix(differences, c.Plot)
}
