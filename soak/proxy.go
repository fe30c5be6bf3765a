package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to the connections that pass through it.
type Mode int

// The modes of a proxy.
const (
	// ModePass hands everything on.
	ModePass Mode = iota
	// ModeDelay hands everything on later.
	ModeDelay
	// ModeSilent takes connections and bytes and hands nothing on.
	ModeSilent
	// ModeDeaf hands requests on but no answers.
	ModeDeaf
	// ModeRefuse resets connections, open and new ones.
	ModeRefuse
)

// String returns the mode in snake case.
func (m Mode) String() string { return [...]string{"pass", "delay", "silent", "deaf", "refuse"}[m] }

// proxyDelay is how much later ModeDelay hands bytes on: several times the usual time of a statement.
const proxyDelay = 80 * time.Millisecond

// pollMode is how often bytes that are held back look whether they may pass.
const pollMode = 5 * time.Millisecond

// Proxy passes connections on to one address, as well as its mode lets it; it is safe for concurrent use.
type Proxy struct {
	name     string
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	conns    map[net.Conn]struct{}
	wait     sync.WaitGroup
}

// NewProxy listens on a free port of the loopback; it fails with the listener's error.
func NewProxy(name, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{name: name, listener: l, target: target, conns: map[net.Conn]struct{}{}}, nil
}

// Name returns what the proxy stands before.
func (p *Proxy) Name() string { return p.name }

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens to connections from now on.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != ModeRefuse {
		return
	}
	for nc := range p.conns {
		reset(nc)
	}
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection so that its other end gets an error rather than an end of file.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// A failure to set the option only makes the close a polite one.
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

// Run passes connections on until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		p.listener.Close()
		p.SetMode(ModeRefuse)
	})
	defer stop()
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			p.wait.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		p.wait.Add(1)
		go func() {
			defer p.wait.Done()
			p.pass(ctx, nc)
		}()
	}
}

// pass joins a connection with one to the target until either ends.
func (p *Proxy) pass(ctx context.Context, in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || p.current() == ModeRefuse {
		reset(in)
		if err == nil {
			out.Close()
		}
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	ends := make(chan struct{}, 2)
	go func() {
		p.copy(ctx, out, in, ModeSilent)
		ends <- struct{}{}
	}()
	go func() {
		p.copy(ctx, in, out, ModeSilent, ModeDeaf)
		ends <- struct{}{}
	}()
	<-ends
	in.Close()
	out.Close()
	<-ends
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy hands bytes on, and holds them back in the modes named.
func (p *Proxy) copy(ctx context.Context, to io.Writer, from io.Reader, held ...Mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.holds(held) && ctx.Err() == nil {
			time.Sleep(pollMode)
		}
		if p.current() == ModeDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) holds(held []Mode) bool {
	now := p.current()
	for _, m := range held {
		if m == now {
			return true
		}
	}
	return false
}
