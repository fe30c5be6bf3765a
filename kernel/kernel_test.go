package kernel_test

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/kernel"
)

// service adds its name to stopped when its context ends; if fail is set, it returns fail at once.
type service struct {
	name    string
	fail    error
	stopped *stopOrder
}

// stopOrder collects the names of services in the order in which they stop.
type stopOrder struct {
	mu    sync.Mutex
	names []string
}

func (s *service) Name() string { return s.name }

func (s *service) Run(ctx context.Context) error {
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	s.stopped.mu.Lock()
	defer s.stopped.mu.Unlock()
	s.stopped.names = append(s.stopped.names, s.name)
	return nil
}

func TestServicesStopInReverseOrder(t *testing.T) {
	k := kernel.New()
	order := &stopOrder{}
	for _, name := range []string{"platform", "peer", "caller"} {
		if err := k.Register(&service{name: name, stopped: order}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"caller", "peer", "platform"}, order.names); diff != "" {
		t.Errorf("stop order (-want +got):\n%s", diff)
	}
}

func TestFailingServiceStopsTheKernel(t *testing.T) {
	k := kernel.New()
	broken := errors.New("broken")
	for _, s := range []*service{{name: "a", stopped: &stopOrder{}}, {name: "b", fail: broken}} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Run(context.Background()); !errors.Is(err, broken) {
		t.Errorf("Run = %v, want the service's error", err)
	}
}

func TestLookup(t *testing.T) {
	k := kernel.New()
	s := &service{name: "peer"}
	if err := k.Register(s); err != nil {
		t.Fatal(err)
	}
	if err := k.Register(s); fault.KindOf(err) != fault.KindInvalid {
		t.Errorf("second registration returned %v, want KindInvalid", err)
	}
	got, err := kernel.Lookup[*service](k, "peer")
	if err != nil || got != s {
		t.Errorf("Lookup = %v, %v", got, err)
	}
	if _, err := kernel.Lookup[*kernel.Kernel](k, "peer"); fault.KindOf(err) != fault.KindNotFound {
		t.Errorf("Lookup with the wrong type returned %v, want KindNotFound", err)
	}
}
