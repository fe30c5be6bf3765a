package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// gate is the network in front of one member: it forwards connections, and cuts those of some machines off.
//
// A machine is known by the word that it gives as the connecting party in START.
type gate struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// cut holds the machines that are cut off from the member; their bytes are held back, or their connections are reset.
	cut   map[string]cutMode
	conns map[*gatedConn]struct{}
}

// cutMode is how a machine is cut off from a member.
type cutMode int

const (
	// cutNone forwards all bytes.
	cutNone cutMode = iota
	// cutSilent holds back all bytes.
	cutSilent
	// cutRefuse resets open and new connections.
	cutRefuse
)

// gatedConn is one connection through a gate.
type gatedConn struct {
	machine string
	in, out net.Conn
	// held reports that a cut held bytes of the connection back.
	held bool
}

func newGate(target string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &gate{listener: l, target: target, cut: map[string]cutMode{}, conns: map[*gatedConn]struct{}{}}, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

// run forwards connections until ctx ends.
func (g *gate) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { g.listener.Close() })
	defer stop()
	for {
		nc, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.forward(ctx, nc)
	}
}

// setCut cuts machines off or ends that. Connections of which bytes were held back end with the cut: their senders have given
// them up.
func (g *gate) setCut(mode cutMode, machines ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range machines {
		g.cut[name] = mode
		for c := range g.conns {
			if c.machine == name && (mode == cutNone && c.held || mode == cutRefuse) {
				reset(c.in)
				c.out.Close()
			}
		}
	}
}

// reset closes a connection with a reset.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// Without the option, the connection closes with FIN.
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

// refuses reports whether the connections of a machine are reset.
func (g *gate) refuses(machine string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[machine] == cutRefuse
}

func (g *gate) isCut(c *gatedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut[c.machine] == cutSilent {
		c.held = true
	}
	return g.cut[c.machine] == cutSilent
}

func (g *gate) forward(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 {
		return
	}
	c := &gatedConn{machine: fields[2], in: nc}
	if g.refuses(c.machine) {
		reset(nc)
		return
	}
	for g.isCut(c) {
		// As behind a partition, nothing answers.
		if ctx.Err() != nil || awaitClose(nc) {
			return
		}
	}
	if c.held {
		return
	}
	out, err := net.DialTimeout("tcp", g.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	c.out = out
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
	}()
	if _, err := io.WriteString(out, line); err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go func() { g.copy(ctx, c, out, in); ended <- struct{}{} }()
	go func() { g.copy(ctx, c, nc, out); ended <- struct{}{} }()
	<-ended
	nc.Close()
	out.Close()
	<-ended
}

// awaitClose waits a little for the other side to close, and reports whether it did.
func awaitClose(nc net.Conn) bool {
	if nc.SetReadDeadline(time.Now().Add(20*time.Millisecond)) != nil {
		return true
	}
	_, err := nc.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

// copy forwards bytes; what arrives while the machine is cut off is dropped with its connection.
func (g *gate) copy(ctx context.Context, c *gatedConn, to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for g.isCut(c) {
			if ctx.Err() != nil || err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			g.mu.Lock()
			held := c.held
			g.mu.Unlock()
			if held {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
