package instance

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/pool"
)

// balancer moves connection shares to where requests wait.
type balancer struct {
	instance *Instance
	idleFrom map[string]time.Time
	turn     int
}

// Name returns the service's name.
func (b *balancer) Name() string { return "balancer" }

// Run looks at each endpoint at every interval until ctx ends.
func (b *balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(balanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.look(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *balancer) look(ctx context.Context) {
	for _, w := range b.instance.allGroups() {
		for _, m := range w.group.Members() {
			b.lookAt(ctx, w, m.Endpoint)
		}
	}
}

func (b *balancer) lookAt(ctx context.Context, w *watched, name string) {
	conns := w.group.Connections(name)
	b.applyLimit(w, name)
	usage := conns.Usage()
	switch {
	case usage.Waiting() > 0 && usage.Open() >= usage.Limit():
		delete(b.idleFrom, name)
		b.borrow(ctx, w, name)
	case usage.Waiting() == 0 && usage.Idle() > 0:
		b.repayWhenIdle(ctx, w, name)
	default:
		delete(b.idleFrom, name)
	}
}

// applyLimit raises the pool's limit to what the shares allow; they only fall through Lend and Repay.
func (b *balancer) applyLimit(w *watched, name string) {
	w.lending.Lock()
	defer w.lending.Unlock()
	i := b.instance
	i.mu.Lock()
	usable := w.shares[name].Usable()
	i.mu.Unlock()
	w.group.SetEndpointLimit(name, usable)
}

// borrow asks one peer after the other, one at each look, for a connection.
func (b *balancer) borrow(ctx context.Context, w *watched, name string) {
	others := b.instance.node.Others()
	if len(others) == 0 {
		return
	}
	b.turn++
	lender := others[b.turn%len(others)]
	granted := b.call(ctx, w.shares[name], lender, name)
	if granted == 0 {
		return
	}
	b.applyLimit(w, name)
	b.instance.events.Add(event.Config{
		Subject:  "endpoint/" + name,
		Decision: "connections_borrowed",
		Evidence: lender.Name() + " had a connection to spare while requests waited here",
	})
}

func (b *balancer) call(ctx context.Context, shares *pool.Shares, lender membership.Identity, name string) int {
	i := b.instance
	i.mu.Lock()
	sequence, ok := shares.Call(lender.Name())
	i.mu.Unlock()
	if !ok {
		return 0
	}
	granted, err := i.node.Borrow(ctx, lender, name, sequence, borrowStep)
	if err != nil {
		granted = 0
	}
	i.mu.Lock()
	shares.Called(lender.Name(), granted)
	i.mu.Unlock()
	return granted
}

// repayWhenIdle gives a loan back once connections have been idle for a while.
func (b *balancer) repayWhenIdle(ctx context.Context, w *watched, name string) {
	now := clock.Now()
	if b.idleFrom[name].IsZero() {
		b.idleFrom[name] = now
	}
	if now.Sub(b.idleFrom[name]) < repayAfter {
		return
	}
	i := b.instance
	lender, ok := b.repay(w, name)
	if !ok {
		return
	}
	for _, one := range i.node.Others() {
		if one.Name() == lender {
			i.node.Exchange(ctx, one)
		}
	}
}

// repay closes what is borrowed of one lender, as far as it is unused, and takes it out of use.
func (b *balancer) repay(w *watched, name string) (lender string, ok bool) {
	w.lending.Lock()
	defer w.lending.Unlock()
	i := b.instance
	i.mu.Lock()
	lender, count := w.shares[name].Debt()
	usable := w.shares[name].Usable()
	i.mu.Unlock()
	if lender == "" {
		return "", false
	}
	freed := usable - w.group.ShrinkEndpoint(name, usable-count)
	if freed <= 0 {
		return "", false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	w.shares[name].Repay(lender, min(freed, count))
	return lender, true
}

// backend answers peers for the instance.
type backend struct {
	instance *Instance
}

// Lost reports whether this instance has lost the primary of a group's term.
func (b *backend) Lost(groupName string, term uint64) bool {
	w := b.watched(groupName)
	return w != nil && w.monitor.Lost(termOf(term))
}

func (b *backend) watched(groupName string) *watched {
	b.instance.mu.Lock()
	defer b.instance.mu.Unlock()
	return b.instance.groups[groupName]
}

// Evidence returns nothing: each instance probes its endpoints itself.
func (b *backend) Evidence([]string) peer.AllEvidence { return peer.AllEvidence{} }

// Revoke does nothing: promoters wait leases out here.
func (b *backend) Revoke(string, uint64) {}

// Cancel cancels the statement of a caller's session here.
func (b *backend) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	return b.instance.server.Cancel(ctx, pid, secret)
}

// find returns the group and shares of an endpoint, or nil.
func (b *backend) find(name string) (*watched, *pool.Shares) {
	b.instance.mu.Lock()
	defer b.instance.mu.Unlock()
	for _, w := range b.instance.groups {
		if s := w.shares[name]; s != nil {
			return w, s
		}
	}
	return nil, nil
}

// Lend grants a peer's run connections that are unused here and closed for certain.
func (b *backend) Lend(name string, word pool.LoanReport) int {
	w, shares := b.find(name)
	if w == nil {
		return 0
	}
	i := b.instance
	w.lending.Lock()
	defer w.lending.Unlock()
	usage := w.group.Connections(name).Usage()
	if usage.Waiting() > 0 || word.Count <= 0 {
		return 0
	}
	i.mu.Lock()
	usable := shares.Usable()
	i.mu.Unlock()
	reached := w.group.ShrinkEndpoint(name, max(engine.MinLimit, usable-word.Count))
	i.mu.Lock()
	defer i.mu.Unlock()
	return shares.Lend(word, min(usable, shares.Usable())-reached)
}

// Reported takes a peer's word of what it holds of an endpoint's share here.
func (b *backend) Reported(name string, word pool.LoanReport) {
	_, shares := b.find(name)
	if shares == nil {
		return
	}
	b.instance.mu.Lock()
	defer b.instance.mu.Unlock()
	shares.Reported(word)
}

// Loans returns what this run holds of a peer, for each endpoint.
func (b *backend) Loans(peerName string) []loan {
	i := b.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []loan
	for _, w := range i.watchedGroups() {
		for _, m := range w.group.Members() {
			if h, ok := w.shares[m.Endpoint].Report(peerName); ok {
				out = append(out, loan{Endpoint: m.Endpoint, Holding: h})
			}
		}
	}
	return out
}
