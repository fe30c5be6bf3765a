package fleet

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
)

// watchLogInterval is how often a group in difficulties is described in the log.
const watchLogInterval = time.Second

// watchLog logs when this instance starts or stops accepting callers, and describes the groups whose primary is not confirmed or
// whose endpoints have waiting requests.
type watchLog[L Link[L]] struct {
	instance *Instance[L]
	ready    bool
}

// Name returns the service's name.
func (w *watchLog[L]) Name() string { return "watch_log" }

// Run checks the groups at every interval until ctx ends.
func (w *watchLog[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.logReady(w.instance.Ready())
			for _, g := range w.instance.members.all() {
				w.logGroup(g)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// logReady logs when this instance starts and stops accepting callers.
func (w *watchLog[L]) logReady(ready bool) {
	if ready == w.ready {
		return
	}
	w.ready = ready
	version, _ := w.instance.directory.Version()
	alive, _ := w.instance.counts()
	logLine(w.instance.cfg.Logger, "level", "info", "msg", "ready", "ready", ready, "revision", version,
		"listed", w.instance.endpointsListed.Load(), "alive", alive, "since_start_ms", ageMillis(clock.Now(), w.instance.startedAt))
}

func (w *watchLog[L]) logGroup(g *engine.Group[L]) {
	now := clock.Now()
	waiting, paced, usage := describeUsage(g)
	var members string
	var confirmed time.Time
	g.View(func(t *route.Tracker) {
		confirmed = t.ConfirmedAt()
		if waiting > 0 || paced || now.Sub(confirmed) > leaseDuration {
			members = t.Describe(now)
		}
	})
	if members == "" {
		return
	}
	logLine(w.instance.cfg.Logger, "level", "info", "msg", "group_in_difficulty", "group", g.Name(),
		"confirmed_ms_ago", ageMillis(now, confirmed), "members", members, "connections", usage)
}

// describeUsage returns how many requests wait for links, and a text with the open links, the idle links and the waiting
// requests of each member, and its pace where that restricts requests.
func describeUsage[L Link[L]](g *engine.Group[L]) (waiting int, paced bool, text string) {
	var parts []string
	for _, m := range g.Members() {
		c := g.Connections(m.Endpoint)
		if c == nil {
			continue
		}
		u := c.Usage()
		waiting += u.Waiting()
		part := m.Endpoint + " open " + strconv.Itoa(u.Open()) + " of " + strconv.Itoa(u.Limit()) +
			", idle " + strconv.Itoa(u.Idle()) + ", waiting " + strconv.Itoa(u.Waiting())
		if p, limited := g.Pace(m.Endpoint); limited {
			paced = true
			part += ", pace " + strconv.Itoa(p.Limit()) + " of " + strconv.Itoa(p.Ceiling()) + ", restarts " + strconv.Itoa(p.Restarts())
		}
		parts = append(parts, part)
	}
	return waiting, paced, strings.Join(parts, "; ")
}
