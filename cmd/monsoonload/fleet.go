package main

import (
	"context"
	"fmt"
	"time"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// fleetCommand compares fleets of several sizes in virtual time.
type fleetCommand struct {
	Sizes         []int  `long:"instances" value-name:"N" default:"20" default:"75" default:"300" description:"Number of instances; repeat for more fleets"`
	DocumentBytes int    `long:"document-bytes" default:"200000" description:"Length of the configuration that is changed"`
	Seed          uint64 `long:"seed" default:"1" description:"Seed of the start times"`
	Plot          string `long:"plot" value-name:"FILE" description:"File for a plot, .svg or .png"`
}

// Execute runs the command.
func (c *fleetCommand) Execute([]string) error {
	fmt.Printf("%9s %8s %8s %14s %14s %14s %12s %14s\n", "instances", "joined", "known", "start KB each", "across, KB", "steady B/s each", "change", "change KB each")
	var results []experiment.FleetResult
	for _, n := range c.Sizes {
		cfg := experiment.DefaultFleet(n)
		cfg.DocumentBytes, cfg.Seed = c.DocumentBytes, c.Seed
		r := experiment.RunFleet(context.Background(), cfg)
		results = append(results, r)
		fmt.Printf("%9d %8v %8v %14.1f %14.1f %15d %12v %14.1f\n", n, r.JoinedAfter.Round(time.Millisecond), r.KnownAfter.Round(time.Millisecond),
			kilobytesEach(r.Start.Bytes, n), kilobytesEach(r.Start.BytesAcross, n), r.Steady.Bytes/n,
			r.ChangeAfter.Round(time.Millisecond), kilobytesEach(r.Change.Bytes, n))
	}
	if c.Plot == "" {
		return nil
	}
	return experiment.PlotFleets(results, c.Plot)
}

func kilobytesEach(bytes, n int) float64 { return float64(bytes) / 1000 / float64(n) }
