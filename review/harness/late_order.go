package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

const (
	// lateBy is how long the slow promotion API takes for the first order that it accepts.
	lateBy = 6 * time.Second
	// crashTime is how long the first primary is down, and leaveAt when its successor is to be replaced.
	crashTime = 3 * time.Second
	leaveAt   = 3500 * time.Millisecond
	// recordAt is when the record of the statements begins: the first order is sent 1.2 s after the crash.
	recordAt = lateBy + time.Second
	// writers is the number of sessions that write one row after the other.
	writers = 6
)

// lateOrders runs the first promotion order late and answers it to nobody; it runs and answers the others at once.
type lateOrders struct {
	next   http.Handler
	record *record
	slow   bool
	mu     sync.Mutex
	first  bool
	ran    chan struct{}
}

// ServeHTTP serves POST /promote.
func (l *lateOrders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.mu.Lock()
	late := l.slow && !l.first
	l.first = true
	l.mu.Unlock()
	l.record.line("promotion order %s of %s with token %s, late %v", body, r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token"), late)
	if !late {
		l.next.ServeHTTP(w, r)
		return
	}
	header := r.Header.Clone()
	time.AfterFunc(lateBy, func() {
		again := httptest.NewRequest(http.MethodPost, "/promote", bytes.NewReader(body))
		again.Header = header
		l.record.line("the platform runs the order %s now", body)
		l.next.ServeHTTP(httptest.NewRecorder(), again)
		close(l.ran)
	})
	<-r.Context().Done()
}

// lateOrder lets the promotion API run the order for the successor of a crashed primary only after that one was replaced.
func lateOrder(ctx context.Context, w *world) (broken bool, err error) {
	late := &lateOrders{record: w.record, slow: w.trouble, ran: make(chan struct{})}
	w.promoter = func(next http.Handler) http.Handler {
		late.next = next
		return late
	}
	if err := w.start(ctx, 3, 3); err != nil {
		return false, err
	}
	w.quietRuns.Store(true)
	var acknowledged acknowledgements
	var writing sync.WaitGroup
	writingCtx, stopWriting := context.WithCancel(ctx)
	defer stopWriting()
	for n := range writers {
		writing.Add(1)
		go func() {
			defer writing.Done()
			w.write(writingCtx, n, &acknowledged)
		}()
	}
	writing.Add(1)
	go func() {
		defer writing.Done()
		w.recordPrimaries(writingCtx)
	}()
	time.Sleep(time.Second)
	started := time.Now()
	first := w.group.Primary()
	w.record.line("%s, the primary, crashes", first.ID)
	first.SetDown(true)
	time.Sleep(time.Until(started.Add(crashTime)))
	first.Start(time.Now().UnixMilli())
	w.writeEntry(first, platformtest.StateReady)
	w.record.line("%s is back", first.ID)
	time.Sleep(time.Until(started.Add(leaveAt)))
	second := w.group.Primary()
	if second == nil {
		return false, errors.New("no member was promoted")
	}
	w.record.line("%s, the primary, is to be replaced", second.ID)
	w.writeEntry(second, platformtest.StateLeaving)
	// The record has all statements from shortly before the late order runs.
	time.Sleep(time.Until(started.Add(recordAt)))
	w.quietRuns.Store(false)
	time.Sleep(time.Until(started.Add(leaveAt + lateBy)))
	stopWriting()
	writing.Wait()
	return w.checkOldPrimary(&acknowledged), nil
}

// acknowledgements holds the data of acknowledged writes; it is safe for concurrent use.
type acknowledgements struct {
	mu   sync.Mutex
	data map[string]time.Time
}

func (a *acknowledgements) add(data string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.data == nil {
		a.data = map[string]time.Time{}
	}
	a.data[data] = time.Now()
}

func (a *acknowledgements) has(data string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.data[data]
	return ok
}

// write writes one row after the other until ctx ends, and connects again after an error.
func (w *world) write(ctx context.Context, n int, acknowledged *acknowledgements) {
	var sent sentTexts
	var c *client
	for k := 0; ctx.Err() == nil; k++ {
		if c == nil {
			var err error
			if c, err = dialClient(&record{}, &sent, fmt.Sprintf("writer-%d", n), w.instances[n%len(w.instances)].callers, primaryDatabase); err != nil {
				c = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		data := fmt.Sprintf("w%d-%d", n, k)
		a := c.exec(data, fmt.Sprintf("WRITE item-%d %s", n, data), 3*time.Second)
		if a.succeeded() {
			acknowledged.add(data)
		}
		if !w.quietRuns.Load() {
			w.record.line("writer-%d: %s answered %q, error %v", n, data, a.lines, a.err)
		}
		if a.err != nil {
			c.nc.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	if c != nil {
		c.nc.Close()
	}
}

// recordPrimaries records each change of the primary of the newest term until ctx ends.
func (w *world) recordPrimaries(ctx context.Context) {
	last := ""
	for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
		now := "no member"
		if p := w.group.Primary(); p != nil {
			now = p.ID
		}
		if now != last {
			w.record.line("%s leads the newest term", now)
		}
		last = now
	}
}

// checkOldPrimary reports whether a write that a member committed after another one led a later term was acknowledged.
func (w *world) checkOldPrimary(acknowledged *acknowledgements) bool {
	committed, broken := 0, 0
	for _, e := range w.executions() {
		if len(e.Committed) == 0 {
			continue
		}
		committed++
		if e.IsPrimary || !acknowledged.has(strings.Join(e.Committed, "")) {
			continue
		}
		broken++
		w.record.line("ONE: %s committed %s at %s, after another member led, and the client got a receipt", e.Member, e.Committed[0], e.At.Format("15:04:05.000"))
	}
	w.record.line("%d writes committed, %d acknowledged, %d of them at an old primary", committed, len(acknowledged.data), broken)
	if p := w.group.Primary(); p != nil {
		held := map[string]bool{}
		for _, entry := range p.Log() {
			held[entry.Data] = true
		}
		lost := 0
		for data := range acknowledged.data {
			if !held[data] {
				lost++
			}
		}
		w.record.line("%s leads at the end; %d acknowledged writes are not in its log", p.ID, lost)
	}
	return broken > 0
}
