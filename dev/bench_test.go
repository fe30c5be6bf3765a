package dev_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/monsoontiller/monsoontiller/dev"
)

// rawConn is a minimal client for simple queries, which adds little to the measured latency.
type rawConn struct {
	nc       net.Conn
	frontend *pgproto3.Frontend
}

func dialRaw(b testing.TB, address, user, database string) *rawConn {
	b.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	c := &rawConn{nc: nc, frontend: pgproto3.NewFrontend(nc, nc)}
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": database},
	})
	if err := c.frontend.Flush(); err != nil {
		b.Fatal(err)
	}
	if err := c.ready(); err != nil {
		b.Fatal(err)
	}
	return c
}

func (c *rawConn) ready() error {
	var failure error
	for {
		msg, err := c.frontend.Receive()
		if err != nil {
			return errors.Join(failure, err)
		}
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			failure = fmt.Errorf("%s %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

func (c *rawConn) query(sql string) error {
	c.frontend.Send(&pgproto3.Query{String: sql})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	return c.ready()
}

const (
	readSQL  = "/*class='read'*/ SELECT value FROM kv WHERE key = 'k'"
	writeSQL = "UPDATE kv SET value = 'v' WHERE key = 'k'"
)

func benchFleet(b *testing.B, seats int) *dev.Fleet {
	b.Helper()
	f, err := dev.Start(context.Background(), dev.Config{Instances: 1, Seats: seats})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Stop() })
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !f.Instances()[0].Ready() {
		<-tick.C
	}
	return f
}

// BenchmarkAddedLatency measures the latency that the proxy adds: each statement runs once directly and once over the
// proxy.
func BenchmarkAddedLatency(b *testing.B) {
	for _, sql := range []struct{ name, text string }{{"read", readSQL}, {"write", writeSQL}} {
		b.Run(sql.name, func(b *testing.B) {
			f := benchFleet(b, 0)
			proxied := dialRaw(b, f.Instances()[0].CallerAddress(), f.Customer(), f.Database())
			direct := dialRaw(b, f.Groups()[0].Members()[0].Address(), "bench", f.Database())
			var added, base []time.Duration
			for b.Loop() {
				t0 := time.Now()
				if err := direct.query(sql.text); err != nil {
					b.Fatal(err)
				}
				t1 := time.Now()
				if err := proxied.query(sql.text); err != nil {
					b.Fatal(err)
				}
				base = append(base, t1.Sub(t0))
				added = append(added, time.Since(t1)-t1.Sub(t0))
			}
			report := func(name string, d []time.Duration) {
				sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
				b.ReportMetric(float64(d[len(d)/2].Nanoseconds())/1000, name+"-p50-µs")
				b.ReportMetric(float64(d[len(d)*99/100].Nanoseconds())/1000, name+"-p99-µs")
			}
			report("direct", base)
			report("added", added)
		})
	}
}

// BenchmarkThroughput measures one instance under many callers; fake databases and callers share its process.
func BenchmarkThroughput(b *testing.B) {
	for _, sql := range []struct {
		name, text string
		seats      int
	}{{"read", readSQL, 9}, {"write", writeSQL, 9}, {"read, one seat", readSQL, 1}, {"write, one seat", writeSQL, 1}} {
		b.Run(sql.name, func(b *testing.B) {
			f := benchFleet(b, sql.seats)
			const callers = 64
			conns := make([]*rawConn, callers)
			for i := range conns {
				conns[i] = dialRaw(b, f.Instances()[0].CallerAddress(), f.Customer(), f.Database())
			}
			var wait sync.WaitGroup
			b.ResetTimer()
			for i, c := range conns {
				n := b.N / callers
				if i < b.N%callers {
					n++
				}
				wait.Add(1)
				go func() {
					defer wait.Done()
					for range n {
						if err := c.query(sql.text); err != nil {
							b.Error(err)
							return
						}
					}
				}()
			}
			wait.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
		})
	}
}

// BenchmarkIdleCaller measures the memory of an idle connection, including the caller's side.
func BenchmarkIdleCaller(b *testing.B) {
	f := benchFleet(b, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const callers = 2000
	conns := make([]net.Conn, 0, callers)
	for range callers {
		c := dialRaw(b, f.Instances()[0].CallerAddress(), f.Customer(), f.Database())
		conns = append(conns, c.nc)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(used)/callers, "bytes/caller")
	for range b.N {
		runtime.KeepAlive(conns)
	}
	for _, c := range conns {
		c.Close()
	}
}
