package main

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// storeDelay is added in each direction, so that the store takes 4 ms for an answer as the sheet of bairdlennox-pool says.
const storeDelay = 2 * time.Millisecond

// delay returns the address of a proxy that forwards connections to target after storeDelay.
func delay(target string) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				out, err := net.Dial("tcp", target)
				if err != nil {
					return
				}
				defer out.Close()
				ended := make(chan struct{}, 2)
				go copyDelayed(out, in, ended)
				go copyDelayed(in, out, ended)
				<-ended
			}()
		}
	}()
	return l.Addr().String(), nil
}

func copyDelayed(to io.Writer, from io.Reader, ended chan<- struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(storeDelay)
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

// promoter is the platform's promotion API.
type promoter struct {
	group    *group
	record   *record
	listener net.Listener
	server   *http.Server
	// outage is how long the API is down from the first request on, or 0.
	outage time.Duration
	first  sync.Once
	// silent is set while the API is down: it accepts connections and requests, runs none and answers none.
	silent atomic.Bool
}

func newPromoter(g *group, r *record) (*promoter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &promoter{group: g, record: r, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", p.promote)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		if err := p.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.write("platform", "the promotion API ended: %v", err)
		}
	}()
	return p, nil
}

func (p *promoter) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	err := json.NewDecoder(r.Body).Decode(&body)
	holder, token := r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token")
	if err != nil || holder == "" || token == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if p.outage > 0 {
		p.first.Do(p.goDown)
	}
	if p.silent.Load() {
		p.record.write("platform", "POST /promote %s by %s, token %s: not run and not answered", body.Id, holder, token)
		<-r.Context().Done()
		return
	}
	ok := p.group.promote(body.Id)
	p.record.write("platform", "POST /promote %s by %s, token %s: accepted %v", body.Id, holder, token, ok)
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

// goDown begins the outage.
func (p *promoter) goDown() {
	p.silent.Store(true)
	p.record.write("trouble", "the promotion API is down for %v", p.outage)
	time.AfterFunc(p.outage, func() {
		p.silent.Store(false)
		p.record.write("trouble", "the promotion API is back")
	})
}
