package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case.
const (
	resultHeld   = 0
	resultBroken = 1
	resultFailed = 2
)

// maxRun bounds a run, setup included.
const maxRun = 110 * time.Second

// caseFunc runs a case and returns the rules that were broken; trouble is false for a run without the disruption.
type caseFunc func(ctx context.Context, e environment, trouble bool) (broken []string, err error)

// environment is what a case is given.
type environment struct {
	binary    string
	directory string
	record    *record
}

var cases = map[string]caseFunc{
	"forgotten-promotion": forgottenPromotion,
	"lost-primary":        lostPrimary,
	"idle-sessions":       idleSessions,
	"grey-member":         greyMember,
	"demoted-primary":     demotedPrimary,
	"silent-store":        silentStore,
	"unregistered":        unregistered,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to run")
	binary := flag.String("binary", "", "the program of the system")
	file := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	f, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return resultFailed
	}
	out, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultFailed
	}
	defer out.Close()
	directory, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return resultFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(directory)
	} else {
		fmt.Println("logs:", directory)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r := &record{file: out, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := f(ctx, environment{binary: *binary, directory: directory, record: r}, trouble)
	switch {
	case err != nil:
		r.printf("RESULT the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return resultFailed
	case len(broken) > 0:
		for _, b := range broken {
			r.printf("RESULT broken: %s", b)
			fmt.Println("broken:", b)
		}
		return resultBroken
	}
	r.printf("RESULT held")
	fmt.Println("held")
	return resultHeld
}
