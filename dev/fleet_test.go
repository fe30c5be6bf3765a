package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jackc/pgx/v5"

	"github.com/monsoontiller/monsoontiller/dev"
	"github.com/monsoontiller/monsoontiller/endpoint/endpointtest"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/peer"
)

func TestContractChangeIsInForceOnEveryInstance(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 3})
	_, err := applyContract(f.Instances()[0], f.Contract()+"drain_timeout = \"7s\"\n", 1, "edit")
	if err == nil {
		t.Fatal("a contract with a top-level key inside a database table was accepted")
	}
	text := "drain_timeout = \"7s\"\n" + f.Contract()
	revision, err := applyContract(f.Instances()[0], text, 1, "edit")
	if err != nil || revision != 2 {
		t.Fatalf("apply: revision %d, %v", revision, err)
	}
	for n := range f.Instances() {
		waitUntil(t, "revision 2 is in force", func() bool { return revisionOn(t, f, n) == 2 })
	}
}

func TestConcurrentContractChangesAcceptOne(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 2})
	const operators = 4
	errs := make(chan error, operators)
	for n := range operators {
		go func() {
			text := fmt.Sprintf("drain_timeout = \"%ds\"\n", n+1) + f.Contract()
			_, err := applyContract(f.Instances()[n%2], text, 1, fmt.Sprintf("race-%d", n))
			errs <- err
		}()
	}
	accepted := 0
	for range operators {
		err := <-errs
		switch {
		case err == nil:
			accepted++
		case connect.CodeOf(err) != connect.CodeAborted:
			t.Errorf("a rejected operator got %v, want a conflict", err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d changes of the same revision were accepted, want 1", accepted)
	}
}

func TestLostAnswerOfTheStoreIsResolved(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 2})
	f.Platform().LoseAnswers(1)
	text := "drain_timeout = \"7s\"\n" + f.Contract()
	revision, err := applyContract(f.Instances()[0], text, 1, "lost")
	if err != nil || revision != 2 {
		t.Fatalf("apply with a lost answer: revision %d, %v", revision, err)
	}
	again, err := applyContract(f.Instances()[1], text, 1, "lost")
	if err != nil || again != 2 {
		t.Errorf("the repeated request gave revision %d, %v; want 2 again", again, err)
	}
}

func TestPartitionedInstanceRefusesStatements(t *testing.T) {
	p := &partition{next: peer.NewClient(nil).Transport}
	newClient := func(name string) *http.Client {
		if name == "entry-1" {
			return &http.Client{Transport: p}
		}
		return peer.NewClient(nil)
	}
	f := startFleet(t, dev.Config{Instances: 3, PeerClient: newClient, PlatformClient: newClient, FreshBound: 2 * time.Second})
	conn := connectCaller(t, f, 0)
	exec(t, conn, "INSERT INTO kv VALUES ('before', '1')")
	p.active.Store(true)
	waitUntil(t, "the partitioned instance refuses a statement as not run", func() bool {
		_, err := conn.Exec(context.Background(), "UPDATE kv SET value = 'x' WHERE key = 'none'")
		return sqlState(err) == "57P03"
	})
	if _, err := applyContract(f.Instances()[1], "drain_timeout = \"7s\"\n"+f.Contract(), 1, "while-cut"); err != nil {
		t.Errorf("the other instances rejected a contract change: %v", err)
	}
	p.active.Store(false)
	waitUntil(t, "the instance accepts statements again and has the new revision", func() bool {
		_, err := conn.Exec(context.Background(), "UPDATE kv SET value = 'x' WHERE key = 'none'")
		return err == nil && revisionOn(t, f, 0) == 2
	})
}

func TestWritesContinueDuringStoreOutage(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 3, FreshBound: 2 * time.Second})
	c := connectCaller(t, f, 0)
	f.Platform().SetDown(true)
	deadline := time.Now().Add(5 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		exec(t, c, fmt.Sprintf("INSERT INTO kv VALUES ('k-%d', '1')", n))
	}
}

func memberNamed(g *endpointtest.Group, name string) *endpointtest.Member {
	for _, m := range g.Members() {
		if m.Name() == name {
			return m
		}
	}
	return nil
}

func TestWritesResumeAfterPrimaryCrash(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			f := startFleet(t, dev.Config{Instances: 3})
			c := connectCaller(t, f, 0)
			exec(t, c, "INSERT INTO kv VALUES ('before', '1')")
			waitUntil(t, "the replicas hold the write", func() bool {
				members := f.Groups()[0].Members()
				return members[1].Status().Point() == members[0].Status().Point() && members[2].Status().Point() == members[0].Status().Point()
			})
			f.Platform().SetDown(outage)
			memberNamed(f.Groups()[0], "candidates-1-a").Stop()
			n := 0
			waitUntil(t, "a write succeeds", func() bool {
				n++
				_, err := c.Exec(context.Background(), fmt.Sprintf("INSERT INTO kv VALUES ('after-%d', '1')", n))
				return err == nil
			})
			if term := f.Groups()[0].Primary().Status().Point().Term(); term < 2 {
				t.Errorf("term %d after the failover", term)
			}
			var v string
			if err := c.QueryRow(context.Background(), "SELECT value FROM kv WHERE key = 'before'").Scan(&v); err != nil || v != "1" {
				t.Errorf("a replicated write is lost: %q, %v", v, err)
			}
			f.Platform().SetDown(false)
			resp, err := operatorClient(f.Instances()[2]).Explain(context.Background(), connect.NewRequest(&operatorv1.ExplainRequest{Subject: "group/candidates-1"}))
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, d := range resp.Msg.GetDecisions() {
				found = found || d.GetDecision() == "primary_promoted"
			}
			if !found {
				t.Error("explain does not list the promotion")
			}
		})
	}
}

func TestDrainedPrimaryIsReplacedAndUnusable(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 2})
	c := connectCaller(t, f, 0)
	exec(t, c, "INSERT INTO kv VALUES ('before', '1')")
	_, err := operatorClient(f.Instances()[1]).DrainEndpoint(context.Background(), connect.NewRequest(&operatorv1.DrainEndpointRequest{Endpoint: "candidates-1-a"}))
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "another member is primary", func() bool {
		p := f.Groups()[0].Primary()
		return p != nil && p.Name() != "candidates-1-a" && p.Status().Point().Term() > 1
	})
	waitUntil(t, "a write succeeds at the new primary", func() bool {
		_, err := c.Exec(context.Background(), "UPDATE kv SET value = '2' WHERE key = 'before'")
		return err == nil
	})
	s, err := operatorClient(f.Instances()[0]).Status(context.Background(), connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range s.Msg.GetGroups()[0].GetEndpoints() {
		if e.GetName() == "candidates-1-a" && (e.GetUsable() || !e.GetLeaving()) {
			t.Errorf("the drained endpoint is usable or not leaving: %v", e)
		}
	}
}

func TestDrainedInstanceStopsAndCanRestart(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 3})
	_, err := operatorClient(f.Instances()[0]).DrainInstance(context.Background(), connect.NewRequest(&operatorv1.DrainInstanceRequest{Instance: "entry-3"}))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitInstance(2); err != nil {
		t.Errorf("the drained instance ended with %v", err)
	}
	if err := f.StartInstance(2); err != nil {
		t.Errorf("the drained instance did not start again: %v", err)
	}
	waitUntil(t, "the restarted instance is ready", f.Instances()[2].Ready)
}

func TestInstanceIsNotReadyBeforeGroupsAreKnown(t *testing.T) {
	g := &groupsGate{opened: make(chan struct{}), next: peer.NewClient(nil).Transport}
	f := startFleet(t, dev.Config{Instances: 1, PlatformClient: func(name string) *http.Client {
		if name == "entry-2" {
			return &http.Client{Transport: g}
		}
		return http.DefaultClient
	}})
	if err := f.StartInstance(1); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the instance has the current revision", func() bool { return revisionOn(t, f, 1) == 1 })
	if _, err := pgx.Connect(context.Background(), callerURL(f, 1)); sqlState(err) != "57P03" {
		t.Errorf("a caller got %v, want SQLSTATE 57P03", err)
	}
	if f.Instances()[1].Ready() {
		t.Error("the instance is ready without knowing a group")
	}
	close(g.opened)
	waitUntil(t, "the instance is ready", f.Instances()[1].Ready)
	if _, err := pgx.Connect(context.Background(), callerURL(f, 1)); err != nil {
		t.Errorf("connecting to a ready instance failed: %v", err)
	}
}

func TestInstanceWithLongerLeaseDoesNotStart(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 1, LeaseOverrides: map[int]time.Duration{1: 3 * time.Second}})
	if err := f.StartInstance(1); fault.KindOf(err) != fault.KindInvalid {
		t.Errorf("an instance with a longer lease started: %v", err)
	}
}

func TestCancelThroughAnotherInstance(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 2})
	slow := connectCaller(t, f, 0)
	result := make(chan error, 1)
	go func() {
		_, err := slow.Exec(context.Background(), "SELECT pg_sleep(20)")
		result <- err
	}()
	slowSession := slow.PgConn()
	waitUntil(t, "the statement is canceled", func() bool {
		cancelThrough(t, f, 1, slowSession)
		select {
		case err := <-result:
			return sqlState(err) == "57014"
		default:
			return false
		}
	})
}

func TestConnectionsStayWithinTheLimitUnderSkewedLoad(t *testing.T) {
	f := startFleet(t, dev.Config{Instances: 4, StatementTime: 2 * time.Millisecond})
	const callers, requests = 24, 40
	errs := make(chan error, callers)
	for n := range callers {
		c := connectCaller(t, f, 0)
		go func() {
			for k := range requests {
				if _, err := c.Exec(context.Background(), fmt.Sprintf("INSERT INTO kv VALUES ('%d-%d', '1')", n, k)); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range callers {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	for _, g := range f.Groups() {
		for _, m := range g.Members() {
			if refused := m.Refused(); refused > 0 {
				t.Errorf("%s refused %d connections over its limit", m.Name(), refused)
			}
		}
	}
}
