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
	"github.com/monsoontiller/monsoontiller/store"
)

// homeWatchGrace is how long a group is still watched after this instance has ceased to be a home, so that its callers can
// finish.
const homeWatchGrace = 8 * time.Second

// idleHomeGrace is that time while no request or transaction holds a link: the links of former homes take connections from the
// homes. It is longer than sessions stay here.
const idleHomeGrace = homeSessionGrace + 500*time.Millisecond

// homeSessionGrace is how long sessions stay with an instance that has ceased to be a home: longer than the new home
// takes to learn that it is one.
const homeSessionGrace = time.Second

// watchedGroup is a database group that this instance watches.
type watchedGroup[L Link[L]] struct {
	// stop ends the watch, and notHomeSince is when this instance ceased to be a home of the group, or zero.
	stop         context.CancelFunc
	notHomeSince time.Time
	group        *engine.Group[L]
	monitor      *engine.Monitor[L]
	orders       *orders[L]
}

// members holds the endpoints that the store lists, and the groups that this instance watches; it is safe for concurrent use.
type members[L Link[L]] struct {
	instance *Instance[L]
	logger   log.Logger
	mu       sync.Mutex
	entries  map[string]*listedEndpoint
	groups   map[string]*watchedGroup[L]
	missing  missingEndpoints
	// position is the newest position in the store of any entry, removals included.
	position store.Position
	ctx      context.Context
	loops    sync.WaitGroup
	slots    *groupSlots
	// changed is signalled when the set of live instances may have changed.
	changed *coalescer
}

func newMembers[L Link[L]](i *Instance[L]) *members[L] {
	return &members[L]{instance: i, logger: i.cfg.Logger, entries: map[string]*listedEndpoint{}, groups: map[string]*watchedGroup[L]{}, missing: missingEndpoints{}, slots: newGroupSlots(), changed: newCoalescer(minUpdatePause)}
}

// Name returns the service's name.
func (m *members[L]) Name() string { return "endpoints" }

// refreshInterval is how often the watched groups and the shares are updated, and removed endpoints dropped.
const refreshInterval = 200 * time.Millisecond

// minUpdatePause is the least time between two updates that follow changes of the fleet.
const minUpdatePause = 100 * time.Millisecond

// Run watches the groups until ctx ends.
func (m *members[L]) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, w := range m.groups {
		m.startLocked(w)
	}
	m.mu.Unlock()
	m.loops.Add(1)
	go func() {
		defer m.loops.Done()
		m.changed.Run(ctx, m.UpdateGroups)
	}()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.expireEntries(clock.Now())
			m.UpdateGroups()
			m.stopFormerHomes(clock.Now())
		case <-ctx.Done():
			m.loops.Wait()
			return nil
		}
	}
}

// stopFormerHomes stops the watch of groups that this instance has not been a home of for homeWatchGrace, or for idleHomeGrace
// if none of their links is in use.
//
// A group that the configuration does not name has no home. What is known of its log ends with the watch, as it may return with
// another log, whose terms begin again.
func (m *members[L]) stopFormerHomes(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, w := range m.groups {
		_, configured := m.instance.directory.Group(name)
		switch {
		case configured && m.instance.isHome(name):
			w.notHomeSince = time.Time{}
		case w.notHomeSince.IsZero():
			w.notHomeSince = now
		case now.Sub(w.notHomeSince) >= homeWatchGrace, now.Sub(w.notHomeSince) >= idleHomeGrace && !w.group.InUse():
			delete(m.groups, name)
			w.stop()
			logLine(m.logger, "level", "info", "msg", "home_left", "group", name)
		}
	}
}

// startLocked starts the watch and the monitor of a group.
func (m *members[L]) startLocked(w *watchedGroup[L]) {
	if m.ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	w.stop = cancel
	m.loops.Add(3)
	go func() {
		defer m.loops.Done()
		w.orders.Run(ctx)
	}()
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

// keepsSessions reports whether sessions of a group stay here although this instance is not a home.
func (m *members[L]) keepsSessions(group string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.groups[group]
	return w != nil && (m.instance.stopping.Load() || w.notHomeSince.IsZero() || now.Sub(w.notHomeSince) < homeSessionGrace)
}

// Position returns the newest position in the store of any entry.
func (m *members[L]) Position() store.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// advanceLocked raises the newest position.
func (m *members[L]) advanceLocked(p store.Position) {
	if p.After(m.position) {
		m.position = p
	}
}

// Remove records that an endpoint has no entry as of a position in the store.
func (m *members[L]) Remove(endpoint string, at store.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked(at)
	current := m.entries[endpoint]
	if current == nil || !at.After(current.position) || !current.removedAt.IsZero() {
		return
	}
	current.position = at
	current.removedAt = clock.Now()
	m.logLocked("endpoint_entry_gone", current.entry, at)
}

// Retain removes the endpoints that a complete list of the store does not contain, and returns their names.
func (m *members[L]) Retain(listed map[string]bool, at store.Position) (removed []string) {
	m.mu.Lock()
	for name := range m.entries {
		if !listed[name] {
			removed = append(removed, name)
		}
	}
	m.mu.Unlock()
	sort.Strings(removed)
	for _, name := range removed {
		m.Remove(name, at)
	}
	return removed
}

func (m *members[L]) logLocked(message string, e Entry, at store.Position) {
	logLine(m.logger, "level", "info", "msg", message, "endpoint", e.Endpoint, "group", e.Group,
		"address", e.Address, "data_centre", e.DataCentre, "leaving", e.Leaving, "position", at.String())
}

// expireEntries drops endpoints whose entry has been missing for removalGrace, and ends what is kept of lost entries.
func (m *members[L]) expireEntries(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, ep := range m.entries {
		if !ep.leavingUntil.IsZero() && !now.Before(ep.leavingUntil) {
			ep.leavingUntil = time.Time{}
			m.updateGroupLocked(ep.entry.Group)
		}
		if ep.removedAt.IsZero() || now.Sub(ep.removedAt) < removalGrace {
			continue
		}
		delete(m.entries, name)
		m.slots.Drop(name)
		m.missing.Dropped(ep.entry, ep.leaving(now))
		m.logLocked("endpoint_dropped", ep.entry, ep.position)
		m.updateGroupLocked(ep.entry.Group)
	}
}

// UpdateGroups starts to watch the groups that the configuration names and that this instance has become a home of, and
// updates the shares; the entries of other groups are not used.
func (m *members[L]) UpdateGroups() {
	m.mu.Lock()
	names := map[string]bool{}
	for _, ep := range m.entries {
		names[ep.entry.Group] = true
	}
	for name := range names {
		if m.groups[name] == nil {
			m.updateGroupLocked(name)
		}
	}
	m.mu.Unlock()
	m.updateShares()
}

// updateGroupLocked applies the entries of a group's endpoints to the group, and starts its watch if this instance has
// become a home.
func (m *members[L]) updateGroupLocked(name string) {
	w := m.groups[name]
	if _, configured := m.instance.directory.Group(name); w == nil && !(configured && m.instance.isHome(name)) {
		return
	}
	var addresses []engine.Address
	var names, leaving []string
	now := clock.Now()
	for _, ep := range m.entries {
		if ep.entry.Group != name {
			continue
		}
		addresses = append(addresses, m.address(ep.entry))
		names = append(names, ep.entry.Endpoint)
		if ep.leaving(now) {
			leaving = append(leaving, ep.entry.Endpoint)
		}
	}
	sort.Slice(addresses, func(a, b int) bool { return addresses[a].Endpoint < addresses[b].Endpoint })
	sort.Strings(names)
	sort.Strings(leaving)
	if w == nil {
		w = m.newWatchedGroup(name, addresses)
		m.groups[name] = w
		m.startLocked(w)
		logLine(m.logger, "level", "info", "msg", "home_taken", "group", name, "members", len(addresses))
	}
	w.group.SetMembers(addresses)
	w.monitor.SetMembers(names, m.missing.Of(name))
	w.monitor.SetLeaving(leaving)
	w.group.View(func(t *route.Tracker) {
		for _, ep := range m.entries {
			if ep.entry.Group == name {
				t.SetLeaving(ep.entry.Endpoint, ep.leaving(now))
			}
		}
	})
}

func (m *members[L]) address(e Entry) engine.Address {
	return engine.Address{
		Endpoint:       e.Endpoint,
		Address:        e.Address,
		Incarnation:    e.Incarnation,
		SameDataCentre: e.DataCentre == m.instance.cfg.DataCentre,
		Slots:          e.Slots,
	}
}

func (m *members[L]) newWatchedGroup(name string, addresses []engine.Address) *watchedGroup[L] {
	i := m.instance
	w := &watchedGroup[L]{}
	w.orders = newOrders(i, name, func() *engine.Group[L] { return w.group })
	w.monitor = engine.NewMonitor(engine.MonitorConfig[L]{
		Failover:             failoverConfig(name, i.cfg.Name),
		Fleet:                i,
		Orders:               w.orders,
		Interval:             monitorTick,
		PublishRetryInterval: publishPause,
	})
	w.orders.observer, w.orders.answered = w.monitor, w.monitor.Step
	w.group = engine.NewGroup(engine.GroupConfig[L]{
		Name:               name,
		Members:            addresses,
		ProbeInterval:      probeInterval,
		ProbeTimeout:       probeTimeout,
		Lease:              leaseDuration,
		Limit:              m.share(name),
		Sharers:            m.sharers(name),
		Quarantine:         quarantine,
		MaxLinkIdle:        m.linkIdle(),
		Ordered:            true,
		Outage:             estimatedOutage,
		PromotionTime:      promotionTime,
		Probing:            &probing,
		RequireAllReplicas: true,
		Pace:               i.cfg.Pace,
		Standby:            func() bool { return i.standby(name) },
		Dial: func(ctx context.Context, a engine.Address, account string) (L, error) {
			return i.dialer.dialMember(ctx, Target{Group: name, Member: a, Account: account})
		},
		Observer: w.orders,
	})
	i.permit(w.group)
	return w
}

// linkIdle returns how long a link may be unused.
func (m *members[L]) linkIdle() time.Duration {
	if m.instance.directory.HasAccounts() {
		return accountLinkIdleTimeout
	}
	return linkIdleTimeout
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

// hasAddress reports whether an address is that of a listed endpoint.
func (m *members[L]) hasAddress(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ep := range m.entries {
		if ep.entry.Address == address {
			return true
		}
	}
	return false
}

// find returns a watched group, or nil.
func (m *members[L]) find(name string) *watchedGroup[L] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.groups[name]
}

// hasEndpoints reports whether any endpoint of a group is listed.
func (m *members[L]) hasEndpoints(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ep := range m.entries {
		if ep.entry.Group == name {
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
