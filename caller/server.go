package caller

import (
	"context"
	"crypto/tls"
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
	"github.com/monsoontiller/monsoontiller/transport"
)

// Config describes the listener for callers.
type Config struct {
	Address string
	// SeatNumber is the number of the instance's seat; it is part of the process IDs of the instance's sessions.
	SeatNumber     uint16
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
	// ForwardCancel forwards a cancel request for a session of another instance; if it is nil, such requests are ignored.
	ForwardCancel func(ctx context.Context, pid uint32, secret []byte)
}

// Server accepts callers; it is safe for concurrent use.
type Server struct {
	cfg            Config
	listener       net.Listener
	sessionCounter atomic.Uint32
	drain          atomic.Bool
	mu             sync.Mutex
	sessions       map[sessionKey]*callerSession
	connections    atomic.Int64
	serving        sync.WaitGroup
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
		cfg.Policy = route.EarliestReplica{}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	l, err := transport.Listen(cfg.Address)
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, listener: l, sessions: map[sessionKey]*callerSession{}}, nil
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Callers returns the number of open caller connections.
func (s *Server) Callers() int { return int(s.connections.Load()) }

func (s *Server) draining() bool { return s.drain.Load() }

func (s *Server) log(message string, keyvals ...any) {
	_ = s.cfg.Logger.Log(append([]any{"msg", message}, keyvals...)...)
}

// Run accepts callers until ctx ends, then drains for at most drainTimeout.
func (s *Server) Run(ctx context.Context, drainTimeout func() time.Duration) error {
	sessionCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	accepting := make(chan error, 1)
	go func() { accepting <- s.accept(sessionCtx) }()
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

// Drain stops accepting callers and ends each session once it has no request or transaction in progress.
func (s *Server) Drain() {
	if s.drain.Swap(true) {
		return
	}
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cs := range s.sessions {
		_ = cs.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) awaitSessions(timeout time.Duration) {
	ended := make(chan struct{})
	go func() {
		s.serving.Wait()
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
	for _, cs := range s.sessions {
		cs.nc.Close()
	}
}

func (s *Server) accept(ctx context.Context) error {
	return transport.Serve(s.listener, func(nc net.Conn) {
		s.serving.Add(1)
		go func() {
			defer s.serving.Done()
			s.serve(ctx, nc)
		}()
	})
}

// serve runs one connection from its startup to its end.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	defer func() { nc.Close() }()
	defer s.recoverPanic()
	open := s.connections.Add(1)
	defer s.connections.Add(-1)
	h := &handshake{server: s, nc: nc, overLimit: int(open) > s.cfg.MaxConnections}
	cs, err := h.run(ctx)
	nc = h.nc
	if err != nil || cs == nil {
		return
	}
	defer cs.binding.CustomerState().RemoveCaller()
	if !s.register(cs) {
		cs.refuse(engine.ErrDraining())
		return
	}
	defer s.unregister(cs)
	cs.serve(ctx)
}

// recoverPanic logs a panic in one session, so that the other sessions continue.
func (s *Server) recoverPanic() {
	if defect := recover(); defect != nil {
		s.log("session ended by a defect", "level", "error", "defect", fmt.Sprint(defect), "stack", string(debug.Stack()))
	}
}

func (s *Server) register(cs *callerSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining() {
		return false
	}
	s.sessions[cs.key] = cs
	return true
}

func (s *Server) unregister(cs *callerSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, cs.key)
}

// Cancel cancels the running statement of the session with that key and reports whether this instance has the session.
func (s *Server) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	key, ok := newSessionKey(pid, secret)
	if !ok {
		return false
	}
	s.mu.Lock()
	cs := s.sessions[key]
	s.mu.Unlock()
	if cs == nil {
		return false
	}
	cs.cancel(ctx)
	return true
}
