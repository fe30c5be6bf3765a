package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Doses of greyMember.
const (
	// greyShare and greyLength are those of srv_grey: a share x of .4 of the requests, for 7.4 s at most.
	greyShare    = 0.4
	greyLength   = 7 * time.Second
	greySessions = 8
)

// greyMember lets the primary fail a part of its requests while sessions with different values share its connections.
func greyMember(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	s, err := newSite(ctx, e)
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	primary := s.group.Members()[0]
	grey, err := newGreyGate(primary.Address(), e.record)
	if err != nil {
		return nil, err
	}
	go grey.run(ctx)
	primary.SetListedAddress(grey.address())
	s.store.Rows.Put("servers", primary.ID, primary.Entry(memberZones[0], platformtest.StateReady))
	// One of nine members is within the share of srv_grey.
	for _, name := range []string{"course-records", "sponsor-records"} {
		if _, err := s.addOtherGroup(ctx, name); err != nil {
			return nil, err
		}
	}
	s.writeConfig(false)
	for i, zone := range memberZones[:2] {
		if _, err := s.addMachine("frontend-"+zone+"-1", zone, 10+i, s.controlOf(10), s.controlOf(11)); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	check := &valuesCheck{runs: newRuns(e.record, s.group), record: e.record}
	until := time.Now().Add(3*time.Second + greyLength)
	var wait sync.WaitGroup
	for n := range greySessions {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{name: fmt.Sprintf("session %d", n), address: s.machines[n%2].frontend(), database: database, record: e.record}
			for time.Now().Before(until) {
				check.session(ctx, c, n)
				c.close()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		e.record.printf("%s fails %v of its requests for %v", primary.ID, greyShare, greyLength)
		grey.setShare(greyShare)
		time.Sleep(greyLength)
		grey.setShare(0)
		e.record.printf("%s is well again", primary.ID)
	}
	wait.Wait()
	return check.result()
}

// valuesCheck compares the session values at the members with those that were acknowledged to the clients.
type valuesCheck struct {
	runs   *runs
	record *record
	mu     sync.Mutex
	served int
	wrong  int
	// foreign counts the wrong runs that had a value which another session has set.
	foreign int
}

// statementsPerSession is the number of statements of one session.
const statementsPerSession = 6

// session opens a session, sets its values, and runs statements.
func (v *valuesCheck) session(ctx context.Context, c *client, n int) {
	values := map[string]string{}
	if n%2 == 0 {
		value := fmt.Sprintf("v%d", n)
		if a, ok := c.exec(ctx, nextID(), platformtest.TextSet("tenant_view", value)); !ok || !a.Succeeded() {
			return
		}
		values["tenant_view"] = value
	}
	for range statementsPerSession {
		id := nextID()
		a, ok := c.exec(ctx, id, platformtest.TextWrite(fmt.Sprintf("form%d", n), "w"+id))
		v.check(c, id, values, ok && a.Succeeded(), strings.Join(a.Lines, " | "))
		if !ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// check compares the values of each run of a statement.
func (v *valuesCheck) check(c *client, id string, values map[string]string, succeeded bool, answer string) {
	v.runs.mu.Lock()
	ran := v.runs.of[id]
	v.runs.mu.Unlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	if succeeded {
		v.served++
	}
	for _, run := range ran {
		if !run.Signed() || maps.Equal(run.Values, values) {
			continue
		}
		v.wrong++
		for name, value := range run.Values {
			if values[name] != value {
				v.foreign++
				break
			}
		}
		v.record.printf("%s: %s ran %s with the values %v; acknowledged to its client were %v; the client was answered %s",
			c.name, run.Member, id, run.Values, values, answer)
	}
}

func (v *valuesCheck) result() (broken []string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.record.printf("%d statements served; %d runs with other session values than acknowledged, %d of them with another session's", v.served, v.wrong, v.foreign)
	if v.served == 0 {
		return nil, errors.New("no statement was served")
	}
	if v.wrong > 0 {
		broken = append(broken, fmt.Sprintf("PINNED: %d writes ran where the session values differ from those acknowledged to the client, %d of them with another session's value", v.wrong, v.foreign))
	}
	return broken, nil
}
