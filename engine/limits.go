package engine

import (
	"github.com/monsoontiller/monsoontiller/pool"
)

// permits returns how many requests this instance may have running at a member at the same time, or 0 for no limit.
func (g *Group[L]) permits(a Address) int {
	if g.sharers == 0 {
		return 0
	}
	return pool.PermitShare(a.Slots, g.sharers)
}

// SetSharers changes the number of instances that share the members' slots.
func (g *Group[L]) SetSharers(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sharers == n {
		return
	}
	g.sharers = n
	for _, m := range g.members {
		g.applyPermitsLocked(m)
	}
}

// MinConnections is the number of connections that an instance needs to an endpoint: one for probes, one for requests.
const MinConnections = probeConnections + 1

// SetLimit changes the number of connections to each member that this instance may hold, including the one for probes.
func (g *Group[L]) SetLimit(limit int) {
	g.mu.Lock()
	unchanged := g.limit == limit
	g.limit = limit
	g.mu.Unlock()
	if unchanged {
		return
	}
	for _, a := range g.Members() {
		g.SetEndpointLimit(a.Endpoint, limit)
	}
}

// SetEndpointLimit changes the number of connections to one member that this instance may hold, including the one for
// probes.
func (g *Group[L]) SetEndpointLimit(endpoint string, limit int) {
	if c := g.Connections(endpoint); c != nil {
		c.SetLimit(max(0, limit-probeConnections))
	}
}

// ShrinkEndpoint lowers the limit of one member towards limit by closing idle connections, and returns the limit
// reached; both include the connection for probes.
func (g *Group[L]) ShrinkEndpoint(endpoint string, limit int) int {
	return g.Connections(endpoint).Shrink(max(0, limit-probeConnections)) + probeConnections
}

// InUse reports whether a request or a transaction holds or waits for a link to a member.
func (g *Group[L]) InUse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if u := m.connections.Usage(); u.Open() > u.Idle() || u.Waiting() > 0 {
			return true
		}
	}
	return false
}
