package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
)

// order names a promotion that was ordered.
type order struct {
	group string
	term  group.Term
}

const (
	// maxUnrecordedOrders bounds the orders that wait to be recorded; further ones wait for the next order of their group.
	maxUnrecordedOrders = 256
	// recordOrderTimeout bounds a call that records an order, and recordOrderTries the number of such calls: an order that
	// is not recorded counts as in progress until its intent ends.
	recordOrderTimeout = claimTimeout
	recordOrderTries   = 8
	// recordOrderPause is the wait between two tries.
	recordOrderPause = 200 * time.Millisecond
)

// orderRecorder records ordered promotions in the store, apart from the promotions themselves, which it must not delay.
type orderRecorder[L Link[L]] struct {
	instance *Instance[L]
	orders   chan order
	mu       sync.Mutex
	// newest is the newest term added for each group: an order that is sent again is recorded once.
	newest map[string]group.Term
}

func newOrderRecorder[L Link[L]](i *Instance[L]) *orderRecorder[L] {
	return &orderRecorder[L]{instance: i, orders: make(chan order, maxUnrecordedOrders), newest: map[string]group.Term{}}
}

// Name returns the service's name.
func (r *orderRecorder[L]) Name() string { return "order_recorder" }

// Add records an order later; it does not wait.
func (r *orderRecorder[L]) Add(name string, term group.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term <= r.newest[name] {
		return
	}
	select {
	case r.orders <- order{group: name, term: term}:
		r.newest[name] = term
	default:
		logLine(r.instance.cfg.Logger, "level", "warn", "msg", "order_not_recorded", "group", name, "term", uint64(term), "error", "too many orders wait")
	}
}

// Run records the orders until ctx ends.
func (r *orderRecorder[L]) Run(ctx context.Context) error {
	for {
		select {
		case o := <-r.orders:
			r.record(ctx, o)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *orderRecorder[L]) record(ctx context.Context, o order) {
	var err error
	for range recordOrderTries {
		callCtx, cancel := context.WithTimeout(ctx, recordOrderTimeout)
		err = r.instance.coordinator.RecordOrder(callCtx, o.group, o.term)
		cancel()
		if err == nil || engine.Sleep(ctx, recordOrderPause) != nil {
			break
		}
	}
	logLine(r.instance.cfg.Logger, "level", "info", "msg", "order_recorded", "group", o.group, "term", uint64(o.term), "error", errorText(err))
}
