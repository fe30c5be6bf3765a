package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

const (
	// slowWork is how long slow members work on a statement, and slowTime how long they are slow.
	slowWork = 250 * time.Millisecond
	slowTime = 6500 * time.Millisecond
	// readers is the number of sessions that read one row after the other.
	readers = 36
	// configApply is ConfigApplyMs: a request sent later is handled as the newest desired state says.
	configApply = 3 * time.Second
)

// stalledLog stops reading the output of all instances while members are slow, and then adds routes.
func stalledLog(ctx context.Context, w *world) (broken bool, err error) {
	if err := w.start(ctx, 3, 3); err != nil {
		return false, err
	}
	w.quietRuns.Store(true)
	if w.trouble {
		w.record.line("the reader of the instances' output stops reading")
		for _, i := range w.instances {
			i.stalled.Store(true)
		}
	}
	w.record.line("the members are slow for %v", slowTime)
	w.setDelay(slowWork)
	unanswered := w.readFor(slowTime)
	w.setDelay(0)
	w.record.line("%d of %d sessions got no answer within 5 s", unanswered, readers)
	for _, name := range []string{"second", "third"} {
		w.operator.Update(func(c *platformtest.Configuration) {
			c.Databases = append(c.Databases, platformtest.Database{Name: name, Kind: platformtest.KindSession})
		})
		w.record.line("the store confirmed a desired state with the route %s", name)
		time.Sleep(configApply + 500*time.Millisecond)
		for _, i := range w.instances {
			var sent sentTexts
			c, err := dialClient(w.record, &sent, "desk-"+name, i.callers, name)
			if err == nil {
				c.exec("n1", "READ item-1", 2*time.Second)
			}
			if c != nil {
				c.nc.Close()
			}
			if err != nil && strings.Contains(err.Error(), "NODATABASE") {
				broken = true
				w.record.line("CONFIG: %s refuses the route %s, which was confirmed %v before", i.name, name, configApply+500*time.Millisecond)
			}
		}
	}
	return broken, nil
}

// setDelay sets how long the members work on a statement.
func (w *world) setDelay(d time.Duration) {
	for _, m := range w.group.Members() {
		m.SetDelay(d)
	}
}

// readFor lets sessions read for a time, and returns how many of them got no answer to a read.
func (w *world) readFor(d time.Duration) int {
	var unanswered atomic.Int64
	var reading sync.WaitGroup
	until := time.Now().Add(d)
	for n := range readers {
		reading.Add(1)
		go func() {
			defer reading.Done()
			var sent sentTexts
			c, err := dialClient(&record{}, &sent, fmt.Sprintf("reader-%d", n), w.instances[n%len(w.instances)].callers, sessionDatabase)
			if err != nil {
				return
			}
			defer c.nc.Close()
			for k := 0; time.Now().Before(until); k++ {
				if a := c.exec(fmt.Sprintf("s%d-%d", n, k), "READ item-1", 5*time.Second); a.err != nil {
					w.record.line("reader-%d: the read %d got no answer: %v", n, k, a.err)
					unanswered.Add(1)
					return
				}
			}
		}()
	}
	reading.Wait()
	return int(unanswered.Load())
}
