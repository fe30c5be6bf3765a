package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Sizes and times of idleSessions.
const (
	// openSessions is the number of sessions that stand open, as at the smallest sites.
	openSessions = 296
	// largeData is the size of a written value, so that each message stays below 1 MiB, and smallData that without trouble.
	largeData = 1000 * 1000
	smallData = 1000
	// rounds is how often all sessions are opened; endsForFault ends of two processes are a fault.
	rounds       = 3
	endsForFault = 3
	killDelay    = 300 * time.Millisecond
)

// idleSessions opens sessions at two machines, one after the other. Each writes one large value, reads it, and then rests.
//
// A process that exceeds the memory of its machine is killed and started again, as the platform does.
func idleSessions(ctx context.Context, e environment, trouble bool) (broken []string, err error) {
	s, err := newSite(ctx, e)
	if err != nil {
		return nil, err
	}
	defer s.killAll()
	s.writeConfig(false)
	for i, zone := range memberZones[:2] {
		if _, err := s.addMachine("frontend-"+zone+"-1", zone, 10+i, s.controlOf(10), s.controlOf(11)); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	size := smallData
	if trouble {
		size = largeData
	}
	m := &memoryWatch{site: s, ends: map[string]int{}, peak: map[string]float64{}}
	data := strings.Repeat("x", size)
	served := 0
	for round := range rounds {
		e.record.printf("round %d: %d sessions, values of %d bytes", round+1, openSessions, size)
		n, err := m.round(ctx, data)
		if err != nil {
			return nil, err
		}
		served += n
	}
	if served == 0 {
		return nil, errors.New("no statement was served")
	}
	faulty := 0
	for _, machine := range s.machines {
		e.record.printf("%s: peak %.0f MiB of %d, %d ends", machine.name, m.peak[machine.name], memoryMb, m.ends[machine.name])
		if m.ends[machine.name] >= endsForFault {
			faulty++
		}
	}
	e.record.printf("%d statements served", served)
	if faulty >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d machines the process exceeded its memory of %d MB three times: %v", faulty, len(s.machines), memoryMb, m.ends))
	}
	return broken, nil
}

// memoryWatch kills the processes that exceed the memory of their machines, as the platform does.
type memoryWatch struct {
	site *site
	ends map[string]int
	peak map[string]float64
}

// enforce kills a process that exceeds its memory, and starts it again.
func (w *memoryWatch) enforce(ctx context.Context, m *machine) error {
	used := m.privateMemory()
	w.peak[m.name] = max(w.peak[m.name], used)
	if used <= memoryMb {
		return nil
	}
	w.ends[m.name]++
	w.site.record.printf("%s uses %.0f MiB, more than its %d MB, and is killed (end %d)", m.name, used, memoryMb, w.ends[m.name])
	m.kill()
	time.Sleep(killDelay)
	if err := m.start(w.site.binary); err != nil {
		return err
	}
	return awaitReady(ctx, []*machine{m}, 15*time.Second)
}

// round opens the sessions in turn, lets them rest for a moment, and closes them; it returns the number of served statements.
func (w *memoryWatch) round(ctx context.Context, data string) (served int, err error) {
	var sessions []*platformtest.Caller
	defer func() {
		for _, c := range sessions {
			c.Close()
		}
		time.Sleep(500 * time.Millisecond)
	}()
	ended := map[string]bool{}
	for n := range openSessions {
		m := w.site.machines[n%len(w.site.machines)]
		if ended[m.name] {
			// Its clients reconnect, and rest until the next round.
			continue
		}
		c, err := platformtest.Dial(ctx, platformtest.CallerConfig{Address: m.frontend(), Database: database, Timeout: 3 * time.Second})
		if err != nil {
			w.site.record.printf("session %d at %s: %v", n, m.name, err)
			continue
		}
		sessions = append(sessions, c)
		item := fmt.Sprintf("item%d", n%7)
		for _, text := range []string{platformtest.TextWrite(item, data), platformtest.TextRead(item)} {
			a, err := c.Exec(nextID(), text)
			w.site.record.printf("session %d at %s: sent %.40s, answered %.40s, error %v; the process uses %.0f MiB", n, m.name, text, strings.Join(a.Lines, " | "), err, m.privateMemory())
			if err == nil && a.Succeeded() {
				served++
			}
		}
		before := w.ends[m.name]
		if err := w.enforce(ctx, m); err != nil {
			return served, err
		}
		ended[m.name] = w.ends[m.name] > before
	}
	time.Sleep(time.Second)
	for _, m := range w.site.machines {
		if err := w.enforce(ctx, m); err != nil {
			return served, err
		}
	}
	return served, nil
}
