package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
	"github.com/monsoontiller/monsoontiller/session"
)

// Config describes the listener for callers.
type Config struct {
	Address        string
	InstanceNumber uint16
	Directory      Directory
	Recorder       Recorder
	Policy         route.Policy
	Tokens         *session.Codec
	TLS            *tls.Config
	RequireTLS     bool
	Logger         log.Logger
	MaxConnections int
	StartupTimeout time.Duration
	WriteTimeout   time.Duration
	// ForwardCancel passes on a cancel request for a session of another instance.
	ForwardCancel func(ctx context.Context, pid uint32, secret []byte)
}

// Server accepts callers; it is safe for concurrent use.
type Server struct {
	cfg      Config
	listener net.Listener
	counter  atomic.Uint32
	drain    atomic.Bool
	mu       sync.Mutex
	sessions map[sessionKey]*callerSession
	open     atomic.Int64
	wait     sync.WaitGroup
}

// Defaults of the listener.
const (
	defaultMaxConnections = 10_000
	defaultStartupTimeout = 10 * time.Second
	defaultWriteTimeout   = 30 * time.Second
)

// NewServer listens on the configured address; it fails with the listener's error.
func NewServer(cfg Config) (*Server, error) {
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	if cfg.StartupTimeout == 0 {
		cfg.StartupTimeout = defaultStartupTimeout
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.Policy == nil {
		cfg.Policy = route.Floor{}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, listener: l, sessions: map[sessionKey]*callerSession{}}, nil
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Callers returns the number of open caller connections.
func (s *Server) Callers() int { return int(s.open.Load()) }

func (s *Server) draining() bool { return s.drain.Load() }

func (s *Server) log(message string, keyvals ...any) {
	_ = s.cfg.Logger.Log(append([]any{"msg", message}, keyvals...)...)
}

// Run accepts callers until ctx ends, then drains for at most drainTimeout.
func (s *Server) Run(ctx context.Context, drainTimeout func() time.Duration) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	accepting := make(chan error, 1)
	go func() { accepting <- s.accept(work) }()
	var err error
	select {
	case err = <-accepting:
	case <-ctx.Done():
	}
	s.Drain()
	s.awaitSessions(drainTimeout())
	cancel()
	s.closeSessions()
	return err
}

// Drain stops accepting callers and ends each session once nothing of it is in flight.
func (s *Server) Drain() {
	if s.drain.Swap(true) {
		return
	}
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.sessions {
		_ = one.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) awaitSessions(timeout time.Duration) {
	ended := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(timeout):
		s.log("drain timeout passed with sessions open", "callers", s.Callers())
	}
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.sessions {
		one.nc.Close()
	}
}

func (s *Server) accept(ctx context.Context) error {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if s.draining() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			s.serve(ctx, nc)
		}()
	}
}

// serve runs one connection from its startup to its end.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	defer func() { nc.Close() }()
	defer s.contain()
	open := s.open.Add(1)
	defer s.open.Add(-1)
	h := &handshake{server: s, nc: nc, full: int(open) > s.cfg.MaxConnections}
	one, err := h.run(ctx)
	nc = h.nc
	if err != nil || one == nil {
		return
	}
	defer one.binding.Account().Leave()
	if !s.register(one) {
		one.refuse(engine.ErrDraining())
		return
	}
	defer s.unregister(one)
	one.serve(ctx)
}

// contain keeps a defect that one session met from ending the others.
func (s *Server) contain() {
	if defect := recover(); defect != nil {
		s.log("session ended by a defect", "level", "error", "defect", fmt.Sprint(defect), "stack", string(debug.Stack()))
	}
}

func (s *Server) register(one *callerSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining() {
		return false
	}
	s.sessions[one.key] = one
	return true
}

func (s *Server) unregister(one *callerSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, one.key)
}

// Cancel cancels the statement of the session with that key and reports whether this instance has it.
func (s *Server) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	key, ok := newSessionKey(pid, secret)
	if !ok {
		return false
	}
	s.mu.Lock()
	one := s.sessions[key]
	s.mu.Unlock()
	if one == nil {
		return false
	}
	one.cancel(ctx)
	return true
}
