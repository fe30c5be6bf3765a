package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// answered is a request of a caller with its answer.
type answered struct {
	id, text      string
	session       int
	sent, at      time.Time
	rows          []string
	code, receipt string
	err           error
}

// succeeded reports whether the caller received a success.
func (a answered) succeeded() bool { return a.err == nil && a.code == "" }

// ledger holds all requests of the callers; it is safe for concurrent use.
type ledger struct {
	record *record
	mu     sync.Mutex
	all    []answered
	next   int
}

func (l *ledger) id() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("c%07d", l.next)
}

func (l *ledger) add(a answered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// session is one connection of a caller.
type session struct {
	nc net.Conn
	in *bufio.Reader
}

// answerTimeout is how long a caller waits for an answer.
const answerTimeout = 2 * time.Second

func dial(address, database string) (*session, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{nc: nc, in: bufio.NewReader(nc)}
	nc.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := nc.Write([]byte("START " + database + " caller\r\n")); err != nil {
		nc.Close()
		return nil, err
	}
	line, err := readMessage(s.in)
	if err == nil && !strings.HasPrefix(line, "READY ") {
		err = fmt.Errorf("refused: %s", line)
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return s, nil
}

// exec sends a request and reads its answer.
func (s *session) exec(id, text string) (a answered) {
	a.id, a.text, a.sent = id, text, time.Now()
	s.nc.SetDeadline(time.Now().Add(answerTimeout))
	if _, a.err = s.nc.Write([]byte("QUERY " + id + " " + text + "\r\n")); a.err != nil {
		return a
	}
	return s.readAnswer(a)
}

func (s *session) readAnswer(a answered) answered {
	for {
		line, err := readMessage(s.in)
		a.at = time.Now()
		if err != nil {
			a.err = err
			return a
		}
		verb, rest, _ := strings.Cut(line, " ")
		switch verb {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.receipt = rest
		case "ERROR":
			a.code = rest
		case "READY":
			return a
		default:
			a.err = fmt.Errorf("unexpected line %q", line)
			return a
		}
	}
}

// mix describes the requests of a caller: each readEvery-th one is a read, or all of them if it is 1.
type mix struct {
	database  string
	readEvery int
	pause     time.Duration
}

// run sends writes and reads, one at a time with pauses, until ctx ends; it connects again after an error.
func (l *ledger) run(ctx context.Context, number int, address string, m mix) {
	var s *session
	for n := 0; ctx.Err() == nil; n++ {
		if s == nil {
			var err error
			if s, err = dial(address, m.database); err != nil {
				s = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		text := fmt.Sprintf("WRITE item%d data%d", number, n)
		if n%m.readEvery == m.readEvery-1 {
			text = fmt.Sprintf("READ item%d", number)
		}
		a := s.exec(l.id(), text)
		a.session = number
		l.add(a)
		if a.err != nil {
			s.nc.Close()
			s = nil
		}
		time.Sleep(m.pause)
	}
	if s != nil {
		s.nc.Close()
	}
}

// writeAll adds the requests to the record.
func (l *ledger) writeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.all {
		result := a.receipt
		if a.code != "" {
			result = "ERROR " + a.code
		}
		if a.err != nil {
			result = a.err.Error()
		}
		l.record.writeAt(a.sent, "caller", "%d sends %s %q, answered at %.4f: %s", a.session, a.id, a.text, a.at.Sub(l.record.started).Seconds(), result)
	}
}
