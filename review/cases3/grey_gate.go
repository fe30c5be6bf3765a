package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// greyGate is a member that fails part of its requests with FAILED, while STATUS and its liveness check are good. A request that
// fails has no effect. Requests are answered one after the other.
type greyGate struct {
	listener net.Listener
	target   string
	record   *record
	mu       sync.Mutex
	share    float64
	random   *rand.Rand
}

func newGreyGate(target string, r *record) (*greyGate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &greyGate{listener: l, target: target, record: r, random: rand.New(rand.NewPCG(1, 2))}, nil
}

func (g *greyGate) address() string { return g.listener.Addr().String() }

// setShare sets the share of the requests that fail.
func (g *greyGate) setShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share = share
}

func (g *greyGate) fails(text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return text != "STATUS" && g.random.Float64() < g.share
}

func (g *greyGate) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { g.listener.Close() })
	defer stop()
	for {
		nc, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(nc)
	}
}

// serve passes the requests of one connection on, but for those that fail outside a transaction.
func (g *greyGate) serve(nc net.Conn) {
	defer nc.Close()
	out, err := net.DialTimeout("tcp", g.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	in, answers := bufio.NewReader(nc), bufio.NewReader(out)
	ready := ""
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		_, request, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		id, text, _ := strings.Cut(request, " ")
		if strings.HasPrefix(line, "QUERY ") && strings.HasPrefix(ready, "READY I ") && g.fails(text) {
			g.record.printf("the grey member fails %s %s", id, text)
			if _, err := fmt.Fprintf(nc, "ERROR FAILED try again\r\n%s", ready); err != nil {
				return
			}
			continue
		}
		if _, err := io.WriteString(out, line); err != nil {
			return
		}
		for {
			answer, err := answers.ReadString('\n')
			if err != nil {
				return
			}
			if _, err := io.WriteString(nc, answer); err != nil {
				return
			}
			if strings.HasPrefix(answer, "READY ") {
				ready = answer
				break
			}
		}
	}
}
