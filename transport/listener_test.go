package transport_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/monsoontiller/monsoontiller/transport"
)

// scriptedListener returns errors, and then connections until it is closed.
type scriptedListener struct {
	errs   []error
	closed chan struct{}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		if err != nil {
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
		}
		client, server := net.Pipe()
		client.Close()
		return server, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *scriptedListener) Close() error   { close(l.closed); return nil }
func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a service, and with it a process, that ends because no descriptor was free for a moment.
func TestServeContinuesAfterTemporaryErrors(t *testing.T) {
	for _, test := range []struct {
		name         string
		errs         []error
		wantAccepted int
		wantFailed   int
		wantErr      error
	}{
		{"no descriptors for a while", []error{syscall.EMFILE, syscall.EMFILE, syscall.ENFILE, nil, syscall.EMFILE, nil}, 2, 4, nil},
		{"connections that end in the queue", []error{syscall.ECONNABORTED, nil, syscall.EPROTO, nil}, 2, 2, nil},
		{"no memory", []error{syscall.ENOBUFS, syscall.ENOMEM, nil}, 1, 2, nil},
		{"not a listener", []error{nil, syscall.EINVAL}, 1, 0, syscall.EINVAL},
		{"not a descriptor", []error{syscall.EBADF}, 0, 0, syscall.EBADF},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				accepted, failed := 0, 0
				l := transport.NewListener(transport.ListenerConfig{
					Listener: &scriptedListener{errs: test.errs, closed: make(chan struct{})},
					Failed:   func(error) { failed++ },
				})
				ended := make(chan error, 1)
				go func() {
					ended <- transport.Serve(l, func(nc net.Conn) {
						accepted++
						nc.Close()
					})
				}()
				time.Sleep(10 * time.Second)
				if err := l.Close(); err != nil {
					t.Error(err)
				}
				if err := <-ended; !errors.Is(err, test.wantErr) || (err == nil) != (test.wantErr == nil) {
					t.Errorf("Serve returned %v, want %v", err, test.wantErr)
				}
				if accepted != test.wantAccepted || failed != test.wantFailed {
					t.Errorf("%d connections and %d failures, want %d and %d", accepted, failed, test.wantAccepted, test.wantFailed)
				}
			})
		})
	}
}

func TestCloseEndsWaitAfterTemporaryError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var errs []error
		for range 1000 {
			errs = append(errs, syscall.EMFILE)
		}
		failed := 0
		l := transport.NewListener(transport.ListenerConfig{Listener: &scriptedListener{errs: errs, closed: make(chan struct{})}, Failed: func(error) { failed++ }})
		ended := make(chan error, 1)
		go func() { ended <- transport.Serve(l, func(net.Conn) {}) }()
		time.Sleep(10 * time.Second)
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Errorf("Serve returned %v", err)
		}
		// At most one attempt each 160 ms after the first few.
		if failed > 80 {
			t.Errorf("%d attempts in 10 s", failed)
		}
	})
}
