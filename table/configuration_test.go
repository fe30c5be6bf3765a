package table_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/table"
	"github.com/monsoontiller/monsoontiller/table/tabletest"
)

func startPlatform(t *testing.T) (*tabletest.Server, *table.Client) {
	t.Helper()
	s := tabletest.NewServer()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Serve(ctx, l)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s, table.NewClient(table.ClientConfig{URL: "http://" + l.Addr().String()})
}

// request is an operator's request: a change on top of revision base, or a read.
type request struct {
	write bool
	base  membership.Revision
}

// outcome is the answer to an operator's request.
type outcome struct {
	revision membership.Revision
	conflict bool
}

// register is the sequential specification of one item, whose state is its revision.
var register = porcupine.Model{
	Init: func() any { return membership.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		current := state.(membership.Revision)
		req, out := input.(request), output.(outcome)
		switch {
		case !req.write:
			return out.revision == current, current
		case out.conflict:
			return current != req.base, current
		}
		return current == req.base && out.revision == current+1, current + 1
	},
}

const key = "contract/lellu"

// Operators that change one item concurrently must see a linearizable history, also when the answer to a transaction is
// lost: Accept must then find out whether the change was written and must not write it twice.
func TestAcceptedChangesAreLinearizable(t *testing.T) {
	server, client := startPlatform(t)
	const operators, rounds = 4, 12
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	record := func(id int, req request, run func() (outcome, error)) {
		began := time.Since(started).Nanoseconds()
		out, err := run()
		if err != nil {
			t.Errorf("operator %d: %v", id, err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: id, Input: req, Call: began, Output: out, Return: time.Since(started).Nanoseconds()})
	}
	var wait sync.WaitGroup
	for id := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			known := membership.Revision(0)
			for n := range rounds {
				if n%3 == 0 {
					server.LoseAnswers(1)
				}
				req := request{write: true, base: known}
				record(id, req, func() (outcome, error) { return change(client, req.base, fmt.Sprintf("%d-%d", id, n)) })
				record(id, request{}, func() (outcome, error) {
					out, err := read(client)
					known = out.revision
					return out, err
				})
			}
		}()
	}
	wait.Wait()
	if !porcupine.CheckOperations(register, history) {
		t.Errorf("the history of %d operations is not linearizable", len(history))
	}
}

func change(client *table.Client, base membership.Revision, id string) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	item, err := table.NewConfiguration(client).Accept(ctx, table.Change{Key: key, Text: id, Base: base, RequestID: id, Now: time.Unix(0, 0)})
	if fault.KindOf(err) == fault.KindConflict {
		return outcome{conflict: true}, nil
	}
	return outcome{revision: item.Revision()}, err
}

func read(client *table.Client) (outcome, error) {
	items, err := table.NewConfiguration(client).Poll(context.Background())
	if err != nil || len(items) == 0 {
		return outcome{}, err
	}
	return outcome{revision: items[0].Revision()}, nil
}

// A change that was never sent because of an outage must fail as not accepted: an unknown outcome would make the operator
// check for a change that cannot exist.
func TestChangeNeverSentFailsAsUnavailable(t *testing.T) {
	server, client := startPlatform(t)
	server.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := table.NewConfiguration(client).Accept(ctx, table.Change{Key: key, RequestID: "a"})
	if fault.KindOf(err) != fault.KindUnavailable {
		t.Errorf("a change that was never sent failed with %v, want KindUnavailable", err)
	}
}
