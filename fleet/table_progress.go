package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/store"
)

// tableProgress is how far a follower has come with its table; it is safe for concurrent use.
type tableProgress struct {
	mu sync.Mutex
	// position is the position up to which the rows were applied, and counts only while loaded is set.
	position store.Position
	loaded   bool
	// interrupt ends the call that waits for changes, which was sent at waitingSince, or is nil if there is none, and
	// interrupted reports that it was used.
	interrupt    context.CancelFunc
	waitingSince time.Time
	interrupted  bool
}

// applied records what an answer of the store has changed.
func (p *tableProgress) applied(position store.Position, loaded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position, p.loaded = position, loaded
}

// begin returns the context of a call that is sent now and waits for changes; Interrupt ends it, and end must be called after it.
func (p *tableProgress) begin(ctx context.Context, now time.Time) (waiting context.Context, end func()) {
	waiting, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interrupt, p.waitingSince, p.interrupted = cancel, now, false
	return waiting, func() {
		cancel()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.interrupt = nil
	}
}

// Interrupt ends the call that waits for changes, if there is one, and reports whether there was.
func (p *tableProgress) Interrupt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.interrupt == nil {
		return false
	}
	p.interrupted = true
	p.interrupt()
	p.interrupt = nil
	return true
}

// takeInterrupted reports whether the last call that waited for changes was interrupted, once for each such call.
func (p *tableProgress) takeInterrupted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.interrupted
	p.interrupted = false
	return taken
}

// Position returns the position up to which the rows were applied; ok is false if the table is to be read as a whole.
func (p *tableProgress) Position() (position store.Position, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position, p.loaded
}

// WaitingFor returns how long the store has not answered the call that waits for changes, or 0 if there is none.
func (p *tableProgress) WaitingFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.interrupt == nil {
		return 0
	}
	return now.Sub(p.waitingSince)
}
