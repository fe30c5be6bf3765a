package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of the grown deployment, as the users' sheet gives them.
const (
	// socketLimit is what is left for sockets of the 4,300 descriptors of a machine.
	socketLimit = 4100
	// openSessions is the number of long sessions, most of them idle.
	openSessions = 3980
	// burst is the number of users that come at once to each instance.
	burst = 200
	// darkTime is how long a primary is dark, and the case waits.
	darkTime = 7 * time.Second
)

// descriptors lets many users come at once to an instance that holds the long sessions of a fleet, while a primary is dark.
func descriptors(ctx context.Context, w *world) (broken bool, err error) {
	w.prepare = w.proxyMembers
	// The other instances have been lost, so that all clients are connected to this one.
	if err := w.start(ctx, 3, 1); err != nil {
		return false, err
	}
	target := w.instances[0]
	limit := unix.Rlimit{Cur: socketLimit, Max: socketLimit}
	if err := unix.Prlimit(target.command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return false, err
	}
	var sent sentTexts
	var open []*client
	defer func() {
		for _, c := range open {
			c.nc.Close()
		}
	}()
	w.record.line("%d long sessions open at %s", openSessions, target.name)
	quiet := &record{file: nil}
	for n := range openSessions {
		c, err := dialClient(quiet, &sent, fmt.Sprintf("desk-%d", n), target.callers, sessionDatabase)
		if err != nil {
			return false, fmt.Errorf("session %d: %w", n, err)
		}
		open = append(open, c)
	}
	w.record.line("%s has %d descriptors open", target.name, target.descriptors())
	w.record.line("the lost instances are back")
	for _, i := range w.instances[1:] {
		if err := i.start(ctx); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(ctx, w.instances); err != nil {
		return false, err
	}
	w.record.line("%s has %d descriptors open", target.name, target.descriptors())
	first := open[0]
	first.record = w.record
	if !first.exec("b1", "READ item-1", 2*time.Second).succeeded() {
		return false, errors.New("the first read failed")
	}
	if w.trouble {
		w.record.line("%d users come at once to each instance", burst)
		for n := range burst * len(w.instances) {
			nc, err := net.DialTimeout("tcp", w.instances[n%len(w.instances)].callers, time.Second)
			if err != nil {
				break
			}
			fmt.Fprintf(nc, "START %s user\r\nQUERY u%d READ item-3\r\n", sessionDatabase, n)
			sent.add(fmt.Sprintf("u%d", n), "READ item-3")
			open = append(open, &client{nc: nc})
		}
		time.Sleep(500 * time.Millisecond)
		w.record.line("%s has %d descriptors open", target.name, target.descriptors())
		w.record.line("the primary goes dark")
		if err := w.proxies[0].goDark(); err != nil {
			return false, err
		}
	}
	select {
	case <-target.exited:
		broken = true
		w.record.line("%s has ended by itself", target.name)
	case <-time.After(darkTime):
	}
	a := first.exec("b2", "READ item-2", 2*time.Second)
	w.record.line("an open session reads: success %v", a.succeeded())
	w.record.line("output of %s at its end: %s", target.name, target.tail(600))
	return broken, nil
}

// proxyMembers puts a proxy before each member.
func (w *world) proxyMembers() error {
	for _, m := range w.group.Members() {
		p, err := newDarkProxy(m.Address())
		if err != nil {
			return err
		}
		w.proxies = append(w.proxies, p)
		w.serve(p.run)
		m.SetListedAddress(p.address())
	}
	return nil
}

// descriptors returns the number of open descriptors of the process, or 0 once it has ended.
func (i *instance) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// tail returns the end of the process's output.
func (i *instance) tail(n int) string {
	text, err := os.ReadFile(i.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-n):])
}
