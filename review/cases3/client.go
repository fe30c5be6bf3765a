package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

var statementNumber atomic.Uint64

// nextID returns the id of a new statement.
func nextID() string { return fmt.Sprintf("%016x", statementNumber.Add(1)) }

// client is a client with one session, which it opens again after it has ended.
type client struct {
	name     string
	address  string
	database string
	record   *record
	session  *platformtest.Caller
}

// exec runs a statement and returns its answer; ok is false if it was not answered in full.
func (c *client) exec(ctx context.Context, id, text string) (a platformtest.Answer, ok bool) {
	if c.session == nil {
		s, err := platformtest.Dial(ctx, platformtest.CallerConfig{Address: c.address, Database: c.database, Timeout: 3 * time.Second})
		if err != nil {
			c.record.printf("%s: no session: %v", c.name, err)
			return a, false
		}
		c.session = s
	}
	sentAt := time.Now()
	a, err := c.session.Exec(id, text)
	took := time.Since(sentAt).Round(100 * time.Microsecond)
	if err != nil {
		c.record.printf("%s: sent %s %s, no answer after %v: %v", c.name, id, text, took, err)
		c.close()
		return a, false
	}
	c.record.printf("%s: sent %s %s, answered after %v: %s", c.name, id, text, took, strings.Join(a.Lines, " | "))
	return a, true
}

func (c *client) close() {
	if c.session != nil {
		c.session.Close()
		c.session = nil
	}
}

// row returns the first row of an answer.
func row(a platformtest.Answer) string {
	for _, line := range a.Lines {
		if rest, ok := strings.CutPrefix(line, "DATAROW "); ok {
			return rest
		}
	}
	return ""
}

// runs holds the statements that members ran, by id.
type runs struct {
	record *record
	mu     sync.Mutex
	of     map[string][]platformtest.Execution
}

// newRuns observes the members of the groups.
func newRuns(record *record, groups ...*platformtest.Group) *runs {
	r := &runs{record: record, of: map[string][]platformtest.Execution{}}
	for _, g := range groups {
		r.observe(g)
	}
	return r
}

func (r *runs) observe(g *platformtest.Group) {
	g.Observe(func(e platformtest.Execution) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.of[e.ID] = append(r.of[e.ID], e)
		r.record.printf("%s: ran %s %s: %s", e.Member, e.ID, e.Text, strings.Join(e.Answer, " | "))
	})
}

// last returns the last run of a statement that a member signed.
func (r *runs) last(id string) (e platformtest.Execution, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.of[id] {
		if run.Signed() {
			e, ok = run, true
		}
	}
	return e, ok
}
