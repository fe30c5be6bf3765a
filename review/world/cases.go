package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// cases holds the cases by name; each returns the breaks of its rule.
var cases = map[string]func(w *world, s settingsOfCase) ([]string, error){
	"promotion-api": playPromotionAPI,
	// The successor is down, is cut off from the machines, or also from the other members.
	"dark-successor":     successor{}.play,
	"cut-successor":      successor{running: true, reachesMembers: true}.play,
	"isolated-successor": successor{running: true}.play,
	"prepared-shape":     playPreparedShape,
	"line-feed":          playLineFeed,
	"deaf-replica":       playDeafReplica,
}

const (
	// sessionsPerInstance is the number of callers that send requests through each instance.
	sessionsPerInstance = 8
	// callerPause is the pause of a caller between two requests.
	callerPause = 80 * time.Millisecond
)

// playPromotionAPI replaces the primary of the group as planned work does, while the promotion API is down.
func playPromotionAPI(w *world, s settingsOfCase) ([]string, error) {
	if s.trouble {
		w.promoter.outage = s.outage
	}
	return playReplacement(w)
}

// darkAfter is the time from the order of a promotion until the promoted member goes dark: before it leads.
const darkAfter = 300 * time.Millisecond

// successor describes what happens to the member whose promotion is ordered first.
type successor struct {
	// running means that the member is not down but partitioned from the machines, and reachesMembers that the partition
	// does not separate it from the other members.
	running, reachesMembers bool
}

// play replaces the primary of the group as planned work does, and lets nothing reach the successor for a while.
func (c successor) play(w *world, s settingsOfCase) ([]string, error) {
	if s.trouble {
		w.group.mu.Lock()
		w.group.firstOrder = func(m *member) {
			m.running, m.reachesMembers = c.running, c.reachesMembers
			time.AfterFunc(darkAfter, func() {
				w.record.write("trouble", "no machine reaches %s for %v", m.id, s.outage)
				m.setDark(true)
				time.AfterFunc(s.outage, func() {
					m.setDark(false)
					w.record.write("trouble", "%s is reachable again", m.id)
				})
			})
		}
		w.group.mu.Unlock()
	}
	return playReplacement(w)
}

// playReplacement replaces the primary of the group as planned work does, while callers send requests, and returns the
// breaks of the rules ONE and STALE.
func playReplacement(w *world) ([]string, error) {
	stop := w.startCallers(mix{database: database, readEvery: 6, pause: callerPause})
	time.Sleep(4 * time.Second)
	replacement, err := w.group.add("i-3", "z0")
	if err != nil {
		stop()
		return nil, err
	}
	w.putEntry(replacement)
	time.Sleep(time.Second)
	w.drainPrimary()
	time.Sleep(12 * time.Second)
	stop()
	return append(checkOne(w.group, w.ledger), checkStale(w.group, w.ledger)...), nil
}

// startCallers lets sessionsPerInstance callers of each mix send requests through each instance; stop ends them.
func (w *world) startCallers(mixes ...mix) (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	var callers sync.WaitGroup
	number := 0
	for _, i := range w.instances {
		for _, m := range mixes {
			for range sessionsPerInstance {
				callers.Add(1)
				go func(number int) {
					defer callers.Done()
					w.ledger.run(ctx, number, platformtest.CallerAddress(i.host), m)
				}(number)
				number++
			}
		}
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// drainPrimary lets the primary report that it is about to be replaced.
func (w *world) drainPrimary() {
	w.group.mu.Lock()
	old := w.group.leader()
	old.draining = true
	w.group.mu.Unlock()
	w.putEntry(old)
	w.record.write("member", "%s reports draining", old.id)
}

// playDeafReplica replaces the primary of a group with SyncReplicas 1 as planned work does, while one of its two replicas
// receives nothing.
func playDeafReplica(w *world, s settingsOfCase) ([]string, error) {
	stop := w.startCallers(mix{database: database, readEvery: noReads, pause: writerPause}, mix{database: sessionDatabase, readEvery: 1, pause: s.readerPause})
	time.Sleep(4 * time.Second)
	if s.trouble {
		deaf := w.group.members[1]
		setDeaf := func(value bool) {
			w.group.mu.Lock()
			defer w.group.mu.Unlock()
			deaf.deaf = value
			w.record.write("trouble", "%s receives nothing: %v", deaf.id, value)
		}
		setDeaf(true)
		time.AfterFunc(s.outage, func() { setDeaf(false) })
	}
	time.Sleep(3 * time.Second)
	w.drainPrimary()
	time.Sleep(9 * time.Second)
	stop()
	return checkLost(w.group, w.ledger), nil
}

// noReads is a readEvery that no caller reaches.
const noReads = 1 << 30

// writerPause is the pause of a writer between two requests in the case deaf-replica.
const writerPause = time.Second

// defaultReaderPause is the default pause of a reader between two requests.
const defaultReaderPause = 75 * time.Millisecond

// rounds is the number of requests of each caller in the cases without a failure of a part.
const rounds = 60

// playPreparedShape lets two callers prepare statements at the same time, one of them with a shape of two words.
func playPreparedShape(w *world, s settingsOfCase) ([]string, error) {
	shapes := []string{"upsert", "upsert_booking"}
	if s.trouble {
		shapes[1] = "upsert booking"
	}
	prepared := map[string]string{}
	var sessions []*session
	for n, shape := range shapes {
		c, err := dial(platformtest.CallerAddress(w.instances[0].host), database)
		if err != nil {
			return nil, err
		}
		sessions = append(sessions, c)
		a := c.exec(w.ledger.id(), "PARSE p1 WRITE "+shape)
		a.session = n
		w.ledger.add(a)
		if !a.succeeded() {
			return nil, fmt.Errorf("the statement %q was not prepared: %s", shape, a.code)
		}
	}
	for k := range rounds {
		for n, c := range sessions {
			id := w.ledger.id()
			prepared[id] = "WRITE " + shapes[n]
			a := c.exec(id, fmt.Sprintf("EXECUTE p1 item%d data%d", n, k))
			a.session = n
			w.ledger.add(a)
			if a.err != nil {
				return checkPrepared(w.group, w.ledger, prepared), nil
			}
		}
	}
	return checkPrepared(w.group, w.ledger, prepared), nil
}

// playLineFeed lets a caller send writes whose data contain a line feed, which does not end a message.
func playLineFeed(w *world, s settingsOfCase) ([]string, error) {
	separator := " "
	if s.trouble {
		separator = "\n"
	}
	for k := range rounds {
		c, err := dial(platformtest.CallerAddress(w.instances[k%instanceCount].host), database)
		if err != nil {
			return nil, err
		}
		a := c.exec(w.ledger.id(), fmt.Sprintf("WRITE note%d line one%sQUERY x%d WRITE item%d line two", k, separator, k, k))
		a.session = k
		w.ledger.add(a)
		// A second answer would arrive here.
		c.nc.SetDeadline(time.Now().Add(20 * time.Millisecond))
		if line, err := readMessage(c.in); err == nil {
			w.record.write("caller", "%d receives %q while no request is outstanding", k, line)
		}
		c.nc.Close()
	}
	return checkAsked(w.group, w.ledger), nil
}
