package endpointtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// server accepts connections for one member and simulates the member's network faults.
type server struct {
	member         *Member
	mu             sync.Mutex
	listener       net.Listener
	conns          map[*conn]struct{}
	blocked        map[string]bool
	slots          chan struct{}
	nextPID        atomic.Uint32
	peak           int
	refused        int
	answersToLose  int
	settingsToFail int
}

func newServer(m *Member) *server {
	return &server{
		member:  m,
		conns:   map[*conn]struct{}{},
		blocked: map[string]bool{},
		slots:   make(chan struct{}, m.group.cfg.Slots),
	}
}

func (s *server) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Start listens on 127.0.0.1 for every member and replicates until ctx ends.
//
// The channel receives nil once all members have stopped.
func (g *Group) Start(ctx context.Context) (<-chan error, error) {
	for _, m := range g.members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m.server.serve(l)
	}
	done := make(chan error, 1)
	go func() {
		done <- g.run(ctx)
	}()
	return done, nil
}

func (g *Group) run(ctx context.Context) error {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Replicate()
		case <-ctx.Done():
			for _, m := range g.members {
				m.Stop()
			}
			return nil
		}
	}
}

func (s *server) serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go s.accept(l)
}

func (s *server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := newConn(s, nc)
		go c.serve()
	}
}

// admit registers c and reports true, unless the member is at its connection limit.
func (s *server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.member.group.cfg.MaxConnections {
		s.refused++
		return false
	}
	s.conns[c] = struct{}{}
	s.peak = max(s.peak, len(s.conns))
	return true
}

func (s *server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *server) isBlocked(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocked[client] || s.blocked["*"]
}

func (s *server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pid == pid && string(c.secret) == string(secret) {
			c.cancel()
		}
	}
}

// terminate closes the connection of client with the given pid and reports whether it was found.
func (s *server) terminate(pid uint32, client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pid == pid && c.client == client {
			delete(s.conns, c)
			c.cancel()
			c.nc.Close()
			return true
		}
	}
	return false
}

// Connections returns the number of open connections and the highest number so far.
func (m *Member) Connections() (open, peak int) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return len(m.server.conns), m.server.peak
}

// Refused returns the number of connections refused because of the connection limit.
func (m *Member) Refused() int {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.server.refused
}

// Block simulates a partition between the member and the client with that application name, or all clients for "*".
//
// Until Unblock, requests on open connections are not answered and new connections are not established.
func (m *Member) Block(client string) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.blocked[client] = true
}

// Unblock ends the partition that Block started for the same name.
func (m *Member) Unblock(client string) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	delete(m.server.blocked, client)
}

// LoseAnswers makes the member run the next n statements that use a slot and close the connection instead of answering.
func (m *Member) LoseAnswers(n int) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.answersToLose = n
}

// FailSettings makes the member refuse the next n statements that set or clear settings.
func (m *Member) FailSettings(n int) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.settingsToFail = n
}

// takeFailedSetting reports whether to refuse the next change of a setting, and decrements the count of FailSettings if so.
func (s *server) takeFailedSetting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settingsToFail == 0 {
		return false
	}
	s.settingsToFail--
	return true
}

// takeLostAnswer reports whether to drop the next answer, and decrements the count of LoseAnswers if so.
func (s *server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToLose == 0 {
		return false
	}
	s.answersToLose--
	return true
}

// Silence makes every open connection permanently stop answering; new connections are not affected.
func (m *Member) Silence() {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	for c := range m.server.conns {
		c.silent.Store(true)
	}
}

// Stop simulates the end of the member's process: it closes the listener and all open connections.
func (m *Member) Stop() {
	m.group.mu.Lock()
	m.down = true
	m.group.mu.Unlock()
	s := m.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.nc.Close()
	}
}

// Restart starts a stopped member on the same address with its log and promises preserved.
func (m *Member) Restart() error {
	l, err := net.Listen("tcp", m.Address())
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.down = false
	m.group.mu.Unlock()
	m.server.serve(l)
	return nil
}
