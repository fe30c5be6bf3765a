package fleet

import (
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/store"
)

// Put records an endpoint's entry as of a position in the store, unless a newer one is known.
func (m *members[L]) Put(e Entry, at store.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked(at)
	current := m.entries[e.Endpoint]
	if current != nil && !at.After(current.position) {
		m.logOlderLocked(current, e, at)
		return
	}
	m.entries[e.Endpoint] = current.replacedBy(e, at, clock.Now())
	m.slots.Put(e)
	m.missing.Listed(e)
	if current == nil || current.entry != e || !current.removedAt.IsZero() {
		m.logLocked("endpoint_listed", e, at)
		m.updateGroupLocked(e.Group)
	}
	if current != nil && current.entry.Group != e.Group {
		m.updateGroupLocked(current.entry.Group)
	}
}

// logOlderLocked counts and logs an entry that differs from the known one and is not taken over, because it is older.
func (m *members[L]) logOlderLocked(known *listedEndpoint, e Entry, at store.Position) {
	if known.entry == e {
		return
	}
	m.instance.meters.older.Inc(1)
	m.logLocked("older_entry_left_out", e, at)
}

// share returns how many connections to each member of a group this instance may hold.
func (m *members[L]) share(name string) int {
	settings, ok := m.instance.directory.Group(name)
	if !ok {
		return engine.MinConnections
	}
	_, recentlyDead := m.instance.counts()
	presumed := len(m.instance.presumedAlive())
	_, share := homeCount(settings.Connections, m.slots.Of(name), presumed+recentlyDead, 0)
	return max(engine.MinConnections, share)
}

// sharers returns how many instances share the slots of a group's members.
func (m *members[L]) sharers(name string) int {
	settings, ok := m.instance.directory.Group(name)
	if !ok {
		return 1
	}
	presumed, dead := m.instance.presumedCounts()
	homes, _ := homeCount(settings.Connections, m.slots.Of(name), presumed, dead)
	return homes
}

// updateShares adapts the watched groups to the fleet's size and the configuration: the shares of connections and slots, and
// what a promotion requires.
func (m *members[L]) updateShares() {
	for _, g := range m.all() {
		g.SetLimit(m.share(g.Name()))
		g.SetSharers(m.sharers(g.Name()))
		if w := m.find(g.Name()); w != nil {
			settings, _ := m.instance.directory.Group(g.Name())
			w.monitor.SetRequiredReplicas(settings.RequiredReplicas)
		}
	}
}
