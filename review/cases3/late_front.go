package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// lateFront is the way of one machine to the store, which may lose the answers of writes and perform them later.
type lateFront struct {
	listener net.Listener
	store    string
	proxy    *httputil.ReverseProxy
	record   *record
	mu       sync.Mutex
	// losing is the number of the next writes whose answer is lost, and later when these are performed after they were sent.
	losing int
	later  time.Duration
}

func newLateFront(ctx context.Context, store string, r *record) (*lateFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &lateFront{listener: l, store: "http://" + store, record: r, proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})}
	f.proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
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

func (f *lateFront) address() string { return f.listener.Addr().String() }

// loseNext makes the store lose the answers of the next n writes, which it performs later.
func (f *lateFront) loseNext(n int, later time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losing, f.later = n, later
}

// takeLoss reports whether the answer of a write is lost.
func (f *lateFront) takeLoss() (later time.Duration, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.losing == 0 {
		return 0, false
	}
	f.losing--
	return f.later, true
}

// ServeHTTP passes a call on to the store.
func (f *lateFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/rows-tx" {
		f.proxy.ServeHTTP(w, r)
		return
	}
	later, lost := f.takeLoss()
	if !lost {
		f.record.printf("a write of the machine is performed")
		f.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.record.printf("the store does not answer the write %.200s, and performs it %v later", body, later)
	time.AfterFunc(later, func() {
		response, err := http.Post(f.store+r.URL.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			f.record.printf("the late write failed: %v", err)
			return
		}
		response.Body.Close()
		f.record.printf("the store has performed a late write: %s", response.Status)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
