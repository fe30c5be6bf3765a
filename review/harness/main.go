package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case, including the end of its processes.
const maxRun = 100 * time.Second

// cases holds the cases by name.
var cases = map[string]func(ctx context.Context, w *world) (broken bool, err error){
	"split-message": splitMessage,
	"descriptors":   descriptors,
	"late-order":    lateOrder,
	"moved-route":   movedRoute,
	"stalled-log":   stalledLog,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	r, err := newRecord(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	w := &world{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	r.line("case %s, trouble %v", os.Args[1], w.trouble)
	broken, err := cases[os.Args[1]](ctx, w)
	err = errors.Join(err, w.stop())
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.line("result: the rule was broken")
		return exitBroken
	}
	r.line("result: the rule held")
	return exitHeld
}
