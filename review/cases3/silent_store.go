package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Bounds and times of silentStore.
const (
	contact     = 4 * time.Second
	configApply = 3 * time.Second
	// silence is how long the store gives one of three machines no answers, within the 9 s of platform_down.
	silence      = 8 * time.Second
	observedLate = 20 * time.Second
	otherGroup   = "archive-records"
)

// silentStore changes the service of a route while the store gives one machine no answers.
func silentStore(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	s, err := newSite(ctx, e)
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	other, err := s.addOtherGroup(ctx, otherGroup)
	if err != nil {
		return nil, err
	}
	ran := newRuns(e.record, s.group, other)
	s.writeConfig(false)
	front, err := newSilentFront(ctx, s.store.Address(), e.record)
	if err != nil {
		return nil, err
	}
	s.storeAddress = front.address()
	if _, err := s.addMachine(machineInPerth, "perth", 10, s.controlOf(18), s.controlOf(19)); err != nil {
		return nil, err
	}
	s.storeAddress = ""
	if _, err := s.addMachine(machineInStirling, "stirling", 11, s.controlOf(12), s.controlOf(11)); err != nil {
		return nil, err
	}
	if _, err := s.addMachine(machineInFalkirk, "falkirk", 12, s.controlOf(12), s.controlOf(11)); err != nil {
		return nil, err
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	check := &lateConfigCheck{runs: ran, record: e.record}
	stopped := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 2 {
		c := &client{name: fmt.Sprintf("client %d of %s", n, machineInPerth), address: s.machines[0].frontend(), database: database, record: e.record}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer c.close()
			for {
				select {
				case <-stopped:
					return
				case <-time.After(20 * time.Millisecond):
					check.write(ctx, c)
				}
			}
		}()
	}
	// A version that changes a time-out only.
	s.writeRoute(groupName, 900*time.Millisecond)
	e.record.printf("version %d is confirmed: a time-out", s.version)
	time.Sleep(time.Second)
	if trouble {
		e.record.printf("the store gives %s no answers for %v", machineInPerth, silence)
		front.setSilent(true)
	}
	time.Sleep(time.Second)
	s.writeRoute(otherGroup, 900*time.Millisecond)
	confirmed := time.Now()
	e.record.printf("version %d is confirmed: %s leads to %s", s.version, database, otherGroup)
	time.Sleep(silence - time.Second)
	front.setSilent(false)
	e.record.printf("the store answers %s again", machineInPerth)
	inTouch := time.Now().Add(contact)
	check.from(maxTime(confirmed.Add(configApply), inTouch))
	time.Sleep(observedLate)
	close(stopped)
	wait.Wait()
	return check.result()
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lateConfigCheck checks that requests are not run by the old service from a time on.
type lateConfigCheck struct {
	runs   *runs
	record *record
	mu     sync.Mutex
	since  time.Time
	served int
	late   int
	last   time.Duration
}

// from sets the time from which a request must be handled by the new version.
func (c *lateConfigCheck) from(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = since
}

func (c *lateConfigCheck) write(ctx context.Context, caller *client) {
	id := nextID()
	sentAt := time.Now()
	a, ok := caller.exec(ctx, id, platformtest.TextWrite("seat", "w"+id))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok || !a.Succeeded() {
		return
	}
	c.served++
	run, signed := c.runs.last(id)
	if !signed || c.since.IsZero() || sentAt.Before(c.since) || !strings.HasPrefix(run.Member, groupName) {
		return
	}
	c.late++
	c.last = sentAt.Sub(c.since)
	c.record.printf("%s: write %s was run by %s of the old service, and acknowledged, %v after the bound", caller.name, id, run.Member, c.last.Round(time.Millisecond))
}

func (c *lateConfigCheck) result() (broken []string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served == 0 {
		return nil, errors.New("no statement was served")
	}
	c.record.printf("%d writes served, %d of them by the old service too late, the last one %v after the bound", c.served, c.late, c.last.Round(time.Millisecond))
	if c.late > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d writes were run by the old service and acknowledged, up to %v later than the bound, by a machine in touch", c.late, c.last.Round(time.Millisecond)))
	}
	return broken, nil
}
