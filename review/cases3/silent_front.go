package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// silentFront is the way of one machine to the store, which may give the machine no answers for a while. A connection on which an
// answer was lost delivers nothing further; later ones are served.
type silentFront struct {
	listener net.Listener
	store    string
	record   *record
	mu       sync.Mutex
	silent   bool
}

func newSilentFront(ctx context.Context, store string, r *record) (*silentFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &silentFront{listener: l, store: "http://" + store, record: r}
	server := &http.Server{Handler: f, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		defer stop()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.printf("the way to the store has ended: %v", err)
		}
	}()
	return f, nil
}

func (f *silentFront) address() string { return f.listener.Addr().String() }

func (f *silentFront) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *silentFront) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// ServeHTTP passes a call on to the store, and its answer back unless the machine gets none.
func (f *silentFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.isSilent() {
		f.lose(r)
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, f.store+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.isSilent() {
		f.lose(r)
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	if _, err := w.Write(body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// lose gives the call no answer.
func (f *silentFront) lose(r *http.Request) {
	f.record.printf("the answer to %s %s is lost", r.Method, r.URL.RequestURI())
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
