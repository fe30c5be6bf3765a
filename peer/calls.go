package peer

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
)

func (n *Node) client(address string) peerv1connect.PeerServiceClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.clients[address]
	if c == nil {
		c = peerv1connect.NewPeerServiceClient(n.cfg.Client, n.cfg.Scheme+"://"+address)
		n.clients[address] = c
	}
	return c
}

// answered pairs a peer with its answer to a call.
type answered[A any] struct {
	peer   membership.Identity
	answer A
	err    error
}

// askAll makes one call of each peer at the same time, within the node's time bound.
func askAll[A any](ctx context.Context, n *Node, peers []membership.Identity, call func(context.Context, peerv1connect.PeerServiceClient) (A, error)) []answered[A] {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	results := make(chan answered[A], len(peers))
	for _, p := range peers {
		go func() {
			a, err := call(ctx, n.client(p.PeerAddress()))
			results <- answered[A]{peer: p, answer: a, err: err}
		}()
	}
	out := make([]answered[A], 0, len(peers))
	for range peers {
		out = append(out, <-results)
	}
	return out
}

// Views asks peers whether they have lost the primary of a group's term; it calls back with each answer as it comes.
func (n *Node) Views(ctx context.Context, peers []membership.Identity, groupName string, term group.Term, back func(failover.View)) {
	q := &peerv1.ViewRequest{Group: groupName, Term: uint64(term)}
	askAll(ctx, n, peers, func(ctx context.Context, c peerv1connect.PeerServiceClient) (struct{}, error) {
		a, err := c.View(ctx, connect.NewRequest(q))
		if err == nil {
			back(failover.View{Instance: a.Msg.GetInstance(), Term: term, Lost: a.Msg.GetLost()})
		}
		return struct{}{}, err
	})
}

// revokeTimeout bounds the revocation of leases; whoever takes longer has its lease waited out.
const revokeTimeout = 300 * time.Millisecond

// Revoke asks all other live instances to end the lease of a group's primary, up to a term, and returns the names of those that did.
func (n *Node) Revoke(ctx context.Context, groupName string, term group.Term) []string {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	q := &peerv1.RevokeRequest{Group: groupName, Term: uint64(term)}
	results := askAll(ctx, n, n.Others(), func(ctx context.Context, c peerv1connect.PeerServiceClient) (struct{}, error) {
		_, err := c.Revoke(ctx, connect.NewRequest(q))
		return struct{}{}, err
	})
	var done []string
	for _, r := range results {
		if r.err == nil {
			done = append(done, r.peer.Name())
		}
	}
	return done
}

// Cancel passes a cancel request on to the instance with the given number.
func (n *Node) Cancel(ctx context.Context, number uint32, pid uint32, secret []byte) {
	for _, one := range n.Others() {
		if one.Number() != number {
			continue
		}
		q := connect.NewRequest(&peerv1.CancelRequest{Pid: pid, Secret: secret})
		if _, err := n.client(one.PeerAddress()).Cancel(ctx, q); err != nil {
			_ = n.cfg.Logger.Log("msg", "cancel not passed on", "instance", one.Name(), "error", err.Error())
		}
	}
}

// Borrow asks a peer for connections to an endpoint and returns how many it granted.
func (n *Node) Borrow(ctx context.Context, lender membership.Identity, endpoint string, sequence uint64, count int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	a, err := n.client(lender.PeerAddress()).Borrow(ctx, connect.NewRequest(&peerv1.BorrowRequest{
		From:      identityMessage(n.cfg.Self),
		Addressed: lender.Incarnation(),
		Endpoint:  endpoint,
		Sequence:  sequence,
		Count:     uint32(count),
	}))
	if err != nil {
		return 0, err
	}
	return int(a.Msg.GetGranted()), nil
}

// Exchange tells a peer the news at once.
func (n *Node) Exchange(ctx context.Context, peer membership.Identity) {
	n.exchange(ctx, peer.PeerAddress())
}

// Spread hands an item to the others and returns once a majority of the witnesses holds it.
//
// It fails with KindOutcomeUnknown when no majority answered before ctx ended.
func (n *Node) Spread(ctx context.Context, item ConfigItem) error {
	n.Apply(item)
	n.mu.Lock()
	witnesses := n.witnessesLocked()
	n.mu.Unlock()
	holds := map[string]bool{n.cfg.Self.Name(): true}
	for ctx.Err() == nil {
		n.offer(ctx, item, holds)
		if majorityHolds(witnesses, holds) {
			return nil
		}
		select {
		case <-time.After(spreadPause):
		case <-ctx.Done():
		}
	}
	return fault.New(fault.Config{
		Kind:    fault.KindOutcomeUnknown,
		Message: "the table holds the change, but no majority of instances has confirmed it yet",
		Remedy:  "repeat the request with the same request id; the change comes into force by itself once instances reach each other",
	})
}

// spreadPause is the wait before an item is offered again to those that did not answer.
const spreadPause = 50 * time.Millisecond

func majorityHolds(witnesses []string, holds map[string]bool) bool {
	count := 0
	for _, name := range witnesses {
		if holds[name] {
			count++
		}
	}
	return 2*count > len(witnesses) || len(witnesses) == 0
}

// offer sends the item to every live instance that does not hold it yet.
func (n *Node) offer(ctx context.Context, item ConfigItem, holds map[string]bool) {
	var missing []membership.Identity
	for _, one := range n.Others() {
		if !holds[one.Name()] {
			missing = append(missing, one)
		}
	}
	q := &peerv1.ExchangeRequest{News: &peerv1.News{
		From:       identityMessage(n.cfg.Self),
		FreshAgeMs: -1,
		Items:      []*peerv1.Item{itemMessage(item)},
	}}
	results := askAll(ctx, n, missing, func(ctx context.Context, c peerv1connect.PeerServiceClient) (struct{}, error) {
		_, err := c.Exchange(ctx, connect.NewRequest(q))
		return struct{}{}, err
	})
	for _, r := range results {
		if r.err == nil {
			holds[r.peer.Name()] = true
		}
	}
}

// Explain returns the recent decisions of all live instances, oldest first, and the names of those that did not answer.
func (n *Node) Explain(ctx context.Context, subject string, limit int) (events []event.Event, unreachable []string) {
	q := &peerv1.ExplainRequest{Subject: subject, Limit: uint32(limit)}
	results := askAll(ctx, n, n.Others(), func(ctx context.Context, c peerv1connect.PeerServiceClient) ([]event.Event, error) {
		a, err := c.Explain(ctx, connect.NewRequest(q))
		if err != nil {
			return nil, err
		}
		var out []event.Event
		for _, e := range a.Msg.GetEvents() {
			out = append(out, newEvent(e))
		}
		return out, nil
	})
	events = n.cfg.Events.Recent(subject, limit)
	for _, r := range results {
		if r.err != nil {
			unreachable = append(unreachable, r.peer.Name())
		}
		events = append(events, r.answer...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At().Before(events[j].At()) })
	return events, unreachable
}
