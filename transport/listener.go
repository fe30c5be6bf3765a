package transport

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// ListenerConfig describes a listener.
type ListenerConfig struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Failed, if set, is called with each temporary error of Accept.
	Failed func(err error)
}

// Listener is a net.Listener whose Accept waits and tries again after a temporary error, such as a lack of descriptors.
type Listener struct {
	net.Listener
	failed    func(err error)
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a listener that accepts what cfg.Listener accepts.
func NewListener(cfg ListenerConfig) *Listener {
	return &Listener{Listener: cfg.Listener, failed: cfg.Failed, closed: make(chan struct{})}
}

// Listen listens on a TCP address; it fails with the error of net.Listen.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewListener(ListenerConfig{Listener: l}), nil
}

// Waits after temporary errors of Accept; each is twice as long as the one before.
const (
	minAcceptWait = 5 * time.Millisecond
	maxAcceptWait = 160 * time.Millisecond
)

// Accept waits for the next connection; it fails with net.ErrClosed once the listener is closed, or with a permanent error.
func (l *Listener) Accept() (net.Conn, error) {
	for wait := minAcceptWait; ; wait = min(2*wait, maxAcceptWait) {
		nc, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return nc, err
		}
		if l.failed != nil {
			l.failed(err)
		}
		select {
		case <-time.After(wait):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends Accept.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// temporaryErrors are the errors of accept(2) that concern one connection, or that pass.
var temporaryErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN,
	syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

func isTemporary(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(temporaryErrors, errno)
}

// Serve calls handle, which must not block, with each connection that l accepts; it returns nil once l is closed, and fails with
// any other error of Accept.
func Serve(l net.Listener, handle func(nc net.Conn)) error {
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return err
		}
		handle(nc)
	}
}
