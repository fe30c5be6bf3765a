package endpointtest

import (
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// GroupConfig describes a stand-in group.
type GroupConfig struct {
	Name           string
	Members        int
	MaxConnections int
	Slots          int
	Lag            time.Duration
	ConnectDelay   time.Duration
	StatementTime  time.Duration
	Clock          func() time.Time
}

// Group is a stand-in database group whose members share one log.
type Group struct {
	cfg     GroupConfig
	mu      sync.Mutex
	members []*Member
}

const (
	defaultMembers        = 3
	defaultMaxConnections = 35
	defaultSlots          = 5
	replicationTick       = time.Millisecond
)

// NewGroup returns a group whose first member is the primary of term 1; nothing listens until Start.
func NewGroup(cfg GroupConfig) *Group {
	if cfg.Members == 0 {
		cfg.Members = defaultMembers
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	g := &Group{cfg: cfg}
	for i := range cfg.Members {
		g.members = append(g.members, newMember(g, i))
	}
	g.members[0].role = group.RolePrimary
	return g
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Name }

// Members returns the members in order.
func (g *Group) Members() []*Member { return append([]*Member(nil), g.members...) }

// Primary returns the reachable member that leads the newest term, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaderLocked(nil)
}

// leaderLocked returns the leader of the newest term that follower can reach.
func (g *Group) leaderLocked(follower *Member) *Member {
	var leader *Member
	for _, m := range g.members {
		if m.role != group.RolePrimary || m.down {
			continue
		}
		if follower != nil && (m.isolated || follower.isolated) {
			continue
		}
		if leader == nil || m.term > leader.term {
			leader = m
		}
	}
	return leader
}

// Replicate moves every replica towards its leader as far as its lag allows at the group's clock.
func (g *Group) Replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	for _, m := range g.members {
		if m.down {
			continue
		}
		leader := g.leaderLocked(m)
		if leader == nil || leader == m || leader.term < m.promised {
			continue
		}
		m.followLocked(leader, now)
	}
}
