package endpointtest

import (
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// GroupConfig configures a fake group; zero values of Members, MaxConnections, Slots and Clock select defaults.
type GroupConfig struct {
	Name           string
	Members        int
	MaxConnections int
	// Slots is the number of statements that a member runs concurrently if StatementTime is positive.
	Slots int
	// Lag is the initial replication lag of the replicas.
	Lag time.Duration
	// ConnectDelay is the time that a member takes to start a session.
	ConnectDelay time.Duration
	// StatementTime is the time for which a statement occupies its slot before it is executed.
	StatementTime time.Duration
	Clock         func() time.Time
}

// Group is a fake database group whose replicas copy the log of the primary.
type Group struct {
	cfg     GroupConfig
	mu      sync.Mutex
	members []*Member
}

const (
	defaultMembers        = 3
	defaultMaxConnections = 35
	defaultSlots          = 5
	replicationInterval   = time.Millisecond
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

// Primary returns the running member that is primary of the newest term, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked(nil)
}

// primaryLocked returns the running primary of the newest term that follower can reach, or nil; a nil follower reaches
// all members.
func (g *Group) primaryLocked(follower *Member) *Member {
	var primary *Member
	for _, m := range g.members {
		if m.role != group.RolePrimary || m.down {
			continue
		}
		if follower != nil && (m.isolated || follower.isolated) {
			continue
		}
		if primary == nil || m.term > primary.term {
			primary = m
		}
	}
	return primary
}

// Replicate copies log records from the primary to every replica, except those younger than the replica's lag.
func (g *Group) Replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	for _, m := range g.members {
		if m.down {
			continue
		}
		primary := g.primaryLocked(m)
		if primary == nil || primary == m || primary.term < m.promised {
			continue
		}
		m.followLocked(primary, now)
	}
}
