package main

import (
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

// site is a small deployment: the platform, groups of members behind gates, and machines.
type site struct {
	binary    string
	directory string
	network   string
	store     *platformtest.StoreServer
	groups    map[string]*platformtest.Group
	gates     map[string]*gate
	cloud     string
	machines  []*machine
	record    *record
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

// groupConfig describes a group of the site.
type groupConfig struct {
	name        string
	connections int
	zones       []string
}

func newSite(ctx context.Context, binary, directory string, r *record, groups ...groupConfig) (*site, error) {
	s := &site{binary: binary, directory: directory, record: r, groups: map[string]*platformtest.Group{}, gates: map[string]*gate{}}
	var err error
	if s.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	if s.store, err = platformtest.NewStoreServer(); err != nil {
		return nil, err
	}
	go func() { _ = s.store.Run(ctx) }()
	for _, cfg := range groups {
		if err := s.addGroup(ctx, cfg); err != nil {
			return nil, err
		}
	}
	return s, s.serveCloud(ctx)
}

// addGroup starts the members of a group and lists them; its promotions take 600 ms, and a replaced primary continues for a
// second after it reaches its successor.
func (s *site) addGroup(ctx context.Context, cfg groupConfig) error {
	g, err := platformtest.NewGroup(cfg.name, len(cfg.zones))
	if err != nil {
		return err
	}
	g.SetConnectionLimit(cfg.connections)
	g.SetTimes(600*time.Millisecond, time.Second)
	s.groups[cfg.name] = g
	go func() { _ = g.Run(ctx) }()
	for i, m := range g.Members() {
		gate, err := newGate(m.Address())
		if err != nil {
			return err
		}
		go gate.run(ctx)
		s.gates[m.ID] = gate
		m.SetListedAddress(gate.address())
		s.store.Rows.Put("servers", m.ID, m.Entry(cfg.zones[i], platformtest.StateReady))
	}
	return nil
}

// serveCloud serves the duty of promotions.
func (s *site) serveCloud(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.cloud = l.Addr().String()
	mux := http.NewServeMux()
	for _, g := range s.groups {
		mux.Handle("POST /promote", g.Promoter())
		break
	}
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
		name: name, zone: zone, host: fmt.Sprintf("%s%d", s.network, host), seeds: seeds, store: s.store.Address(), cloud: s.cloud, directory: s.directory,
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

func (s *site) startAll(ctx context.Context) error {
	for _, m := range s.machines {
		if err := m.start(s.binary); err != nil {
			return err
		}
	}
	return awaitReady(ctx, s.machines, 15*time.Second)
}

func (s *site) killAll() {
	for _, m := range s.machines {
		m.kill()
	}
}
