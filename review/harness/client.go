package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// sentTexts holds the text of each request by its id; it is safe for concurrent use.
type sentTexts struct {
	mu    sync.Mutex
	texts map[string]string
}

func (s *sentTexts) add(id, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.texts == nil {
		s.texts = map[string]string{}
	}
	s.texts[id] = text
}

func (s *sentTexts) get(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, ok := s.texts[id]
	return text, ok
}

// client is a session of a caller.
type client struct {
	name   string
	nc     net.Conn
	in     *bufio.Reader
	record *record
	sent   *sentTexts
}

// dialClient opens a session.
func dialClient(r *record, sent *sentTexts, name, to, database string) (*client, error) {
	nc, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, nc: nc, in: bufio.NewReader(nc), record: r, sent: sent}
	if _, err := fmt.Fprintf(nc, "START %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	line, err := c.readLine(2 * time.Second)
	r.line("%s: START %s answered %q, error %v", name, database, line, err)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("START was answered with %q", line)
	}
	return c, err
}

// readLine reads one message.
func (c *client) readLine(timeout time.Duration) (string, error) {
	if err := c.nc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// answer is the answer to a request, up to READY or the end of the connection.
type answer struct {
	lines []string
	err   error
}

// complete reports whether the answer ended with READY.
func (a answer) complete() bool {
	return a.err == nil && strings.HasPrefix(a.lines[len(a.lines)-1], "READY ")
}

// succeeded reports whether the answer is a success.
func (a answer) succeeded() bool {
	for _, line := range a.lines {
		if strings.HasPrefix(line, "COMPLETE ") {
			return a.complete()
		}
	}
	return false
}

func (c *client) readAnswer(timeout time.Duration) answer {
	var a answer
	for {
		line, err := c.readLine(timeout)
		if line != "" {
			a.lines = append(a.lines, shorten(line))
		}
		if err != nil {
			a.err = err
			return a
		}
		if strings.HasPrefix(line, "READY ") {
			return a
		}
	}
}

// exec sends a request in one piece and returns its answer.
func (c *client) exec(id, text string, timeout time.Duration) answer {
	return c.execInPieces(id, timeout, 0, text)
}

// execInPieces sends a request whose text arrives in pieces, with a pause between them, as on a link that loses packets.
func (c *client) execInPieces(id string, timeout, pause time.Duration, pieces ...string) answer {
	c.sent.add(id, strings.Join(pieces, ""))
	for n, piece := range pieces {
		if n == 0 {
			piece = "QUERY " + id + " " + piece
		}
		if n == len(pieces)-1 {
			piece += "\r\n"
		}
		if n > 0 {
			time.Sleep(pause)
		}
		c.record.line("%s: sends %q", c.name, shorten(piece))
		if _, err := c.nc.Write([]byte(piece)); err != nil {
			return answer{err: err}
		}
	}
	a := c.readAnswer(timeout)
	c.record.line("%s: %s answered %q, error %v", c.name, id, a.lines, a.err)
	return a
}
