package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

const (
	// otherService is the service to which the route moves for a while.
	otherService = "archive"
	// replicaLag is how far the replicas are behind: 60 ms, 30 times.
	replicaLag = 1800 * time.Millisecond
	// workTime is how long a member works on a statement.
	workTime = 20 * time.Millisecond
	// earlierWrites is the number of writes that the first service holds and the other one does not.
	earlierWrites = 10
	// versionGap is the time between two desired states in quick succession.
	versionGap = 330 * time.Millisecond
)

// movedRoute moves a route to another service and back, while a session writes before, between, and reads afterwards.
func movedRoute(ctx context.Context, w *world) (broken bool, err error) {
	var other *platformtest.Group
	w.ownRoutes = true
	w.prepare = func() error {
		if other, err = w.startGroup(otherService); err != nil {
			return err
		}
		w.group.SetLag(replicaLag)
		for _, m := range append(w.group.Members(), other.Members()...) {
			m.SetDelay(workTime)
		}
		w.writeRoute(1, serviceName)
		return nil
	}
	if err := w.start(ctx, 3, 3); err != nil {
		return false, err
	}
	var sent sentTexts
	c, err := dialClient(w.record, &sent, "desk", w.instances[1].callers, sessionDatabase)
	if err != nil {
		return false, err
	}
	defer c.nc.Close()
	if !c.exec("c0", "WRITE slot-7 free", time.Second).succeeded() {
		return false, errors.New("the first write failed")
	}
	for n := range earlierWrites {
		if !c.exec(fmt.Sprintf("c%d", n+1), fmt.Sprintf("WRITE slot-%d taken", 100+n), time.Second).succeeded() {
			return false, errors.New("an earlier write failed")
		}
	}
	// The replicas receive the earlier writes.
	time.Sleep(replicaLag + 1500*time.Millisecond)
	write := func(id, text string) bool { return c.exec(id, text, time.Second).succeeded() }
	if !write("d1", "WRITE slot-7 mine") {
		return false, errors.New("the first write failed")
	}
	acknowledged := time.Now()
	if w.trouble {
		w.writeRoute(2, otherService)
	}
	time.Sleep(versionGap)
	if !write("d2", "WRITE note-1 text") {
		return false, errors.New("the second write failed")
	}
	if w.trouble {
		w.writeRoute(3, serviceName)
	}
	time.Sleep(versionGap)
	for n := range 5 {
		a := c.exec(fmt.Sprintf("d%d", 3+n), "READ slot-7", time.Second)
		if !a.succeeded() {
			continue
		}
		stale := a.lines[0] != "DATAROW mine"
		w.record.line("the read %v after the acknowledged write got %q: stale %v", time.Since(acknowledged).Round(time.Millisecond), a.lines[0], stale)
		broken = broken || stale
		time.Sleep(50 * time.Millisecond)
	}
	for _, m := range append(w.group.Members(), other.Members()...) {
		w.record.line("log of %s: %v", m.ID, m.Log())
	}
	return broken, nil
}

// startGroup starts another database group and writes the entries of its members.
func (w *world) startGroup(name string) (*platformtest.Group, error) {
	g, err := platformtest.NewGroup(name, memberCount)
	if err != nil {
		return nil, err
	}
	g.SetConnectionLimit(connections)
	g.Observe(w.recordRun)
	w.serve(func() error { return g.Run(w.servingCtx) })
	for _, m := range g.Members() {
		w.writeEntry(m, platformtest.StateReady)
	}
	return g, nil
}

// writeRoute writes a desired state whose only route leads the database of sessions to a service: it removes the route before it.
func (w *world) writeRoute(version int, service string) {
	var services []string
	for _, name := range []string{serviceName, otherService} {
		services = append(services, fmt.Sprintf(`{"Name":%q,"MaxConnections":%d,"SyncReplicas":0}`, name, connections))
	}
	text := fmt.Sprintf(
		`{"Version":%d,"Routes":[{"Name":"to-%[3]s","Host":%[2]q,"Type":"read_your_writes","TimeoutMs":%[4]d,"TargetLatencyMs":%[5]d,"Priority":1,"Service":%[3]q,"MaxStalenessMs":%[6]d}],"Services":[%[7]s],"Limits":{"TxIdleMs":%[8]d}}`,
		version, sessionDatabase, service, requestTimeout.Milliseconds(), targetLatency.Milliseconds(), maxStaleness.Milliseconds(),
		strings.Join(services, ","), txIdle.Milliseconds())
	w.store.Rows.Put(platform.TableConfiguration, platform.KeyConfiguration, []byte(text))
	w.record.line("the store confirmed version %d: %s belongs to %s", version, sessionDatabase, service)
}
