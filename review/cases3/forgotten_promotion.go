package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
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
	const group, database = "candidate-records", "bookings"
	s, err := newSite(ctx, e.binary, e.directory, e.record, groupConfig{name: group, connections: 34, zones: []string{"perth", "stirling", "falkirk"}})
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	g := s.groups[group]
	ran := newRuns(e.record, g)
	s.store.Rows.Put("op", "config", platformtest.Configuration{
		Version: 3, Group: group, Connections: 34, Timeout: time.Second, TargetLatency: 200 * time.Millisecond,
		MaxStaleness: 1500 * time.Millisecond, TransactionIdle: 5 * time.Second,
		Databases: []platformtest.Database{{Name: database, Kind: platformtest.KindPrimary}},
	}.Text())
	// The seeds of the machine in perth are stale, as the pages allow; it registers in the store like the others.
	if _, err := s.addMachine("frontend-perth-1", "perth", 10, "", s.controlOf(18), s.controlOf(19)); err != nil {
		return nil, err
	}
	if _, err := s.addMachine("frontend-stirling-1", "stirling", 11, "", s.controlOf(12), s.controlOf(11)); err != nil {
		return nil, err
	}
	if _, err := s.addMachine("frontend-falkirk-1", "falkirk", 12, "", s.controlOf(12), s.controlOf(11)); err != nil {
		return nil, err
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)

	members := g.Members()
	primary, replicas := members[0], members[1:]
	var promotedAt atomic.Int64
	stopped := make(chan struct{})
	var wait sync.WaitGroup
	check := &promotionCheck{runs: ran, promotedAt: &promotedAt}
	start := func(f func()) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stopped:
					return
				default:
					f()
					time.Sleep(8 * time.Millisecond)
				}
			}
		}()
	}
	writer := &client{name: "client of frontend-stirling-1", address: s.machines[1].frontend(), database: database, record: e.record}
	start(func() { check.write(ctx, writer, "seat") })
	reader := &client{name: "reader of frontend-perth-1", address: s.machines[0].frontend(), database: database, record: e.record}
	start(func() { check.read(ctx, reader, "seat") })
	other := &client{name: "writer of frontend-perth-1", address: s.machines[0].frontend(), database: database, record: e.record}
	start(func() { check.writeOther(ctx, other) })
	wait.Add(1)
	go func() {
		defer wait.Done()
		for {
			select {
			case <-stopped:
				return
			case <-time.After(2 * time.Millisecond):
				if p := g.Primary(); p != nil && p != primary && promotedAt.CompareAndSwap(0, time.Now().UnixNano()) {
					e.record.printf("%s leads the next term", p.ID)
				}
			}
		}
	}()

	time.Sleep(3 * time.Second)
	if trouble {
		others := []string{"frontend-stirling-1", "frontend-falkirk-1"}
		e.record.printf("%s is partitioned from the replicas and from the machines in stirling and falkirk, whose connections are reset, for %v", primary.ID, primaryCutLength)
		e.record.printf("frontend-perth-1 is partitioned from the replicas for %v", machineCutLength)
		primary.SetIsolated(true)
		s.gates[primary.ID].setCut(cutRefuse, others...)
		for _, r := range replicas {
			s.gates[r.ID].setCut(cutSilent, "frontend-perth-1")
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
			s.gates[r.ID].setCut(cutNone, "frontend-perth-1")
		}
	}
	time.Sleep(4 * time.Second)
	close(stopped)
	wait.Wait()
	if check.served == 0 || len(check.acknowledgedOthers) == 0 {
		return nil, errors.New("no writes were served")
	}
	return check.result(e.record, g), nil
}

// promotionCheck checks STALE and ONE.
type promotionCheck struct {
	runs       *runs
	promotedAt *atomic.Int64
	mu         sync.Mutex
	// acknowledged is the newest number that a write after the promotion has put in place.
	acknowledged int
	next         int
	stale        []string
	served       int
	// acknowledgedOthers are the ids and data of the acknowledged writes of the other writer.
	acknowledgedOthers map[string]string
}

// write writes the next number to an item.
func (p *promotionCheck) write(ctx context.Context, c *client, item string) {
	p.next++
	id, n := nextID(), p.next
	a, ok := c.exec(ctx, id, platformtest.TextWrite(item, strconv.Itoa(n)))
	if !ok || !a.Succeeded() {
		return
	}
	e, ran := p.runs.last(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served++
	if ran && p.promotedAt.Load() != 0 && e.At.UnixNano() > p.promotedAt.Load() && e.IsPrimary {
		if p.acknowledged == 0 {
			c.record.printf("%s: write %d acknowledged, run by %s, the new primary", c.name, n, e.Member)
		}
		p.acknowledged = n
	}
}

// read reads the item and compares it with what was acknowledged before the read was sent.
func (p *promotionCheck) read(ctx context.Context, c *client, item string) {
	p.mu.Lock()
	before := p.acknowledged
	p.mu.Unlock()
	id := nextID()
	a, ok := c.exec(ctx, id, platformtest.TextRead(item))
	if !ok || !a.Succeeded() {
		return
	}
	got, err := strconv.Atoi(row(a))
	if err != nil || got >= before {
		return
	}
	e, _ := p.runs.last(id)
	text := fmt.Sprintf("read %s returned %d from %s, though write %d was acknowledged before it was sent", id, got, e.Member, before)
	c.record.printf("%s: %s", c.name, text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = append(p.stale, text)
}

// writeOther writes a value of its own.
func (p *promotionCheck) writeOther(ctx context.Context, c *client) {
	id := nextID()
	data := "w" + id
	a, ok := c.exec(ctx, id, platformtest.TextWrite("form", data))
	if !ok || !a.Succeeded() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acknowledgedOthers == nil {
		p.acknowledgedOthers = map[string]string{}
	}
	p.acknowledgedOthers[id] = data
}

func (p *promotionCheck) result(r *record, g *platformtest.Group) (broken []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := map[string]bool{}
	if primary := g.Primary(); primary != nil {
		for _, w := range primary.Log() {
			kept[w.Data] = true
		}
	}
	one, lost := 0, 0
	for id, data := range p.acknowledgedOthers {
		e, ran := p.runs.last(id)
		if ran && !e.IsPrimary && p.promotedAt.Load() != 0 && e.At.UnixNano() > p.promotedAt.Load() {
			one++
			if !kept[data] {
				lost++
			}
			if one <= 5 {
				r.printf("write %s was acknowledged; %s, the old primary, committed it %v after the promotion took effect; kept: %v",
					id, e.Member, time.Duration(e.At.UnixNano()-p.promotedAt.Load()).Round(time.Millisecond), kept[data])
			}
		}
	}
	r.printf("%d writes of the first client and %d of the other one were acknowledged; %d stale reads; %d writes committed at the old primary and acknowledged, %d of them lost",
		p.served, len(p.acknowledgedOthers), len(p.stale), one, lost)
	if len(p.stale) > 0 {
		broken = append(broken, fmt.Sprintf("STALE: %d reads on a primary route lack an acknowledged commit", len(p.stale)))
	}
	if one > 0 {
		broken = append(broken, fmt.Sprintf("ONE: %d writes were committed at the old primary after the promotion took effect, and acknowledged; %d are lost", one, lost))
	}
	return broken
}
