package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of demotedPrimary, from the crash of the primary.
const (
	primaryDownLength = 2 * time.Second
	replicaDarkAfter  = 700 * time.Millisecond
	replicaDarkLength = 7500 * time.Millisecond
	killAfter         = 4500 * time.Millisecond
	// receiveDelay is how long a replica takes to receive a commit: the way between two areas.
	receiveDelay = 20 * time.Millisecond
)

// demotedPrimary lets the primary crash for a moment and a replica be dark for some seconds, kills all processes of the system
// meanwhile, and starts them again.
func demotedPrimary(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	s, err := newSite(ctx, e)
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	newRuns(e.record, s.group)
	s.group.SetLag(receiveDelay)
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
	busy, stopBusy := context.WithCancel(ctx)
	var load sync.WaitGroup
	for range 8 {
		load.Add(1)
		go func() {
			defer load.Done()
			for busy.Err() == nil {
				s.serve(ctx, 500*time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	members := s.group.Members()
	if trouble {
		s.disturbMembers()
	}
	time.Sleep(killAfter)
	e.record.printf("all processes are killed")
	s.killAll()
	stopBusy()
	load.Wait()
	time.Sleep(time.Second)
	for _, m := range s.machines {
		if err := m.start(s.binary); err != nil {
			return nil, err
		}
	}
	e.record.printf("the processes are started again")
	time.Sleep(recovery)
	for _, m := range members {
		e.record.printf("%s runs and is reached, and has received %d commits", m.ID, len(m.Log()))
	}
	after := s.serve(ctx, observed)
	e.record.printf("later than %v after the machines are back: %v", recovery, after)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests served, sent later than %v after the machines were back; before %d of %d",
			after.served, after.sent, recovery, before.served, before.sent))
	}
	return broken, nil
}

// disturbMembers begins the crash of the primary and the darkness of a replica, which end by themselves.
func (s *site) disturbMembers() {
	members := s.group.Members()
	primary, replica := members[0], members[2]
	var names []string
	for _, m := range s.machines {
		names = append(names, m.name)
	}
	s.record.printf("%s, the primary, crashes for %v", primary.ID, primaryDownLength)
	primary.SetDown(true)
	time.AfterFunc(primaryDownLength, func() {
		primary.Start(0)
		s.record.printf("%s is back with its log", primary.ID)
	})
	time.AfterFunc(replicaDarkAfter, func() {
		s.record.printf("%s goes dark for %v", replica.ID, replicaDarkLength)
		replica.SetIsolated(true)
		s.gates[replica.ID].setCut(cutSilent, names...)
	})
	time.AfterFunc(replicaDarkAfter+replicaDarkLength, func() {
		replica.SetIsolated(false)
		s.gates[replica.ID].setCut(cutNone, names...)
		s.record.printf("%s is reached again", replica.ID)
	})
}
