package main

import (
	"fmt"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// quotaCommand runs fleets that limit accounts in virtual time, and fails if a window exceeds its bound.
type quotaCommand struct {
	Sizes []int  `long:"instances" value-name:"N" default:"10" default:"75" default:"300" description:"Number of instances; repeat for more fleets"`
	Seed  uint64 `long:"seed" default:"1" description:"Seed of the demand and the faults"`
}

// Execute runs the command.
func (c *quotaCommand) Execute([]string) error {
	fmt.Printf("%9s %-22s %9s %9s %12s %12s %11s %10s %8s %10s\n", "instances", "scenario", "admitted", "refused",
		"below limit", "unreachable", "peak/limit", "peak/bound", "beyond", "follow")
	violations := 0
	for _, n := range c.Sizes {
		for _, cfg := range experiment.QuotaScenarios(n, c.Seed) {
			r := experiment.RunQuota(cfg)
			violations += r.Violations
			fmt.Printf("%9d %-22s %9d %9d %11.3f%% %12d %11.2f %10.2f %8d %10v\n", n, r.Name, r.Admitted, r.Refused,
				100*r.BelowShare(), r.Unreachable, r.PeakOfLimit, r.Peak, r.Violations, r.Follow)
		}
	}
	if violations > 0 {
		return errViolation
	}
	return nil
}
