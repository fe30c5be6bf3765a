package main

import (
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// policiesCommand compares routing policies in virtual time.
type policiesCommand struct {
	Seeds int    `long:"seeds" default:"5" description:"Number of seeds"`
	Plot  string `long:"plot" value-name:"FILE" description:"File for a plot of one group under load, .svg or .png"`
}

// Execute runs the command.
func (c *policiesCommand) Execute([]string) error {
	fmt.Printf("%-13s %-24s %8s %8s %12s %8s %8s %10s\n", "load", "policy", "reads", "share", "of possible", "misses", "broken", "mean wait")
	for _, loadConfig := range []func(uint64) experiment.LoadConfig{experiment.BairdLennox, experiment.Lellu} {
		for n := range experiment.Variants() {
			var sum experiment.Result
			var wait time.Duration
			for seed := range c.Seeds {
				r := experiment.Run(loadConfig(uint64(seed+1)), experiment.Variants()[n])
				sum.Load, sum.Policy = r.Load, r.Policy
				sum.Reads += r.Reads
				sum.OnReplica += r.OnReplica
				sum.Possible += r.Possible
				sum.Misses += r.Misses
				sum.Stale += r.Stale
				wait += r.MeanWait
			}
			fmt.Printf("%-13s %-24s %8d %7.1f%% %11.1f%% %8d %8d %10v\n", sum.Load, sum.Policy, sum.Reads,
				100*sum.ReplicaShare(), 100*sum.ShareOfPossible(), sum.Misses, sum.Stale, (wait / time.Duration(c.Seeds)).Round(time.Microsecond))
		}
	}
	return c.compareGroups()
}

// compareGroups prints, and plots, the policies of one group under load.
func (c *policiesCommand) compareGroups() error {
	fmt.Printf("\n%-16s %-26s %8s %9s %8s %8s %8s %13s\n", "load", "policies", "asked", "in time", "late", "refused", "stale", "worst window")
	var results []experiment.GroupResult
	for _, scenario := range experiment.Scenarios() {
		for _, variant := range experiment.GroupVariants() {
			var total experiment.WindowCounts
			var worst float64
			for seed := range c.Seeds {
				r := experiment.RunGroup(scenario, variant, uint64(seed+1))
				if seed == 0 {
					results = append(results, r)
				}
				total.Add(r.Total())
				worst += r.Worst() / float64(c.Seeds)
			}
			fmt.Printf("%-16s %-26s %8d %8.1f%% %8d %8d %8d %12.1f%%\n", scenario.Name, variant.Name, total.Asked,
				100*total.Share(), total.Late, total.Refused, total.Stale, 100*worst)
		}
	}
	if c.Plot == "" {
		return nil
	}
	return experiment.PlotGroups(results, c.Plot)
}
