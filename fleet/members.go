package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
)

// homeGrace is how long a group is watched on after this instance has ceased to be a home, so that its callers can finish.
const homeWatchGrace = 8 * time.Second

// homeStay is how long sessions stay with an instance that is no home any more: longer than the new home takes to
// learn that it is one.
const homeSessionGrace = time.Second

// watched is one database group as this instance watches it.
type watched[L Link[L]] struct {
	// stop ends the watch, and leftAt is since when this instance is no home of the group.
	stop    context.CancelFunc
	leftAt  time.Time
	group   *engine.Group[L]
	monitor *engine.Monitor[L]
	orders  *orders[L]
}

// known is an endpoint's newest entry.
type known struct {
	entry   Entry
	version uint64
	// goneAt is when the entry was found missing, or zero while it is there.
	goneAt time.Time
}

// members keeps the endpoints that the store lists, in groups that are watched; it is safe for concurrent use.
type members[L Link[L]] struct {
	instance *Instance[L]
	logger   log.Logger
	mu       sync.Mutex
	entries  map[string]*known
	groups   map[string]*watched[L]
	// version is the newest version of any entry, removals included.
	version uint64
	ctx     context.Context
	loops   sync.WaitGroup
	// slotsOf is the most slots that a member of a group has told of; it has a lock of its own, since homes follow
	// from it.
	slotsMu sync.Mutex
	slotsOf map[string]int
}

func newMembers[L Link[L]](i *Instance[L]) *members[L] {
	return &members[L]{instance: i, logger: i.cfg.Logger, entries: map[string]*known{}, groups: map[string]*watched[L]{}, slotsOf: map[string]int{}}
}

// Name returns the service's name.
func (m *members[L]) Name() string { return "endpoints" }

// goneInterval is how often endpoints without an entry are looked at.
const goneInterval = 200 * time.Millisecond

// Run watches the groups until ctx ends.
func (m *members[L]) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, w := range m.groups {
		m.startLocked(w)
	}
	m.mu.Unlock()
	ticker := time.NewTicker(goneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.dropGone(clock.Now())
			m.Configured()
			m.leaveHomes(clock.Now())
		case <-ctx.Done():
			m.loops.Wait()
			return nil
		}
	}
}

// leaveHomes stops the watch of groups that this instance has not been a home of for long enough.
func (m *members[L]) leaveHomes(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, w := range m.groups {
		switch {
		case m.instance.atHome(name):
			w.leftAt = time.Time{}
		case w.leftAt.IsZero():
			w.leftAt = now
		case now.Sub(w.leftAt) >= homeWatchGrace:
			delete(m.groups, name)
			w.stop()
			logLine(m.logger, "level", "info", "msg", "home_left", "group", name)
		}
	}
}

// startLocked runs the watch and the monitor of a group.
func (m *members[L]) startLocked(w *watched[L]) {
	if m.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	w.stop = cancel
	m.loops.Add(2)
	go func() {
		defer m.loops.Done()
		if err := w.group.Run(ctx); err != nil {
			logLine(m.logger, "level", "error", "msg", "group_watch_ended", "group", w.group.Name(), "error", err.Error())
		}
	}()
	go func() {
		defer m.loops.Done()
		w.monitor.Run(ctx, w.group)
	}()
}

// servesOn reports whether sessions of a group are still served here though this instance is no home of it.
func (m *members[L]) servesOn(group string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.groups[group]
	return w != nil && (m.instance.stopping.Load() || w.leftAt.IsZero() || now.Sub(w.leftAt) < homeSessionGrace)
}

// Version returns the newest version of any entry.
func (m *members[L]) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Remove notes that an endpoint has no entry as of a version of the store.
func (m *members[L]) Remove(endpoint string, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, version)
	held := m.entries[endpoint]
	if held == nil || held.version >= version || !held.goneAt.IsZero() {
		return
	}
	held.version = version
	held.goneAt = clock.Now()
	m.logLocked("endpoint_entry_gone", held.entry, version)
}

// Retain removes the endpoints that a whole list of the store lacks, and returns their names.
func (m *members[L]) Retain(listed map[string]bool, version uint64) (gone []string) {
	m.mu.Lock()
	for name := range m.entries {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	m.mu.Unlock()
	sort.Strings(gone)
	for _, name := range gone {
		m.Remove(name, version)
	}
	return gone
}

func (m *members[L]) logLocked(what string, e Entry, version uint64) {
	logLine(m.logger, "level", "info", "msg", what, "endpoint", e.Endpoint, "group", e.Group,
		"address", e.Address, "data_centre", e.DataCentre, "leaving", e.Leaving, "version", version)
}

// dropGone gives up endpoints whose entry has been missing for long enough.
func (m *members[L]) dropGone(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, k := range m.entries {
		if k.goneAt.IsZero() || now.Sub(k.goneAt) < removalGrace {
			continue
		}
		delete(m.entries, name)
		m.logLocked("endpoint_dropped", k.entry, k.version)
		m.regroupLocked(k.entry.Group)
	}
}

// Configured watches the groups that the configuration names and this instance is a home of; entries of others name no endpoint to use.
func (m *members[L]) Configured() {
	m.mu.Lock()
	names := map[string]bool{}
	for _, k := range m.entries {
		names[k.entry.Group] = true
	}
	for name := range names {
		if m.groups[name] == nil {
			m.regroupLocked(name)
		}
	}
	m.mu.Unlock()
	m.cutShares()
}

// regroupLocked brings a group in line with the entries.
func (m *members[L]) regroupLocked(name string) {
	var list []engine.Address
	var names, leaving []string
	for _, k := range m.entries {
		if k.entry.Group != name {
			continue
		}
		list = append(list, m.address(k.entry))
		names = append(names, k.entry.Endpoint)
		if k.entry.Leaving {
			leaving = append(leaving, k.entry.Endpoint)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Endpoint < list[b].Endpoint })
	sort.Strings(names)
	sort.Strings(leaving)
	w := m.groups[name]
	if _, configured := m.instance.directory.Group(name); w == nil && !(configured && m.instance.atHome(name)) {
		return
	}
	if w == nil {
		w = m.newWatched(name, list)
		m.groups[name] = w
		m.startLocked(w)
		logLine(m.logger, "level", "info", "msg", "home_taken", "group", name, "members", len(list))
	}
	w.group.SetMembers(list)
	w.monitor.SetMembers(names)
	w.monitor.SetLeaving(leaving)
	w.group.View(func(t *route.Tracker) {
		for _, k := range m.entries {
			if k.entry.Group == name {
				t.SetLeaving(k.entry.Endpoint, k.entry.Leaving)
			}
		}
	})
}

func (m *members[L]) address(e Entry) engine.Address {
	return engine.Address{
		Endpoint:    e.Endpoint,
		Address:     e.Address,
		Incarnation: e.Incarnation,
		Near:        e.DataCentre == m.instance.cfg.DataCentre,
		Slots:       e.Slots,
	}
}

func (m *members[L]) newWatched(name string, list []engine.Address) *watched[L] {
	i := m.instance
	w := &watched[L]{}
	w.orders = &orders[L]{instance: i, name: name, group: func() *engine.Group[L] { return w.group }}
	w.monitor = engine.NewMonitor(engine.MonitorConfig[L]{
		Failover:     failoverConfig(name, i.cfg.Name),
		Fleet:        i,
		Orders:       w.orders,
		Tick:         monitorTick,
		PublishPause: publishPause,
	})
	w.orders.observer = w.monitor
	w.group = engine.NewGroup(engine.GroupConfig[L]{
		Name:          name,
		Members:       list,
		ProbeInterval: probeInterval,
		ProbeTimeout:  probeTimeout,
		Lease:         lease,
		Limit:         m.share(name),
		Sharers:       m.sharers(name),
		Quarantine:    quarantine,
		LinkIdle:      linkIdle,
		Ordered:       true,
		Outage:        usualOutage,
		PromotionTime: promotionTime,
		Probing:       &probing,
		AllReplicas:   true,
		Standby:       func() bool { return i.standby(name) },
		Dial: func(ctx context.Context, a engine.Address, _ string) (L, error) {
			return i.reach.dial(ctx, name, a)
		},
		Observer: w.orders,
	})
	return w
}

// all returns the watched groups.
func (m *members[L]) all() []*engine.Group[L] {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*engine.Group[L], 0, len(m.groups))
	for _, w := range m.groups {
		out = append(out, w.group)
	}
	return out
}

// lists reports whether an address is that of an endpoint.
func (m *members[L]) lists(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.entries {
		if k.entry.Address == address {
			return true
		}
	}
	return false
}

// find returns a watched group, or nil.
func (m *members[L]) find(name string) *watched[L] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[name]
}

// has reports whether any endpoint of a group is listed.
func (m *members[L]) has(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.entries {
		if k.entry.Group == name {
			return true
		}
	}
	return false
}

// group returns the group of that name, or nil.
func (m *members[L]) group(name string) *engine.Group[L] {
	w := m.find(name)
	if w == nil {
		return nil
	}
	return w.group
}
