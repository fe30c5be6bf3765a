package transporttest

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the connection to the target, which is on the same machine.
const dialTimeout = time.Second

// Proxy forwards TCP connections to one address; it is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// open are the connections that forward bytes, each with the function that silences it.
	open    map[net.Conn]context.CancelFunc
	serving sync.WaitGroup
}

// NewProxy listens on a free loopback port; it fails with the listener's error.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{listener: l, target: target, open: map[net.Conn]context.CancelFunc{}}, nil
}

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Silence makes the open connections deliver nothing further, without closing them; new connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for nc, silence := range p.open {
		silence()
		delete(p.open, nc)
	}
}

// Run accepts and forwards connections until ctx ends, and then closes them.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.listener.Close() })
	defer stop()
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			p.serving.Wait()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		p.serving.Add(1)
		go func() {
			defer p.serving.Done()
			p.forward(ctx, nc)
		}()
	}
}

// forward copies bytes both ways until either side closes, or ctx ends; a silenced connection stays open until then.
func (p *Proxy) forward(ctx context.Context, in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	silent, silence := context.WithCancel(context.Background())
	defer silence()
	p.mu.Lock()
	p.open[in] = silence
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	go copyUntil(silent, out, in, ended)
	go copyUntil(silent, in, out, ended)
	select {
	case <-ended:
	case <-ctx.Done():
	}
	if silent.Err() != nil {
		<-ctx.Done()
	}
	p.mu.Lock()
	delete(p.open, in)
	p.mu.Unlock()
}

// copyUntil copies until either side ends or silent does; it discards the error, which only reports that a side has ended.
func copyUntil(silent context.Context, to io.Writer, from io.Reader, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if silent.Err() != nil {
			return
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
