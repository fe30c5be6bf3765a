package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/transport"
)

// Texts of the request for a tunnel and its replies.
const (
	requestPrefix = "tunnel/1 "
	replyAccepted = "ok\n"
	replyRejected = "no\n"
)

// maxRequestLine is the maximum length of a request in bytes: the prefix, an address and the newline.
const maxRequestLine = 128

// Limits of tunnels.
const (
	// requestTimeout is the maximum time from accepting a connection to the end of its request.
	requestTimeout = time.Second
	// DefaultDialTimeout is the default time limit for dialing an endpoint: several round trips.
	DefaultDialTimeout = 250 * time.Millisecond
	// defaultLimit is the default maximum number of tunnels that an instance carries at once.
	defaultLimit = 200
)

// ServerConfig describes a server that dials endpoints for its peers.
type ServerConfig struct {
	Address string
	// Allow reports whether an address is that of an endpoint; others are not dialed.
	Allow       func(address string) bool
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	Limit       int
	// Listen listens on Address; the default is transport.Listen.
	Listen func(address string) (net.Listener, error)
}

// Server carries tunnels for its peers; it is safe for concurrent use.
type Server struct {
	cfg         ServerConfig
	listener    net.Listener
	mu          sync.Mutex
	connections map[net.Conn]struct{}
	serving     sync.WaitGroup
}

// NewServer listens on the configured address; it fails with the listener's error.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.Limit == 0 {
		cfg.Limit = defaultLimit
	}
	if cfg.Listen == nil {
		cfg.Listen = transport.Listen
	}
	l, err := cfg.Listen(cfg.Address)
	if err != nil {
		return nil, err
	}
	return &Server{cfg: cfg, listener: l, connections: map[net.Conn]struct{}{}}, nil
}

// Name returns the service's name.
func (s *Server) Name() string { return "tunnel" }

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run carries tunnels until ctx ends, then closes them.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	defer s.serving.Wait()
	return transport.Serve(s.listener, func(nc net.Conn) {
		if !s.add(nc) {
			nc.Close()
			return
		}
		s.serving.Add(1)
		go func() {
			defer s.serving.Done()
			defer s.remove(nc)
			s.relay(ctx, nc)
		}()
	})
}

func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.connections {
		nc.Close()
	}
}

// add registers a connection unless the limit is reached.
func (s *Server) add(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) >= s.cfg.Limit {
		return false
	}
	s.connections[nc] = struct{}{}
	return true
}

func (s *Server) remove(nc net.Conn) {
	s.mu.Lock()
	delete(s.connections, nc)
	s.mu.Unlock()
	nc.Close()
}

// relay reads the requested address, dials it and copies both ways until either side ends.
func (s *Server) relay(ctx context.Context, peer net.Conn) {
	peer.SetDeadline(time.Now().Add(requestTimeout))
	in := bufio.NewReaderSize(peer, maxRequestLine)
	line, err := in.ReadString('\n')
	if err != nil || len(line) > maxRequestLine {
		return
	}
	address, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), requestPrefix)
	if !ok || !s.cfg.Allow(address) {
		sendReply(peer, replyRejected)
		return
	}
	dialCtx, cancel := context.WithTimeout(ctx, s.cfg.DialTimeout)
	defer cancel()
	target, err := s.cfg.Dial(dialCtx, "tcp", address)
	if err != nil {
		sendReply(peer, replyRejected)
		return
	}
	defer target.Close()
	if !sendReply(peer, replyAccepted) {
		return
	}
	peer.SetDeadline(time.Time{})
	ended := make(chan struct{}, 2)
	go copyBytes(target, in, ended)
	go copyBytes(peer, target, ended)
	<-ended
	target.Close()
	peer.Close()
	<-ended
}

// sendReply writes a reply and reports whether that succeeded.
func sendReply(nc net.Conn, text string) bool {
	_, err := io.WriteString(nc, text)
	return err == nil
}

// copyBytes copies until either side ends; it discards the error, which only reports that the side has ended.
func copyBytes(to io.Writer, from io.Reader, ended chan<- struct{}) {
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
