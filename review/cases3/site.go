package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// site is a small deployment: the platform, a group of members behind gates, and machines.
type site struct {
	binary    string
	directory string
	network   string
	store     *platformtest.StoreServer
	group     *platformtest.Group
	// otherGroups are the names of groups that no client uses.
	otherGroups []string
	// storeAddress is how the machines that are added next reach the store, or "" for directly.
	storeAddress string
	// version is that of the newest desired state.
	version     int
	syncReplica bool
	gates       map[string]*gate
	cloud       string
	machines    []*machine
	record      *record
}

// record writes what happened to the file of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// The group of the site and its database.
const (
	groupName   = "candidate-records"
	database    = "bookings"
	connections = 34
)

// memberZones are the zones of the members.
var memberZones = []string{"perth", "stirling", "falkirk"}

// writeConfig writes the first desired state, with one route of the kind primary.
func (s *site) writeConfig(syncReplica bool) {
	s.group.SetSyncReplica(syncReplica)
	s.syncReplica = syncReplica
	s.writeRoute(groupName, time.Second)
}

// writeRoute writes the next desired state, in which the route leads to a group.
func (s *site) writeRoute(group string, timeout time.Duration) {
	s.version += 3
	s.store.Rows.Put("op", "config", platformtest.Configuration{
		Version: s.version, Group: groupName, Connections: connections, SyncReplica: s.syncReplica, Timeout: timeout,
		TargetLatency: 200 * time.Millisecond, MaxStaleness: 1500 * time.Millisecond, TransactionIdle: 5 * time.Second,
		Databases: []platformtest.Database{{Name: database, Kind: platformtest.KindPrimary, Group: group}}, OtherGroups: s.otherGroups,
	}.Text())
}

func newSite(ctx context.Context, e environment) (*site, error) {
	s := &site{binary: e.binary, directory: e.directory, record: e.record, gates: map[string]*gate{}}
	var err error
	if s.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	if s.store, err = platformtest.NewStoreServer(); err != nil {
		return nil, err
	}
	go func() { _ = s.store.Run(ctx) }()
	if err := s.startGroup(ctx); err != nil {
		return nil, err
	}
	return s, s.serveCloud(ctx)
}

// startGroup starts the members of the group and lists them; its promotions take 600 ms, and a replaced primary continues for a
// second after it reaches its successor.
func (s *site) startGroup(ctx context.Context) error {
	g, err := platformtest.NewGroup(groupName, len(memberZones))
	if err != nil {
		return err
	}
	g.SetConnectionLimit(connections)
	g.SetTimes(600*time.Millisecond, time.Second)
	s.group = g
	go func() { _ = g.Run(ctx) }()
	for i, m := range g.Members() {
		gate, err := newGate(m.Address())
		if err != nil {
			return err
		}
		go gate.run(ctx)
		s.gates[m.ID] = gate
		m.SetListedAddress(gate.address())
		s.store.Rows.Put("servers", m.ID, m.Entry(memberZones[i], platformtest.StateReady))
	}
	return nil
}

// addOtherGroup starts and lists the members of a group that no client uses.
func (s *site) addOtherGroup(ctx context.Context, name string) (*platformtest.Group, error) {
	g, err := platformtest.NewGroup(name, len(memberZones))
	if err != nil {
		return nil, err
	}
	go func() { _ = g.Run(ctx) }()
	for i, m := range g.Members() {
		s.store.Rows.Put("servers", m.ID, m.Entry(memberZones[i], platformtest.StateReady))
	}
	s.otherGroups = append(s.otherGroups, name)
	return g, nil
}

// serveCloud serves the duty of promotions.
func (s *site) serveCloud(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.cloud = l.Addr().String()
	mux := http.NewServeMux()
	mux.Handle("POST /promote", s.group.Promoter())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.record.printf("the promotion API has ended: %v", err)
		}
	}()
	return nil
}

// addMachine writes the settings of a machine, which is not started.
func (s *site) addMachine(name, zone string, host int, seeds ...string) (*machine, error) {
	m, err := newMachine(machineConfig{
		name: name, zone: zone, host: fmt.Sprintf("%s%d", s.network, host), seeds: seeds, store: cmp.Or(s.storeAddress, s.store.Address()), cloud: s.cloud, directory: s.directory,
	})
	if err == nil {
		s.machines = append(s.machines, m)
	}
	return m, err
}

// controlOf returns the Control address of a host.
func (s *site) controlOf(host int) string {
	return fmt.Sprintf("%s%d:%d", s.network, host, portControl)
}

func (s *site) startAll(ctx context.Context) error { return s.startFrom(ctx, 0) }

// startFrom starts all machines but the first ones.
func (s *site) startFrom(ctx context.Context, first int) error {
	for _, m := range s.machines[first:] {
		if err := m.start(s.binary); err != nil {
			return err
		}
	}
	return awaitReady(ctx, s.machines[first:], 15*time.Second)
}

func (s *site) killAll() {
	for _, m := range s.machines {
		m.kill()
	}
}
