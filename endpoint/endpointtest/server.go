package endpointtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// server accepts connections for one member and holds the member's network faults.
type server struct {
	member   *Member
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	blocked  map[string]bool
	slots    chan struct{}
	nextPID  atomic.Uint32
	peak     int
	refused  int
	lose     int
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

// Start listens on 127.0.0.1 for every member and replicates until ctx ends; the channel yields the end.
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
	ticker := time.NewTicker(replicationTick)
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

// admit counts c in and reports whether the member's limit allows it.
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

// terminate closes a client's connection and reports whether there was one.
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

// Refused returns how many connections the member refused over its limit.
func (m *Member) Refused() int {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.server.refused
}

// Block cuts the member off from the client with that application name, or from all for "*".
//
// Nothing is answered on open connections and new ones do not complete until Unblock.
func (m *Member) Block(client string) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.blocked[client] = true
}

// Unblock undoes Block for the same name.
func (m *Member) Unblock(client string) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	delete(m.server.blocked, client)
}

// LoseAnswers makes the member reset the connection in place of the next n answers to statements, after running them.
func (m *Member) LoseAnswers(n int) {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	m.server.lose = n
}

// losesAnswer takes one lost answer off the count and reports whether there was one.
func (s *server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

// Silence makes every open connection go silent for good while new ones work.
func (m *Member) Silence() {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	for c := range m.server.conns {
		c.silent.Store(true)
	}
}

// Stop ends the member's process: open connections are reset and none is accepted.
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

// Restart starts a stopped member at its old address with its log and promises intact.
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
