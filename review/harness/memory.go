package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Figures of the first deployment, as the users' sheet gives them, and of the protocol.
const (
	fleetSize = 9
	// memoryLimit is MemoryMb, beyond which the platform kills a process, in bytes.
	memoryLimit = 284 << 20
	// sheetSessions is the number of sessions that stand open.
	sheetSessions = 296
	// rowBytes is the size of a large row: a message is at most 1 MiB.
	rowBytes = 1<<20 - 64
	// readPause is the time between two reads of all clients together.
	readPause = 10 * time.Millisecond
)

// largeRows lets the clients of a fleet read a large row each, one after the other, while all machines but one are lost.
func largeRows(ctx context.Context, w *world) (broken bool, err error) {
	if err := w.start(ctx, fleetSize, fleetSize); err != nil {
		return false, err
	}
	quiet := &record{}
	w.quietRuns.Store(true)
	var sent sentTexts
	writer, err := dialClient(w.record, &sent, "writer", w.instances[0].callers, primaryDatabase)
	if err != nil {
		return false, err
	}
	defer writer.nc.Close()
	if !writer.exec("w1", "WRITE photo "+strings.Repeat("x", rowBytes-len("QUERY w1 WRITE photo ")), 2*time.Second).succeeded() {
		return false, errors.New("the row was not written")
	}
	time.Sleep(200 * time.Millisecond)
	clients := make([]*client, sheetSessions)
	read := func(n int, to *instance) (bool, error) {
		if clients[n] == nil {
			if clients[n], err = dialClient(quiet, &sent, fmt.Sprintf("desk-%d", n), to.callers, sessionDatabase); err != nil {
				clients[n] = nil
				return false, err
			}
		}
		time.Sleep(readPause)
		a := clients[n].exec(fmt.Sprintf("r%d-%d", n, time.Now().UnixNano()), "READ photo", 5*time.Second)
		if a.err != nil {
			clients[n].nc.Close()
			clients[n] = nil
		}
		return a.succeeded(), nil
	}
	served := 0
	for n := range clients {
		ok, err := read(n, w.instances[n%fleetSize])
		if err != nil {
			return false, err
		}
		if ok {
			served++
		}
	}
	w.record.line("%d of %d sessions read the row; %s", served, sheetSessions, w.memory())
	survivor := w.instances[0]
	if w.trouble {
		for _, i := range w.instances[1:] {
			i.signal(syscall.SIGKILL)
			<-i.exited
		}
	}
	served = 0
	for n := range clients {
		ok, err := read(n, survivor)
		if err != nil || !ok {
			// The client connects again, to a machine that is left.
			ok, err = read(n, survivor)
		}
		if err != nil {
			w.record.line("session %d: %v", n, err)
		}
		if ok {
			served++
		}
		if rss := survivor.rss(); rss > memoryLimit {
			w.record.line("%s uses %d MB after %d sessions, more than its limit of %d MB: the platform kills it", survivor.name, rss>>20, n+1, memoryLimit>>20)
			survivor.signal(syscall.SIGKILL)
			return true, nil
		}
	}
	w.record.line("%d of %d sessions read the row; %s", served, sheetSessions, w.memory())
	time.Sleep(2 * time.Second)
	w.record.line("2 s later: %s", w.memory())
	return false, nil
}

// memory describes the memory of the running instances.
func (w *world) memory() string {
	var b strings.Builder
	for _, i := range w.instances {
		fmt.Fprintf(&b, "%s %d MB, ", i.name, i.rss()>>20)
	}
	return b.String()
}

// rss returns the resident memory of the process in bytes, or 0 once it has ended.
func (i *instance) rss() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}
