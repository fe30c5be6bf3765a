package main

import (
	"fmt"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// paceCommand compares ways to limit the requests at an endpoint that has just started, in virtual time.
type paceCommand struct {
	Seeds int    `long:"seeds" default:"5" description:"Number of seeds"`
	Plot  string `long:"plot" value-name:"FILE" description:"File for a plot, .svg or .png"`
}

// Execute runs the command.
func (c *paceCommand) Execute([]string) error {
	fmt.Printf("%-14s %-18s %8s %9s %6s %6s %10s %11s %6s %6s\n", "start", "limit", "asked", "in time", "late", "lost", "elsewhere", "peak queue", "first", "idle")
	var results []experiment.PaceResult
	for _, scenario := range experiment.PaceScenarios() {
		for variant, name := range experiment.PaceVariants() {
			var total experiment.WindowCounts
			var lost, peak, first int
			var idle float64
			for seed := range c.Seeds {
				r := experiment.RunPace(scenario, variant, uint64(seed+1))
				if seed == 0 {
					results = append(results, r)
				}
				total.Add(r.Total())
				lost += r.Lost
				peak = max(peak, r.PeakQueue)
				first = max(first, r.FirstWave)
				idle += r.Idle / float64(c.Seeds)
			}
			fmt.Printf("%-14s %-18s %8d %8.1f%% %6d %6d %10d %11d %6d %5.1f%%\n", scenario.Name, name, total.Asked, 100*total.Share(),
				total.Late, lost, total.Refused, peak, first, 100*idle)
		}
	}
	if c.Plot == "" {
		return nil
	}
	return experiment.PlotPaces(results, c.Plot)
}
