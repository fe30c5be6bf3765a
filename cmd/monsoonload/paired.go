package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// pairedCommand runs a command for two builds over the same cases and seeds.
type pairedCommand struct {
	Base    string   `long:"base" value-name:"DIR" required:"true" description:"Directory of the unchanged build"`
	Change  string   `long:"change" value-name:"DIR" required:"true" description:"Directory of the changed build"`
	Case    []string `long:"case" required:"true" description:"Case to run; repeat for more"`
	Seed    []uint64 `long:"seed" required:"true" description:"Seed to run; repeat for more"`
	Measure []string `long:"measure" value-name:"NAME=PATH" required:"true" description:"Number to read from the JSON report, such as p99=latency.p99; * stands for every element"`
	Jobs    int      `long:"jobs" default:"2" description:"Runs at the same time"`
	JSON    string   `long:"json" value-name:"FILE" description:"File for the values of every pair"`
	Command struct {
		Words []string `positional-arg-name:"COMMAND" required:"1" description:"Command of one run, with {case}, {seed} and {report} to replace"`
	} `positional-args:"true" required:"true"`
}

// Execute runs the command.
func (c *pairedCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg := experiment.PairedConfig{
		Base: c.Base, Change: c.Change, Command: c.Command.Words, Cases: c.Case, Seeds: c.Seed, Jobs: c.Jobs,
		Progress: func(label string) { fmt.Fprintln(os.Stderr, "ended:", label) },
	}
	for _, text := range c.Measure {
		m, err := experiment.ParseMeasure(text)
		if err != nil {
			return err
		}
		cfg.Measures = append(cfg.Measures, m)
	}
	pairs, err := experiment.RunPaired(ctx, cfg)
	printPairs(pairs, c.Case)
	if err != nil || c.JSON == "" {
		return err
	}
	text, err := json.MarshalIndent(pairs, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, text, 0o644)
}

// printPairs prints the difference of each measure per case and over all cases.
func printPairs(pairs []experiment.Pair, cases []string) {
	names := map[string]bool{}
	byCase := map[string][]experiment.Pair{}
	for _, p := range pairs {
		byCase[p.Case] = append(byCase[p.Case], p)
		for name := range p.Base {
			names[name] = true
		}
	}
	var sorted []string
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	fmt.Printf("%-20s %-28s %5s %10s %10s %11s %10s\n", "case", "measure", "pairs", "base", "change", "difference", "+/-")
	for _, name := range sorted {
		for _, label := range cases {
			printDifference(label, experiment.Compare(name, byCase[label]))
		}
		printDifference("all", experiment.Compare(name, pairs))
	}
}

func printDifference(label string, d experiment.Difference) {
	mark := ""
	if d.Significant() {
		mark = " *"
	}
	fmt.Printf("%-20s %-28s %5d %10.4f %10.4f %+11.4f %10.4f%s\n", label, d.Measure, d.Pairs, d.Base, d.Change, d.Mean, d.Margin, mark)
}
