package logbuffer_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/logbuffer"
)

// stalledWriter blocks each Write until it is released.
type stalledWriter struct {
	released chan struct{}
	mu       sync.Mutex
	written  bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *stalledWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// Guards against an instance that stops serving because nobody reads its log.
func TestStalledReaderDelaysNobody(t *testing.T) {
	w := &stalledWriter{released: make(chan struct{})}
	var mu sync.Mutex
	dropped := map[string]int{}
	l := logbuffer.New(logbuffer.Config{Writer: w, Dropped: func(class string, lines int) {
		mu.Lock()
		defer mu.Unlock()
		dropped[class] += lines
	}})
	const statements, others = 20000, 300
	logged := make(chan error, 1)
	go func() {
		var err error
		for n := range statements {
			if n < others && err == nil {
				err = l.Log("msg", "promotion_ordered", "n", n)
			}
			if err == nil {
				err = l.Log("msg", "statement_refused", "n", n)
			}
		}
		logged <- err
	}()
	select {
	case err := <-logged:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for the reader")
	}
	close(w.released)
	if err := l.Close(10 * time.Second); err != nil {
		t.Error(err)
	}
	text := w.text()
	for n := range others {
		if !strings.Contains(text, fmt.Sprintf(`"msg":"promotion_ordered","n":%d}`, n)) {
			t.Fatalf("line %d about a promotion was dropped for lines about statements", n)
		}
	}
	kept := strings.Count(text, `"statement_refused"`)
	if dropped["statements"]+kept != statements || dropped["others"] != 0 {
		t.Errorf("%d lines about statements were written and %v counted as dropped, of %d", kept, dropped, statements)
	}
	if !strings.Contains(text, `"msg":"log_lines_dropped"`) {
		t.Error("the log does not tell of the lines that were dropped")
	}
}

func TestCloseWaitsForStalledReaderForBoundedTime(t *testing.T) {
	l := logbuffer.New(logbuffer.Config{Writer: &stalledWriter{released: make(chan struct{})}})
	if err := l.Log("msg", "started"); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if err := l.Close(50 * time.Millisecond); err != nil {
		t.Error(err)
	}
	if elapsed := time.Since(started); elapsed > 5*time.Second {
		t.Errorf("Close took %v", elapsed)
	}
}

func TestLinesAreWrittenInOrderOfTheirClass(t *testing.T) {
	w := &stalledWriter{released: make(chan struct{})}
	close(w.released)
	l := logbuffer.New(logbuffer.Config{Writer: w})
	for n := range 100 {
		if err := l.Log("msg", "endpoint_listed", "n", n); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Close(10 * time.Second); err != nil {
		t.Error(err)
	}
	lines := strings.Split(strings.TrimSpace(w.text()), "\n")
	if len(lines) != 100 {
		t.Fatalf("%d lines, want 100", len(lines))
	}
	for n, line := range lines {
		if want := fmt.Sprintf(`{"msg":"endpoint_listed","n":%d}`, n); line != want {
			t.Errorf("line %d is %s, want %s", n, line, want)
		}
	}
}
