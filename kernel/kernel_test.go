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

// service records its end in a shared list.
type service struct {
	name string
	fail error
	ends *ends
}

type ends struct {
	mu    sync.Mutex
	names []string
}

func (s *service) Name() string { return s.name }

func (s *service) Run(ctx context.Context) error {
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	s.ends.mu.Lock()
	defer s.ends.mu.Unlock()
	s.ends.names = append(s.ends.names, s.name)
	return nil
}

func TestServicesStopInReverseOrder(t *testing.T) {
	k := kernel.New()
	e := &ends{}
	for _, name := range []string{"platform", "peer", "caller"} {
		if err := k.Register(&service{name: name, ends: e}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := k.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"caller", "peer", "platform"}, e.names); diff != "" {
		t.Errorf("order of ends (-want +got):\n%s", diff)
	}
}

func TestFailingServiceStopsTheKernel(t *testing.T) {
	k := kernel.New()
	broken := errors.New("broken")
	for _, s := range []*service{{name: "a", ends: &ends{}}, {name: "b", fail: broken}} {
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
		t.Errorf("a second registration gave %v", err)
	}
	got, err := kernel.Lookup[*service](k, "peer")
	if err != nil || got != s {
		t.Errorf("Lookup = %v, %v", got, err)
	}
	if _, err := kernel.Lookup[*kernel.Kernel](k, "peer"); fault.KindOf(err) != fault.KindNotFound {
		t.Errorf("Lookup of another type gave %v", err)
	}
}
