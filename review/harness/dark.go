package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// darkProxy forwards connections to a member until it goes dark, as a machine without power: new connections get no answer, and
// open ones deliver nothing further.
type darkProxy struct {
	// socket is the socket of the listener.
	socket   *os.File
	listener net.Listener
	target   string
	dark     atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
	// fillers fill the queue of new connections while the proxy is dark, so that the kernel answers no others.
	fillers []net.Conn
}

// queueLength is the length of the queue of new connections before the proxy is dark.
const queueLength = 512

// newDarkProxy listens on a free port of the loopback.
func newDarkProxy(target string) (*darkProxy, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "listener")
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, queueLength); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return &darkProxy{socket: f, listener: l, target: target}, nil
}

func (p *darkProxy) address() string { return p.listener.Addr().String() }

// run forwards until the listener is closed; while the proxy is dark it accepts nothing.
func (p *darkProxy) run() error {
	for {
		for p.dark.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		nc, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		go p.forward(nc)
	}
}

func (p *darkProxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		in.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, in, out)
	p.mu.Unlock()
	go p.copy(out, in)
	p.copy(in, out)
}

func (p *darkProxy) copy(to io.WriteCloser, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.dark.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// goDark makes the proxy answer nothing.
func (p *darkProxy) goDark() error {
	p.dark.Store(true)
	if err := syscall.Listen(int(p.socket.Fd()), 0); err != nil {
		return err
	}
	// The accept that waits takes the first connection.
	for range 8 {
		nc, err := net.DialTimeout("tcp", p.address(), 200*time.Millisecond)
		if err != nil {
			return nil
		}
		p.fillers = append(p.fillers, nc)
	}
	return fmt.Errorf("%s still accepts connections", p.address())
}

func (p *darkProxy) close() {
	p.listener.Close()
	p.socket.Close()
	p.dark.Store(false)
	for _, nc := range p.fillers {
		nc.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, nc := range p.conns {
		nc.Close()
	}
}
