package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Words of the first exchange of a tunnel.
const (
	hello    = "tunnel/1 "
	accepted = "ok\n"
	rejected = "no\n"
)

// maxHello is the longest first line, in bytes: the greeting and an address.
const maxHello = 128

// Bounds on tunnels.
const (
	// helloTimeout is how long a peer may take to say whom it wants to reach.
	helloTimeout = time.Second
	// DefaultDialTimeout is how long the dial of an endpoint may take, for lack of a setting: several times the way there and back.
	DefaultDialTimeout = 250 * time.Millisecond
	// defaultLimit is the most tunnels that an instance carries at once.
	defaultLimit = 200
)

// ServerConfig describes the side that reaches endpoints for others.
type ServerConfig struct {
	Address string
	// Allow reports whether an address is that of an endpoint; others are not dialed.
	Allow       func(address string) bool
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	Limit       int
}

// Server carries tunnels of peers; it is safe for concurrent use.
type Server struct {
	cfg      ServerConfig
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	wait     sync.WaitGroup
}

// NewServer listens on the configured address; it fails with the listener's error.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.Limit == 0 {
		cfg.Limit = defaultLimit
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, listener: l, open: map[net.Conn]struct{}{}}, nil
}

// Name returns the service's name.
func (s *Server) Name() string { return "tunnel" }

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run carries tunnels until ctx ends, then closes them.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			s.wait.Wait()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if !s.add(nc) {
			nc.Close()
			continue
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			defer s.remove(nc)
			s.carry(ctx, nc)
		}()
	}
}

func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.open {
		nc.Close()
	}
}

func (s *Server) add(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.cfg.Limit {
		return false
	}
	s.open[nc] = struct{}{}
	return true
}

func (s *Server) remove(nc net.Conn) {
	s.mu.Lock()
	delete(s.open, nc)
	s.mu.Unlock()
	nc.Close()
}

// carry reads whom the peer wants to reach, dials there and copies both ways until one side ends.
func (s *Server) carry(ctx context.Context, near net.Conn) {
	near.SetDeadline(time.Now().Add(helloTimeout))
	in := bufio.NewReaderSize(near, maxHello)
	line, err := in.ReadString('\n')
	if err != nil || len(line) > maxHello {
		return
	}
	address, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), hello)
	if !ok || !s.cfg.Allow(address) {
		answer(near, rejected)
		return
	}
	dialCtx, cancel := context.WithTimeout(ctx, s.cfg.DialTimeout)
	defer cancel()
	far, err := s.cfg.Dial(dialCtx, "tcp", address)
	if err != nil {
		answer(near, rejected)
		return
	}
	defer far.Close()
	if !answer(near, accepted) {
		return
	}
	near.SetDeadline(time.Time{})
	ended := make(chan struct{}, 2)
	go copyInto(far, in, ended)
	go copyInto(near, far, ended)
	<-ended
	far.Close()
	near.Close()
	<-ended
}

// answer reports whether the peer took the answer.
func answer(nc net.Conn, text string) bool {
	_, err := io.WriteString(nc, text)
	return err == nil
}

// copyInto copies until either side ends; the error says no more than that.
func copyInto(to io.Writer, from io.Reader, ended chan<- struct{}) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	ended <- struct{}{}
}
