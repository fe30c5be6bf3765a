package main

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Times of unregistered.
const (
	// lateWrite is how late the store performs a write, within the 1 to 6 s of platform_lost, and lostWrites the number of writes
	// that it does not answer.
	lateWrite  = 6 * time.Second
	lostWrites = 2
	// cutAfter is when the primary is partitioned, from the start of the machine.
	cutAfter  = 2 * time.Second
	cutLength = 5 * time.Second
	// heartbeat is the interval at which the members write their entries.
	heartbeat = 1200 * time.Millisecond
	// promoteTime is the time of a promote on the sheets of pmrsu-plans-grown and bairdlennox-pool-large.
	promoteTime = 300 * time.Millisecond
)

// unregistered adds a machine while the store loses the answers of its writes, and partitions it and the primary from the replicas and
// the other machines two seconds later.
func unregistered(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	p, err := newPromotionRun(ctx, e, true)
	if err != nil {
		return nil, err
	}
	s := p.site
	defer s.killAll()
	p.group.SetTimes(promoteTime, time.Second)
	// The members write their entries, so that the lost answers are within the share of platform_lost.
	p.loop(heartbeat, func() {
		for i, m := range p.group.Members() {
			s.store.Rows.Put("servers", m.ID, m.Entry(memberZones[i], platformtest.StateReady))
		}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		p.late.loseNext(lostWrites, lateWrite)
	}
	if err := s.machines[0].start(s.binary); err != nil {
		return nil, err
	}
	started := time.Now()
	e.record.printf("%s is added", machineInPerth)
	if err := awaitReady(ctx, s.machines[:1], 5*time.Second); err != nil {
		return nil, err
	}
	e.record.printf("%s is ready", machineInPerth)
	p.startClients(ctx)
	time.Sleep(time.Until(started.Add(cutAfter)))
	e.record.printf("%s and frontend-perth-1 are partitioned from the replicas and from the machines in stirling and falkirk for %v", p.primary.ID, cutLength)
	others := []string{machineInStirling, machineInFalkirk}
	p.primary.SetIsolated(true)
	s.gates[p.primary.ID].setCut(cutSilent, others...)
	for _, r := range p.replicas {
		s.gates[r.ID].setCut(cutSilent, machineInPerth)
	}
	time.Sleep(cutLength)
	e.record.printf("%s reaches all again", p.primary.ID)
	p.primary.SetIsolated(false)
	s.gates[p.primary.ID].setCut(cutNone, others...)
	for _, r := range p.replicas {
		s.gates[r.ID].setCut(cutNone, machineInPerth)
	}
	time.Sleep(4 * time.Second)
	return p.result()
}
