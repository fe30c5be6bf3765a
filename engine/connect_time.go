package engine

import "time"

// connectTime returns the expected time to open a link with a key, or 0 if an idle one is usable.
func (c *Connections[L]) connectTime(key string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool.IdleWith(key) > 0 {
		return 0
	}
	return c.dialTime
}

// connectTimes returns, for links that only the requests with a key can use, the expected time to open one at each endpoint
// without an idle one.
//
// Reads then stay with an endpoint at which their account has a link: a link for each
// account at each endpoint would exceed the connection limits. Without a key, links are
// shared by all requests, and the result is nil.
func (g *Group[L]) connectTimes(key string) map[string]time.Duration {
	if key == "" {
		return nil
	}
	g.mu.Lock()
	members := make([]*member[L], 0, len(g.members))
	for _, m := range g.members {
		members = append(members, m)
	}
	g.mu.Unlock()
	var times map[string]time.Duration
	for _, m := range members {
		d := m.connections.connectTime(key)
		if d == 0 {
			continue
		}
		if times == nil {
			times = make(map[string]time.Duration, len(members))
		}
		times[m.connections.endpoint] = d
	}
	return times
}
