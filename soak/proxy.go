package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Mode selects how a proxy treats its connections.
type Mode int

// The modes of a proxy.
const (
	// ModePass forwards all bytes.
	ModePass Mode = iota
	// ModeDelay forwards all bytes after a delay.
	ModeDelay
	// ModeSilent accepts connections and bytes but forwards nothing.
	ModeSilent
	// ModeDeaf forwards requests but no answers.
	ModeDeaf
	// ModeRefuse resets open and new connections.
	ModeRefuse
)

// String returns the mode in snake case.
func (m Mode) String() string { return [...]string{"pass", "delay", "silent", "deaf", "refuse"}[m] }

// proxyDelay is the delay of ModeDelay: several times the mean time of a statement.
const proxyDelay = 80 * time.Millisecond

// severedTime is how long the other side of a severed connection stays open after one side has closed.
const severedTime = 5 * time.Second

// modePollInterval is the interval at which a connection that holds bytes back checks the mode.
const modePollInterval = 5 * time.Millisecond

// Proxy forwards TCP connections to one address as its mode permits; it is safe for concurrent use.
type Proxy struct {
	name     string
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     Mode
	conns    map[net.Conn]struct{}
	// severed holds the connections that deliver nothing further.
	severed map[net.Conn]bool
	// lingering holds the connections of callers whose end the target learns only at the given time.
	lingering map[net.Conn]time.Time
	// callers holds the names that callers gave, by connection, and cut those that are cut off, in cutMode.
	callers map[net.Conn]string
	cut     map[string]bool
	cutMode Mode
	wait    sync.WaitGroup
}

// NewProxy listens on a free loopback port; it returns the listener's error.
func NewProxy(name, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{name: name, listener: l, target: target, conns: map[net.Conn]struct{}{}, severed: map[net.Conn]bool{}, lingering: map[net.Conn]time.Time{}, callers: map[net.Conn]string{}}, nil
}

// Name returns the name given to NewProxy, which identifies the target.
func (p *Proxy) Name() string { return p.name }

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode for open and future connections.
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

// CutCallers cuts the callers of the given names off, by ModeSilent or ModeRefuse, and no others. The connections of those that
// were cut off before deliver nothing further: their ends may have given up what was held back.
func (p *Proxy) CutCallers(m Mode, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc, name := range p.callers {
		p.severed[nc] = p.severed[nc] || p.cut[name]
	}
	p.cut, p.cutMode = map[string]bool{}, m
	for _, name := range names {
		p.cut[name] = true
	}
	for nc, name := range p.callers {
		if p.cut[name] && m == ModeRefuse {
			reset(nc)
		}
	}
}

// recordCaller records the name in the first message of a caller, "START service name", for both sides of its connection.
func (p *Proxy) recordCaller(first []byte, in, out net.Conn) {
	fields := strings.Fields(string(first))
	if len(fields) < 3 || fields[0] != "START" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callers[in], p.callers[out] = fields[2], fields[2]
	if p.cut[fields[2]] && p.cutMode == ModeRefuse {
		reset(in)
	}
}

// isCut reports whether the caller of a connection is cut off.
func (p *Proxy) isCut(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[p.callers[nc]]
}

// Sever makes a share of the open connections deliver nothing further, in either direction, without closing them; new
// connections work. Which ones are chosen is not part of the seed, as neither is which ones are open.
func (p *Proxy) Sever(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc := range p.conns {
		if rand.Float64() < share {
			p.severed[nc] = true
		}
	}
}

func (p *Proxy) isSevered(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.severed[nc]
}

// Linger keeps the target's side of the connections that are open now for d, even if their other side closes before, as
// after a power loss of the callers' machines.
func (p *Proxy) Linger(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := time.Now().Add(d)
	for nc := range p.conns {
		p.lingering[nc] = until
	}
}

// awaitLinger waits until the target may learn of the end of a connection.
func (p *Proxy) awaitLinger(ctx context.Context, nc net.Conn) {
	p.mu.Lock()
	until := p.lingering[nc]
	delete(p.lingering, nc)
	p.mu.Unlock()
	pause(ctx, time.Until(until))
}

func (p *Proxy) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection with RST, so that the other end receives an error rather than EOF.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// If the option cannot be set, the connection closes with FIN.
		_ = tcp.SetLinger(0)
	}
	nc.Close()
}

// Run accepts and forwards connections until ctx ends.
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
			p.forward(ctx, nc)
		}()
	}
}

// forward connects in to the target and copies bytes both ways until either side closes.
func (p *Proxy) forward(ctx context.Context, in net.Conn) {
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
	done := make(chan struct{}, 2)
	go func() {
		p.copy(ctx, out, in, ModeSilent)
		p.awaitLinger(ctx, in)
		p.awaitSevered(ctx, in)
		done <- struct{}{}
	}()
	go func() {
		p.copy(ctx, in, out, ModeSilent, ModeDeaf)
		p.awaitSevered(ctx, out)
		done <- struct{}{}
	}()
	<-done
	in.Close()
	out.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	delete(p.lingering, out)
	delete(p.severed, in)
	delete(p.severed, out)
	delete(p.callers, in)
	delete(p.callers, out)
	p.mu.Unlock()
}

// awaitSevered waits, if a connection is severed, until its other side has given it up.
func (p *Proxy) awaitSevered(ctx context.Context, nc net.Conn) {
	if p.isSevered(nc) {
		pause(ctx, severedTime)
	}
}

// copy forwards bytes, and holds them back while the mode is one of the blocking modes.
func (p *Proxy) copy(ctx context.Context, to, from net.Conn, blocking ...Mode) {
	buffer := make([]byte, 16<<10)
	for first := true; ; first = false {
		n, err := from.Read(buffer)
		if first {
			p.recordCaller(buffer[:n], from, to)
		}
		for (p.holdsBack(blocking) || p.isCut(from)) && ctx.Err() == nil {
			time.Sleep(modePollInterval)
		}
		if p.current() == ModeDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !p.isSevered(from) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) holdsBack(blocking []Mode) bool {
	current := p.current()
	for _, m := range blocking {
		if m == current {
			return true
		}
	}
	return false
}
