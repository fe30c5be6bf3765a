package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/monsoontiller/monsoontiller/soak"
)

// options holds the flags of the command.
type options struct {
	Seed          uint64        `long:"seed" default:"1" description:"first seed"`
	Count         int           `long:"count" default:"1" description:"number of seeds, one after the other from the first"`
	Jobs          int           `long:"jobs" default:"1" description:"seeds that run at once"`
	Length        time.Duration `long:"length" default:"20s" description:"how long callers ask while faults come"`
	Instances     int           `long:"instances" default:"4" description:"processes of the program for each seed"`
	Clients       int           `long:"clients" default:"24" description:"callers for each seed"`
	Connections   int           `long:"connections" default:"40" description:"connections that each endpoint takes; few make instances pass sessions on"`
	Accounts      int           `long:"accounts" default:"-1" description:"accounts whose keys callers use, 0 for none; by default none or a few, drawn from the seed"`
	PowerLosses   int           `long:"power-losses" description:"times that all instances lose power, besides the other faults, while the endpoints keep their connections"`
	Severances    int           `long:"severances" description:"times that open connections to the endpoints, the store and the promoter go silent for good, besides the other faults"`
	StoreRestores int           `long:"store-restores" description:"times that the store returns from an older copy, besides the other faults"`
	Promotions    int           `long:"promotions" description:"replacements of the primary during which the promotion API, the successor, the coordinator or a replica fails, besides the other faults"`
	RouteMoves    int           `long:"route-moves" description:"times that the route of a database leads to a second group for a while, besides the other faults"`
	OddEntries    int           `long:"odd-entries" description:"entries of another writer among those of the members, besides the other faults"`
	Descriptors   int           `long:"descriptor-limits" description:"times that an instance has hardly a descriptor left for a while, besides the other faults"`
	Partitions    int           `long:"partitions" description:"times that the primary and the last instance, which starts without knowing the others, are cut off from the others, while the store is down or loses answers, besides the other faults"`
	RefusedValues int           `long:"refused-values" description:"times that the endpoints refuse values and prepared statements for a while, besides the other faults"`
	MissedAnswers int           `long:"missed-answers" description:"versions that are written after the last fault while the store's answers to waiting calls are lost"`
	CutMessages   bool          `long:"cut-messages" description:"callers send some messages in two pieces, of which the second looks like a request"`
	SyncReplica   bool          `long:"sync-replica" description:"endpoints acknowledge a write only once a replica has received it"`
	Case          string        `long:"case" description:"a series of faults that replaces the drawn ones, around a return of the store or, replacement, of the primary; its name"`
	Binary        string        `long:"binary" default:"target/monsoontiller" description:"the program"`
	Directory     string        `long:"directory" default:"target/soak" description:"takes the settings and output of the processes of each seed"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if !o.run(ctx) {
		os.Exit(1)
	}
}

// run runs the seeds and reports whether all of them ran without a violation.
func (o options) run(ctx context.Context) bool {
	offsets := make(chan int, o.Count)
	for offset := range o.Count {
		offsets <- offset
	}
	close(offsets)
	var mu sync.Mutex
	passed := true
	var workers sync.WaitGroup
	for range o.Jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for offset := range offsets {
				if ctx.Err() != nil {
					return
				}
				ok := o.runSeed(ctx, o.Seed+uint64(offset))
				mu.Lock()
				passed = passed && ok
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	return passed
}

// accounts returns the number of accounts for a seed.
func (o options) accounts(seed uint64) int {
	if o.Accounts < 0 {
		return soak.DrawAccounts(seed)
	}
	return o.Accounts
}

// networkCount is the number of loopback networks; concurrent runs use different ones.
const networkCount = 90

// runSeed runs one seed, prints its violations and reports whether there were none.
func (o options) runSeed(ctx context.Context, seed uint64) bool {
	directory := filepath.Join(o.Directory, fmt.Sprint(seed))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		fmt.Println("seed", seed, "not run:", err)
		return false
	}
	faults, err := os.Create(filepath.Join(directory, "faults.txt"))
	if err != nil {
		fmt.Println("seed", seed, "not run:", err)
		return false
	}
	defer faults.Close()
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Length: o.Length, Instances: o.Instances, Clients: o.Clients, Connections: o.Connections, Accounts: o.accounts(seed), PowerLosses: o.PowerLosses, Severances: o.Severances, StoreRestores: o.StoreRestores, Promotions: o.Promotions, RouteMoves: o.RouteMoves, OddEntries: o.OddEntries, DescriptorLimits: o.Descriptors, Partitions: o.Partitions, RefusedValues: o.RefusedValues, MissedAnswers: o.MissedAnswers, CutMessages: o.CutMessages, SyncReplica: o.SyncReplica, Case: o.Case,
		Network: 1 + int(seed%networkCount), Binary: o.Binary, Directory: directory, Output: io.Writer(faults),
	})
	if err != nil {
		fmt.Println("seed", seed, "not run:", err)
		return false
	}
	fmt.Printf("seed %d: %d statements ran, %d writes acknowledged, %d violations\n", seed, report.Runs(), report.Acked(), len(report.Violations()))
	if all, belowLimit := report.QuotaRefusals(); all > 0 {
		fmt.Printf("   %d requests refused because of a quota, %d of them in calm time below the rate\n", all, belowLimit)
	}
	for _, v := range report.Violations() {
		fmt.Println("  ", v)
	}
	return len(report.Violations()) == 0
}
