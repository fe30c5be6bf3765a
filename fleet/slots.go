package fleet

import "sync"

// groupSlots holds how many requests the members of each group run at once; it is safe for concurrent use.
//
// It has a lock of its own, because the homes, which are also computed while the list of the endpoints is locked, depend on it.
type groupSlots struct {
	mu      sync.Mutex
	byGroup map[string]map[string]int
	// groups holds the group of each endpoint.
	groups map[string]string
}

func newGroupSlots() *groupSlots {
	return &groupSlots{byGroup: map[string]map[string]int{}, groups: map[string]string{}}
}

// Put records the slots of an endpoint's newest entry.
func (g *groupSlots) Put(e Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if former, ok := g.groups[e.Endpoint]; ok && former != e.Group {
		g.removeLocked(e.Endpoint, former)
	}
	if g.byGroup[e.Group] == nil {
		g.byGroup[e.Group] = map[string]int{}
	}
	g.byGroup[e.Group][e.Endpoint] = e.Slots
	g.groups[e.Endpoint] = e.Group
}

// Drop records that an endpoint is not listed any more.
//
// The last one of a group is kept, so that the homes of a group whose entries are missing for a while do not change.
func (g *groupSlots) Drop(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if group, ok := g.groups[endpoint]; ok && len(g.byGroup[group]) > 1 {
		g.removeLocked(endpoint, group)
	}
}

func (g *groupSlots) removeLocked(endpoint, group string) {
	delete(g.byGroup[group], endpoint)
	delete(g.groups, endpoint)
	if len(g.byGroup[group]) == 0 {
		delete(g.byGroup, group)
	}
}

// Of returns the largest number of requests that a member of a group runs at once, or 0 if that is not known.
func (g *groupSlots) Of(group string) (slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.byGroup[group] {
		slots = max(slots, n)
	}
	return slots
}
