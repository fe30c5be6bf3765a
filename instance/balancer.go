package instance

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/pool"
)

// balancer borrows connections from other seats while requests wait for an endpoint, and returns idle ones.
type balancer struct {
	instance *Instance
	// idleSince is when idle connections to an endpoint were first seen while no requests waited there.
	idleSince map[string]time.Time
	// borrowCalls counts the calls of borrow, which select the lenders in turn.
	borrowCalls int
}

// Name returns the service's name.
func (b *balancer) Name() string { return "balancer" }

// Run balances each endpoint at every interval until ctx ends.
func (b *balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(balanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.balance(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *balancer) balance(ctx context.Context) {
	for _, w := range b.instance.allGroups() {
		for _, m := range w.group.Members() {
			b.balanceEndpoint(ctx, w, m.Endpoint)
		}
	}
}

func (b *balancer) balanceEndpoint(ctx context.Context, w *watchedGroup, name string) {
	conns := w.group.Connections(name)
	b.applyLimit(w, name)
	usage := conns.Usage()
	switch {
	case usage.Waiting() > 0 && usage.Open() >= usage.Limit():
		delete(b.idleSince, name)
		b.borrow(ctx, w, name)
	case usage.Waiting() == 0 && usage.Idle() > 0:
		b.repayWhenIdle(ctx, w, name)
	default:
		delete(b.idleSince, name)
	}
}

// applyLimit sets the pool's limit to the number of usable connections.
//
// This only raises the limit: Lend and repay shrink the pool before they reduce that number.
func (b *balancer) applyLimit(w *watchedGroup, name string) {
	w.limitMu.Lock()
	defer w.limitMu.Unlock()
	i := b.instance
	i.mu.Lock()
	usable := w.shares[name].Usable()
	i.mu.Unlock()
	w.group.SetEndpointLimit(name, usable)
}

// borrow requests connections to an endpoint from one peer; successive calls select the peers in turn.
func (b *balancer) borrow(ctx context.Context, w *watchedGroup, name string) {
	peers := b.instance.node.Others()
	if len(peers) == 0 {
		return
	}
	b.borrowCalls++
	lender := peers[b.borrowCalls%len(peers)]
	granted := b.requestLoan(ctx, w.shares[name], lender, name)
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

func (b *balancer) requestLoan(ctx context.Context, shares *pool.Shares, lender membership.Identity, name string) int {
	i := b.instance
	i.mu.Lock()
	sequence, ok := shares.BeginBorrow(lender.Name())
	i.mu.Unlock()
	if !ok {
		return 0
	}
	granted, err := i.node.Borrow(ctx, lender, name, sequence, borrowStep)
	if err != nil {
		granted = 0
	}
	i.mu.Lock()
	shares.CompleteBorrow(lender.Name(), granted)
	i.mu.Unlock()
	return granted
}

// repayWhenIdle returns a loan once connections have been idle for idleBeforeRepay.
func (b *balancer) repayWhenIdle(ctx context.Context, w *watchedGroup, name string) {
	now := clock.Now()
	if b.idleSince[name].IsZero() {
		b.idleSince[name] = now
	}
	if now.Sub(b.idleSince[name]) < idleBeforeRepay {
		return
	}
	i := b.instance
	lender, ok := b.repay(w, name)
	if !ok {
		return
	}
	for _, p := range i.node.Others() {
		if p.Name() == lender {
			i.node.Exchange(ctx, p)
		}
	}
}

// repay closes unused connections, at most as many as one lender has lent, and removes them from the usable shares.
// ok is false if it closed none.
func (b *balancer) repay(w *watchedGroup, name string) (lender string, ok bool) {
	w.limitMu.Lock()
	defer w.limitMu.Unlock()
	i := b.instance
	i.mu.Lock()
	lender, count := w.shares[name].RepayableLoan()
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

// backend handles the requests of peers.
type backend struct {
	instance *Instance
}

// PrimaryLost reports whether this instance has lost contact with the primary of a group's term.
func (b *backend) PrimaryLost(groupName string, term uint64) bool {
	w := b.findGroup(groupName)
	if w == nil {
		return false
	}
	lost, _ := w.monitor.PrimaryLost(termOf(term))
	return lost
}

func (b *backend) findGroup(groupName string) *watchedGroup {
	b.instance.mu.Lock()
	defer b.instance.mu.Unlock()
	return b.instance.groups[groupName]
}

// Evidence returns no evidence: each instance probes the endpoints itself.
func (b *backend) Evidence([]string) peer.LeaseEvidence { return peer.LeaseEvidence{} }

// LendTokens returns nothing, since this instance holds no quota tokens.
func (b *backend) LendTokens(map[string]float64) map[string]float64 { return nil }

// Revoke does nothing: a promotion waits until the leases have ended.
func (b *backend) Revoke(string, failover.Revoke) {}

// Cancel cancels the running statement of a session on this instance, and reports whether the session was found.
func (b *backend) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	return b.instance.server.Cancel(ctx, pid, secret)
}

// findEndpoint returns the group and the shares of an endpoint, or nil.
func (b *backend) findEndpoint(name string) (*watchedGroup, *pool.Shares) {
	b.instance.mu.Lock()
	defer b.instance.mu.Unlock()
	for _, w := range b.instance.groups {
		if s := w.shares[name]; s != nil {
			return w, s
		}
	}
	return nil, nil
}

// Lend lends unused connections to a peer's run, after it has closed them here, and returns their number.
func (b *backend) Lend(name string, request pool.LoanReport) int {
	w, shares := b.findEndpoint(name)
	if w == nil {
		return 0
	}
	i := b.instance
	w.limitMu.Lock()
	defer w.limitMu.Unlock()
	usage := w.group.Connections(name).Usage()
	if usage.Waiting() > 0 || request.Count <= 0 {
		return 0
	}
	i.mu.Lock()
	usable := shares.Usable()
	i.mu.Unlock()
	newLimit := w.group.ShrinkEndpoint(name, max(engine.MinConnections, usable-request.Count))
	i.mu.Lock()
	defer i.mu.Unlock()
	return shares.Lend(request, min(usable, shares.Usable())-newLimit)
}

// ApplyReport applies a peer's report of the connections that it borrows from this seat's share of an endpoint.
func (b *backend) ApplyReport(name string, report pool.LoanReport) {
	_, shares := b.findEndpoint(name)
	if shares == nil {
		return
	}
	b.instance.mu.Lock()
	defer b.instance.mu.Unlock()
	shares.ApplyReport(report)
}

// Loans returns the connections that this run has borrowed from a peer, by endpoint. It omits endpoints with a pending
// call to borrow from that peer.
func (b *backend) Loans(peerName string) []loan {
	i := b.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []loan
	for _, w := range i.groupsLocked() {
		for _, m := range w.group.Members() {
			if holding, ok := w.shares[m.Endpoint].ReportableHolding(peerName); ok {
				out = append(out, loan{Endpoint: m.Endpoint, Holding: holding})
			}
		}
	}
	return out
}
