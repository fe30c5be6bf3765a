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

// call is one operator's request: a change on top of base, or a read.
type call struct {
	write bool
	base  membership.Revision
}

// answer is what the operator was told.
type answer struct {
	revision membership.Revision
	conflict bool
}

// register is the sequential behaviour of one item: its revision.
var register = porcupine.Model{
	Init: func() any { return membership.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		held := state.(membership.Revision)
		q, a := input.(call), output.(answer)
		switch {
		case !q.write:
			return a.revision == held, held
		case a.conflict:
			return held != q.base, held
		}
		return held == q.base && a.revision == held+1, held + 1
	},
}

const key = "contract/lellu"

func TestAcceptedChangesAreLinearizable(t *testing.T) {
	server, client := startPlatform(t)
	const operators, rounds = 4, 12
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	record := func(id int, q call, run func() (answer, error)) {
		began := time.Since(started).Nanoseconds()
		a, err := run()
		if err != nil {
			t.Errorf("operator %d: %v", id, err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: id, Input: q, Call: began, Output: a, Return: time.Since(started).Nanoseconds()})
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
				q := call{write: true, base: known}
				record(id, q, func() (answer, error) { return change(client, q.base, fmt.Sprintf("%d-%d", id, n)) })
				record(id, call{}, func() (answer, error) {
					a, err := read(client)
					known = a.revision
					return a, err
				})
			}
		}()
	}
	wait.Wait()
	if !porcupine.CheckOperations(register, history) {
		t.Errorf("the history of %d operations is not linearizable", len(history))
	}
}

func change(client *table.Client, base membership.Revision, id string) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	item, err := table.NewConfiguration(client).Accept(ctx, table.Change{Key: key, Text: id, Base: base, RequestID: id, Now: time.Unix(0, 0)})
	if fault.KindOf(err) == fault.KindConflict {
		return answer{conflict: true}, nil
	}
	return answer{revision: item.Revision()}, err
}

func read(client *table.Client) (answer, error) {
	items, err := table.NewConfiguration(client).Poll(context.Background())
	if err != nil || len(items) == 0 {
		return answer{}, err
	}
	return answer{revision: items[0].Revision()}, nil
}

func TestOutageLeavesTheOutcomeUnknownOnlyAfterAWrite(t *testing.T) {
	server, client := startPlatform(t)
	server.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := table.NewConfiguration(client).Accept(ctx, table.Change{Key: key, RequestID: "a"})
	if fault.KindOf(err) != fault.KindUnavailable {
		t.Errorf("a change that was never sent gave %v, want not accepted", err)
	}
}
