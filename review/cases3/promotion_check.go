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

// promotionCheck checks STALE and ONE.
type promotionCheck struct {
	runs       *runs
	promotedAt atomic.Int64
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

// promotionRun is a site of three machines with clients at two of them: frontend-perth-1, whose seeds are stale, and
// frontend-stirling-1. The primary is in perth.
type promotionRun struct {
	site     *site
	group    *platformtest.Group
	primary  *platformtest.Member
	replicas []*platformtest.Member
	check    *promotionCheck
	// late is the way of the machine in perth to the store, if it is added later.
	late    *lateFront
	stopped chan struct{}
	wait    sync.WaitGroup
}

// Names of the machines of a promotionRun.
const (
	machineInPerth    = "frontend-perth-1"
	machineInStirling = "frontend-stirling-1"
	machineInFalkirk  = "frontend-falkirk-1"
)

// newPromotionRun starts the machines; with added set, the one in perth is left to be started.
func newPromotionRun(ctx context.Context, e environment, added bool) (*promotionRun, error) {
	s, err := newSite(ctx, e)
	if err != nil {
		return nil, err
	}
	g := s.group
	members := g.Members()
	p := &promotionRun{site: s, group: g, primary: members[0], replicas: members[1:], check: &promotionCheck{runs: newRuns(e.record, g)}, stopped: make(chan struct{})}
	s.writeConfig(false)
	if added {
		if p.late, err = newLateFront(ctx, s.store.Address(), e.record); err != nil {
			return nil, err
		}
		s.storeAddress = p.late.address()
	}
	// The seeds of the machine in perth are stale, as the pages allow; it registers in the store like the others.
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
	first := 0
	if added {
		first = 1
	}
	if err := s.startFrom(ctx, first); err != nil {
		s.killAll()
		return nil, err
	}
	return p, nil
}

// loop calls f again and again until stop is called.
func (p *promotionRun) loop(pause time.Duration, f func()) {
	p.wait.Add(1)
	go func() {
		defer p.wait.Done()
		for {
			select {
			case <-p.stopped:
				return
			case <-time.After(pause):
				f()
			}
		}
	}()
}

// startClients starts a writer at the machine in stirling, and a reader of its item and a writer at the one in perth.
func (p *promotionRun) startClients(ctx context.Context) {
	const pause = 8 * time.Millisecond
	perth, stirling := p.site.machines[0].frontend(), p.site.machines[1].frontend()
	r := p.site.record
	writer := &client{name: "client of " + machineInStirling, address: stirling, database: database, record: r}
	reader := &client{name: "reader of " + machineInPerth, address: perth, database: database, record: r}
	other := &client{name: "writer of " + machineInPerth, address: perth, database: database, record: r}
	p.loop(pause, func() { p.check.write(ctx, writer, "seat") })
	p.loop(pause, func() { p.check.read(ctx, reader, "seat") })
	p.loop(pause, func() { p.check.writeOther(ctx, other) })
	p.loop(2*time.Millisecond, func() {
		if m := p.group.Primary(); m != nil && m != p.primary && p.check.promotedAt.CompareAndSwap(0, time.Now().UnixNano()) {
			r.printf("%s leads the next term", m.ID)
		}
	})
}

// result stops the clients and returns the rules that were broken.
func (p *promotionRun) result() (broken []string, err error) {
	close(p.stopped)
	p.wait.Wait()
	if p.check.served == 0 || len(p.check.acknowledgedOthers) == 0 {
		return nil, errors.New("no writes were served")
	}
	return p.check.result(p.site.record, p.group), nil
}
