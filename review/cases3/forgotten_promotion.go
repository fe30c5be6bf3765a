package main

import (
	"context"
	"time"
)

// Times of forgottenPromotion, from the beginning of the partition.
const (
	// primaryCutLength is within the 7 s of primary_cut, and machineCutLength within the 12 s of node_cut.
	primaryCutLength = 7 * time.Second
	machineCutLength = 9 * time.Second
	storeDownAfter   = 1600 * time.Millisecond
	storeDownLength  = 4500 * time.Millisecond
)

// forgottenPromotion partitions the primary and one machine from the replicas and the other machines, and lets the store be
// down for some seconds while a replica is promoted.
func forgottenPromotion(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	p, err := newPromotionRun(ctx, e, false)
	if err != nil {
		return nil, err
	}
	s, primary, replicas := p.site, p.primary, p.replicas
	defer s.killAll()
	time.Sleep(4 * time.Second)
	p.startClients(ctx)
	time.Sleep(3 * time.Second)
	if trouble {
		others := []string{machineInStirling, machineInFalkirk}
		e.record.printf("%s is partitioned from the replicas and from the machines in stirling and falkirk, whose connections are reset, for %v", primary.ID, primaryCutLength)
		e.record.printf("frontend-perth-1 is partitioned from the replicas for %v", machineCutLength)
		primary.SetIsolated(true)
		s.gates[primary.ID].setCut(cutRefuse, others...)
		for _, r := range replicas {
			s.gates[r.ID].setCut(cutSilent, machineInPerth)
		}
		time.Sleep(storeDownAfter)
		e.record.printf("the store is down (503) for %v", storeDownLength)
		s.store.Rows.SetDown(true)
		time.Sleep(storeDownLength)
		s.store.Rows.SetDown(false)
		e.record.printf("the store is back")
		time.Sleep(primaryCutLength - storeDownAfter - storeDownLength)
		e.record.printf("%s reaches the other members again, and steps down in a second", primary.ID)
		primary.SetIsolated(false)
		s.gates[primary.ID].setCut(cutNone, others...)
		time.Sleep(machineCutLength - primaryCutLength)
		e.record.printf("frontend-perth-1 reaches the other members again")
		for _, r := range replicas {
			s.gates[r.ID].setCut(cutNone, machineInPerth)
		}
	}
	time.Sleep(4 * time.Second)
	return p.result()
}
