package transport_test

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/transport"
)

// Guards against callers that take the last descriptors, which links to endpoints, peers and the store need.
func TestDescriptorBudgetKeepsReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	limit, open, counts := 4096, 40, 0
	b := transport.NewDescriptorBudget(transport.DescriptorBudgetConfig{
		Limit: func() (int, error) { return limit, nil },
		Open: func() (int, error) {
			counts++
			return open, nil
		},
		Clock: func() time.Time { return now },
	})
	held := 0
	for {
		open++
		if !b.Admit(held) {
			open--
			break
		}
		held++
		if held%100 == 0 {
			now = now.Add(time.Second)
		}
		if held > limit {
			t.Fatal("the budget has no end")
		}
	}
	if free := limit - open; free < limit/64 || free > limit/64+1 {
		t.Errorf("%d descriptors are left free, want %d", free, limit/64)
	}
	if counts > held/100+1 {
		t.Errorf("the open descriptors were counted %d times for %d connections", counts, held)
	}
	now = now.Add(time.Second)
	open -= 2
	if !b.Admit(held - 2) {
		t.Error("a connection was refused after others had ended")
	}
	limit = 100
	now = now.Add(time.Second)
	if b.Admit(held) {
		t.Error("a connection was admitted though the limit was lowered")
	}
	limit = 1 << 20
	if !b.Admit(held) {
		t.Error("a connection was refused though the limit was raised")
	}
}

func TestDescriptorBudgetAdmitsIfNothingIsKnown(t *testing.T) {
	failed := func() (int, error) { return 0, errors.New("no such file") }
	for _, cfg := range []transport.DescriptorBudgetConfig{
		{Limit: failed},
		{Limit: func() (int, error) { return 100, nil }, Open: failed},
	} {
		if !transport.NewDescriptorBudget(cfg).Admit(99) {
			t.Error("a connection was refused")
		}
	}
	full := transport.DescriptorBudgetConfig{
		Limit: func() (int, error) { return 100, nil },
		Open:  func() (int, error) { return 0, &os.PathError{Op: "open", Path: "/proc/self/fd", Err: syscall.EMFILE} },
	}
	if transport.NewDescriptorBudget(full).Admit(99) {
		t.Error("a connection was admitted though no descriptor was left to count the open ones")
	}
	limit, reserve, err := transport.NewDescriptorBudget(transport.DescriptorBudgetConfig{}).Limit()
	if err != nil || limit <= 0 || reserve < 16 {
		t.Errorf("the limit of the process is %d with a reserve of %d, %v", limit, reserve, err)
	}
	if !transport.NewDescriptorBudget(transport.DescriptorBudgetConfig{}).Admit(limit / 2) {
		t.Error("a process with few open descriptors refuses connections")
	}
}
