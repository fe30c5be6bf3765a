package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Times of lostPrimary.
const (
	// entryLapse is when the entry of a silent member is removed: three ping intervals.
	entryLapse = 3600 * time.Millisecond
	recovery   = 12 * time.Second
	observed   = 40 * time.Second
)

// lostPrimary kills all processes of the system at the moment at which a primary crashes for good, and starts them again.
func lostPrimary(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	s, err := newSite(ctx, e)
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	g := s.group
	newRuns(e.record, g)
	s.writeConfig(true)
	for i, zone := range memberZones {
		if _, err := s.addMachine("frontend-"+zone+"-1", zone, 10+i, s.controlOf(10), s.controlOf(11), s.controlOf(12)); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	before := s.serve(ctx, 4*time.Second)
	e.record.printf("before: %v", before)
	primary := g.Primary()
	if trouble {
		e.record.printf("all processes are killed, and %s, the primary, crashes for good", primary.ID)
		s.killAll()
		primary.SetDown(true)
		time.AfterFunc(entryLapse, func() {
			s.store.Rows.Remove("servers", primary.ID)
			e.record.printf("the entry of %s is removed", primary.ID)
		})
	} else {
		e.record.printf("all processes are killed")
		s.killAll()
	}
	time.Sleep(time.Second)
	for _, m := range s.machines {
		if err := m.start(s.binary); err != nil {
			return nil, err
		}
	}
	e.record.printf("the processes are started again")
	time.Sleep(recovery)
	after := s.serve(ctx, observed)
	e.record.printf("later than %v after the machines are back: %v", recovery, after)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests served, sent later than %v after the machines were back; before %d of %d",
			after.served, after.sent, recovery, before.served, before.sent))
	}
	return broken, nil
}

// served counts requests.
type served struct{ sent, served int }

// serve sends writes to all machines for a time, and counts those that are served.
func (s *site) serve(ctx context.Context, length time.Duration) (n served) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	until := time.Now().Add(length)
	for _, m := range s.machines {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{name: "client of " + m.name, address: m.frontend(), database: database, record: s.record}
			defer c.close()
			for time.Now().Before(until) {
				id := nextID()
				a, ok := c.exec(ctx, id, platformtest.TextWrite("seat", "w"+id))
				mu.Lock()
				n.sent++
				if ok && a.Succeeded() {
					n.served++
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	return n
}
