package fleet

import (
	"github.com/monsoontiller/monsoontiller/engine"
)

// Put takes an entry as of a version of the store; an older version changes nothing.
func (m *members[L]) Put(e Entry, version uint64) {
	m.noteSlots(e)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = max(m.version, version)
	held := m.entries[e.Endpoint]
	if held != nil && held.version >= version {
		return
	}
	m.entries[e.Endpoint] = &known{entry: e, version: version}
	if held == nil || held.entry != e || !held.goneAt.IsZero() {
		m.logLocked("endpoint_listed", e, version)
		m.regroupLocked(e.Group)
	}
	if held != nil && held.entry.Group != e.Group {
		m.regroupLocked(held.entry.Group)
	}
}

func (m *members[L]) noteSlots(e Entry) {
	m.slotsMu.Lock()
	defer m.slotsMu.Unlock()
	m.slotsOf[e.Group] = max(m.slotsOf[e.Group], e.Slots)
}

// slots returns how many requests a member of a group runs at once, or 0 when that is not known.
func (m *members[L]) slots(group string) int {
	m.slotsMu.Lock()
	defer m.slotsMu.Unlock()
	return m.slotsOf[group]
}

// share returns how many connections to each member of a group this instance may hold.
func (m *members[L]) share(name string) int {
	terms, ok := m.instance.directory.Group(name)
	if !ok {
		return engine.MinLimit
	}
	alive, missing := m.instance.counts()
	_, share := homeCount(terms.Connections, m.slots(name), alive+missing)
	return max(engine.MinLimit, share)
}

// sharers returns how many instances share the slots of a group's members.
func (m *members[L]) sharers(name string) int {
	terms, ok := m.instance.directory.Group(name)
	if !ok {
		return 1
	}
	alive, _ := m.instance.counts()
	homes, _ := homeCount(terms.Connections, m.slots(name), alive)
	return homes
}

// cutShares brings the shares of connections and slots in line with the fleet's size and the configuration.
func (m *members[L]) cutShares() {
	for _, g := range m.all() {
		g.SetLimit(m.share(g.Name()))
		g.SetSharers(m.sharers(g.Name()))
	}
}
