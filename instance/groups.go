package instance

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/pool"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/table/platformv1"
)

// watchedGroup is a database group that this instance watches.
type watchedGroup struct {
	group   *engine.Group[*endpoint.Conn]
	monitor *monitor
	// shares holds this instance's share of each endpoint's connection limit, by endpoint.
	shares map[string]*pool.Shares
	// limitMu serialises changes of the endpoints' connection limits.
	limitMu sync.Mutex
}

// watchService lists the platform's groups and watches them.
type watchService struct {
	instance *Instance
}

// Name returns the service's name.
func (s *watchService) Name() string { return "groups" }

// Run lists the groups at every interval until ctx ends, and returns once the watches have ended too.
func (s *watchService) Run(ctx context.Context) error {
	i := s.instance
	i.mu.Lock()
	i.groupCtx = ctx
	i.mu.Unlock()
	ticker := time.NewTicker(listGroupsInterval)
	defer ticker.Stop()
	for {
		wait := ticker.C
		if !s.listGroups(ctx) {
			wait = time.After(retryPause)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			i.loops.Wait()
			return nil
		}
	}
}

// listGroups starts to watch the groups that are new, and reports whether the platform answered.
func (s *watchService) listGroups(ctx context.Context) bool {
	groups, err := s.instance.cfg.Platform.Groups(ctx)
	if err != nil {
		return false
	}
	for _, g := range groups {
		s.instance.watch(g)
	}
	s.instance.groupsListed.Store(true)
	return true
}

func (i *Instance) watch(g *platformv1.Group) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.groups[g.GetName()] != nil || i.groupCtx == nil {
		return
	}
	w := &watchedGroup{shares: map[string]*pool.Shares{}}
	var members []engine.Address
	for _, m := range g.GetMembers() {
		members = append(members, engine.Address{Endpoint: m.GetEndpoint(), Address: m.GetAddress()})
		w.shares[m.GetEndpoint()] = i.newShares(int(g.GetConnectionLimit()))
	}
	w.monitor = newMonitor(i, g.GetName(), members, &orders{group: func() *engine.Group[*endpoint.Conn] { return w.group }})
	w.group = engine.NewGroup(engine.GroupConfig[*endpoint.Conn]{
		Name:          g.GetName(),
		Members:       members,
		ProbeInterval: i.cfg.ProbeInterval,
		ProbeTimeout:  probeTimeout,
		Lease:         i.cfg.Lease,
		Limit:         w.shares[members[0].Endpoint].Usable(),
		Dial:          i.dial,
		Observer:      w.monitor,
	})
	i.groups[g.GetName()] = w
	i.applyLeavingLocked(w)
	i.updateReplicationLocked()
	i.start(w)
}

// applyLeavingLocked applies the orders to leave that arrived before the group was watched; i.mu must be held.
func (i *Instance) applyLeavingLocked(w *watchedGroup) {
	names := i.leavingLocked(w)
	w.group.View(func(t *route.Tracker) {
		for _, name := range names {
			t.SetLeaving(name, true)
		}
	})
	w.monitor.SetLeaving(names)
}

// newShares returns the shares of an endpoint.
//
// The holders of other seats may still use connections that an earlier run of this seat lent them.
func (i *Instance) newShares(limit int) *pool.Shares {
	var otherHolders []string
	for number, seat := range i.node.Seats() {
		if number != i.seatNumber {
			otherHolders = append(otherHolders, seat.Name)
		}
	}
	return pool.NewShares(pool.SharesConfig{
		Limit:          limit,
		Seats:          i.cfg.Seats,
		Seat:           int(i.seatNumber),
		Incarnation:    i.seat.Incarnation,
		PriorBorrowers: otherHolders,
	})
}

// start runs a group's watch and monitor until the group service ends.
func (i *Instance) start(w *watchedGroup) {
	i.loops.Add(2)
	go func() {
		defer i.loops.Done()
		_ = w.group.Run(i.groupCtx)
	}()
	go func() {
		defer i.loops.Done()
		w.monitor.Run(i.groupCtx, w.group)
	}()
}

// groupsLocked returns the watched groups, sorted by name; i.mu must be held.
func (i *Instance) groupsLocked() []*watchedGroup {
	names := make([]string, 0, len(i.groups))
	for name := range i.groups {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make([]*watchedGroup, 0, len(names))
	for _, name := range names {
		out = append(out, i.groups[name])
	}
	return out
}

// allGroups returns the watched groups, sorted by name.
func (i *Instance) allGroups() []*watchedGroup {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.groupsLocked()
}

// dial opens a connection with the user and password that the contracts set for a database.
func (i *Instance) dial(ctx context.Context, m engine.Address, database string) (*endpoint.Conn, error) {
	user, password := i.login(database)
	return endpoint.Dial(ctx, endpoint.DialConfig{
		Address:     m.Address,
		User:        user,
		Password:    password,
		Database:    database,
		Application: i.cfg.Name,
		TLS:         i.cfg.EndpointTLS,
		Timeout:     dialTimeout,
	})
}

// login returns the user and password with which to connect to the endpoints of a database.
//
// For "", as in probes, they are those of the first database of the first customer by name. If no contract has the
// database, login returns the default user without a password.
func (i *Instance) login(database string) (user, password string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	user = "monsoontiller"
	for _, e := range i.contracts.List() {
		for _, d := range e.Contract().Databases() {
			if d.Name() == database || database == "" {
				return d.User(), d.Password()
			}
		}
	}
	return user, ""
}
