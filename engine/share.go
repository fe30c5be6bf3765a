package engine

import (
	"github.com/monsoontiller/monsoontiller/pool"
)

// permits returns how many requests this instance may have at work at a member, or 0 for no bound.
func (g *Group[L]) permits(a Address) int {
	if g.sharers == 0 {
		return 0
	}
	return pool.TurnShare(a.Slots, g.sharers)
}

// SetSharers changes how many instances share the slots of the members.
func (g *Group[L]) SetSharers(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sharers == n {
		return
	}
	g.sharers = n
	for _, m := range g.members {
		m.connections.SetPermits(g.permits(m.address))
	}
}

// MinLimit is the fewest connections to an endpoint with which an instance can serve: its probe and one more.
const MinLimit = probeConnections + 1

// SetLimit changes how many connections to each member this instance may hold, probes included.
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

// SetEndpointLimit changes how many connections to one member this instance may hold, probes included.
func (g *Group[L]) SetEndpointLimit(endpoint string, limit int) {
	if c := g.Connections(endpoint); c != nil {
		c.SetLimit(max(0, limit-probeConnections))
	}
}

// ShrinkEndpoint lowers that limit as far as limit by what is unused, and returns what was reached, probes included.
func (g *Group[L]) ShrinkEndpoint(endpoint string, limit int) int {
	return g.Connections(endpoint).Shrink(max(0, limit-probeConnections)) + probeConnections
}
