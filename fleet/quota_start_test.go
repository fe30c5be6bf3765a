package fleet_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"github.com/monsoontiller/monsoontiller/account"
	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fleet"
	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/quota"
	"github.com/monsoontiller/monsoontiller/store/storetest"
)

// Guards against operations below the limit that are refused after a restart of all instances, and then again when their clients
// retry. Load: the operations of half a second arrive at once, at the usual load of 1/1.6 of the rate, with time limits of 1.2 s.
func TestOperationsWaitWhileTheirInstanceStarts(t *testing.T) {
	const (
		rate      = 40.0
		timeLimit = 1200 * time.Millisecond
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	d := document(1)
	d.Accounts = account.NewRegistry([]account.Config{{Name: "a", Limits: account.Limits{Rate: rate, Burst: rate}}})
	i := fleet.New(fleet.Config[*platform.Link]{
		Name: "self", PeerListener: listener, Logger: log.NewNopLogger(), Scope: tally.NoopScope, Store: storetest.New(), KeyBound: 5 * time.Second,
		QuotaTolerance: quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	})
	fleet.ApplyDocument(i, d)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- fleet.RunQuotas(ctx, i) }()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	const waiting = 12 // rate / 1.6 for 0.5 s
	now := clock.Now()
	refused := make(chan error, waiting)
	for range waiting {
		go func() {
			refused <- i.Admit(ctx, "a", engine.AdmissionWait{Until: now.Add(timeLimit / 20), UntilAtStart: now.Add(timeLimit / 2)})
		}()
	}
	for range waiting {
		if err := <-refused; err != nil {
			t.Error(err)
		}
	}
}
