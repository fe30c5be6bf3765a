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

// watched is one database group as this instance watches it.
type watched struct {
	group   *engine.Group[*endpoint.Conn]
	monitor *monitor
	shares  map[string]*pool.Shares
	// lending holds one change of an endpoint's limit at a time.
	lending sync.Mutex
}

// watchService learns the platform's groups and watches them.
type watchService struct {
	instance *Instance
}

// Name returns the service's name.
func (s *watchService) Name() string { return "groups" }

// Run asks for new groups until ctx ends; the watches end with it.
func (s *watchService) Run(ctx context.Context) error {
	i := s.instance
	i.mu.Lock()
	i.groupCtx = ctx
	i.mu.Unlock()
	ticker := time.NewTicker(groupsInterval)
	defer ticker.Stop()
	for {
		wait := ticker.C
		if !s.learn(ctx) {
			wait = time.After(claimPause)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			i.ends.Wait()
			return nil
		}
	}
}

// learn starts to watch groups that are new, and reports whether the platform answered.
func (s *watchService) learn(ctx context.Context) bool {
	groups, err := s.instance.cfg.Platform.Groups(ctx)
	if err != nil {
		return false
	}
	for _, g := range groups {
		s.instance.watch(g)
	}
	s.instance.learned.Store(true)
	return true
}

func (i *Instance) watch(g *platformv1.Group) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.groups[g.GetName()] != nil || i.groupCtx == nil {
		return
	}
	w := &watched{shares: map[string]*pool.Shares{}}
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
	i.applyLeaving(w)
	i.start(w)
}

// applyLeaving tells a new watch of the orders that came before it; the instance's lock must be held.
func (i *Instance) applyLeaving(w *watched) {
	names := i.leavingLocked(w)
	w.group.View(func(t *route.Tracker) {
		for _, name := range names {
			t.SetLeaving(name, true)
		}
	})
	w.monitor.SetLeaving(names)
}

// newShares returns the shares of an endpoint; the holders of the other seats may hold loans of an earlier run.
func (i *Instance) newShares(limit int) *pool.Shares {
	var others []string
	for number, seat := range i.node.Seats() {
		if number != i.number {
			others = append(others, seat.Name)
		}
	}
	return pool.NewShares(pool.SharesConfig{
		Limit:       limit,
		Seats:       i.cfg.Seats,
		Seat:        int(i.number),
		Incarnation: i.seat.Incarnation,
		Others:      others,
	})
}

// start runs a group's watch and monitor until the group service ends.
func (i *Instance) start(w *watched) {
	i.ends.Add(2)
	go func() {
		defer i.ends.Done()
		_ = w.group.Run(i.groupCtx)
	}()
	go func() {
		defer i.ends.Done()
		w.monitor.Run(i.groupCtx, w.group)
	}()
}

// watchedGroups returns the groups in the order of their names; the instance's lock must be held.
func (i *Instance) watchedGroups() []*watched {
	names := make([]string, 0, len(i.groups))
	for name := range i.groups {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make([]*watched, 0, len(names))
	for _, name := range names {
		out = append(out, i.groups[name])
	}
	return out
}

// allGroups returns the watched groups.
func (i *Instance) allGroups() []*watched {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.watchedGroups()
}

// dial opens a connection with the login that the contracts name for a database.
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

// login returns the user and password for endpoints of a database, or of any database for "".
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
