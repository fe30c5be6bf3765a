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
		c = peerv1connect.NewPeerServiceClient(n.cfg.Client, n.cfg.Scheme+"://"+address, clientOptions())
		n.clients[address] = c
	}
	return c
}

// callResult is a peer's answer to a call, or the call's error.
type callResult[A any] struct {
	peer     membership.Identity
	response A
	err      error
}

// callAll calls all peers concurrently, within the node's timeout, and returns the results in the order of arrival.
func callAll[A any](ctx context.Context, n *Node, peers []membership.Identity, call func(context.Context, peerv1connect.PeerServiceClient) (A, error)) []callResult[A] {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	results := make(chan callResult[A], len(peers))
	for _, p := range peers {
		go func() {
			resp, err := call(ctx, n.client(p.PeerAddress()))
			results <- callResult[A]{peer: p, response: resp, err: err}
		}()
	}
	out := make([]callResult[A], 0, len(peers))
	for range peers {
		out = append(out, <-results)
	}
	return out
}

// QueryViews queries peers for their views on the primary of a group's term and calls deliver with each answer as it
// arrives, possibly from several goroutines at once.
func (n *Node) QueryViews(ctx context.Context, peers []membership.Identity, groupName string, term group.Term, deliver func(failover.View)) {
	req := &peerv1.ViewRequest{Group: groupName, Term: uint64(term)}
	callAll(ctx, n, peers, func(ctx context.Context, c peerv1connect.PeerServiceClient) (struct{}, error) {
		resp, err := c.View(ctx, connect.NewRequest(req))
		if err == nil {
			deliver(failover.View{Instance: resp.Msg.GetInstance(), Term: term, Lost: resp.Msg.GetLost()})
		}
		return struct{}{}, err
	})
}

// revokeTimeout bounds the revocation of leases; the lease of an instance that takes longer must expire instead.
const revokeTimeout = 300 * time.Millisecond

// Revoke requests that peers end the leases of a group that r names, and returns the names of those that confirmed.
//
// It calls the live instances and the others for which holds reports true: an instance that shuts down has left the fleet,
// but serves its callers until they have finished.
func (n *Node) Revoke(ctx context.Context, groupName string, r failover.Revoke, holds func(name string) bool) []string {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	var peers []membership.Identity
	for _, p := range n.Presences() {
		name := p.Identity().Name()
		if name != n.cfg.Self.Name() && (p.State() == membership.StateAlive || holds(name)) {
			peers = append(peers, p.Identity())
		}
	}
	req := &peerv1.RevokeRequest{Group: groupName, Term: uint64(r.Term), ReportedTerm: uint64(r.Reported), OrderedEndpoints: r.Ordered}
	results := callAll(ctx, n, peers, func(ctx context.Context, c peerv1connect.PeerServiceClient) (struct{}, error) {
		_, err := c.Revoke(ctx, connect.NewRequest(req))
		return struct{}{}, err
	})
	var revoked []string
	for _, r := range results {
		if r.err == nil {
			revoked = append(revoked, r.peer.Name())
		}
	}
	return revoked
}

// Cancel forwards a cancel request to the instance that holds the given seat.
func (n *Node) Cancel(ctx context.Context, seat uint32, pid uint32, secret []byte) {
	for _, peer := range n.Others() {
		if peer.Seat() != seat {
			continue
		}
		req := connect.NewRequest(&peerv1.CancelRequest{Pid: pid, Secret: secret})
		if _, err := n.client(peer.PeerAddress()).Cancel(ctx, req); err != nil {
			_ = n.cfg.Logger.Log("msg", "cancel not passed on", "instance", peer.Name(), "error", err.Error())
		}
	}
}

// Borrow requests connections to an endpoint from a peer and returns the number granted.
func (n *Node) Borrow(ctx context.Context, lender membership.Identity, endpoint string, sequence uint64, count int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	resp, err := n.client(lender.PeerAddress()).Borrow(ctx, connect.NewRequest(&peerv1.BorrowRequest{
		From:      identityMessage(n.cfg.Self),
		Addressed: lender.Incarnation(),
		Endpoint:  endpoint,
		Sequence:  sequence,
		Count:     uint32(count),
	}))
	if err != nil {
		return 0, err
	}
	return int(resp.Msg.GetGranted()), nil
}

// Exchange exchanges with a peer immediately, outside the regular rounds.
func (n *Node) Exchange(ctx context.Context, peer membership.Identity) {
	n.exchange(ctx, peer.PeerAddress())
}

// Replicate sends an item to the other live instances and returns once a majority of the witnesses holds it.
//
// It fails with KindOutcomeUnknown when no majority answered before ctx ended.
func (n *Node) Replicate(ctx context.Context, item ConfigItem) error {
	n.Apply(item)
	n.mu.Lock()
	witnesses := n.witnessesLocked()
	n.mu.Unlock()
	confirmed := map[string]bool{n.cfg.Self.Name(): true}
	for ctx.Err() == nil {
		n.sendItem(ctx, item, confirmed)
		if majorityConfirmed(witnesses, confirmed) {
			return nil
		}
		select {
		case <-time.After(replicateRetryDelay):
		case <-ctx.Done():
		}
	}
	return fault.New(fault.Config{
		Kind:    fault.KindOutcomeUnknown,
		Message: "the table holds the change, but no majority of instances has confirmed it yet",
		Remedy:  "repeat the request with the same request id; the change takes effect automatically once the instances can reach each other",
	})
}

// replicateRetryDelay is the pause before an item is sent again to the instances that did not answer.
const replicateRetryDelay = 50 * time.Millisecond

func majorityConfirmed(witnesses []string, confirmed map[string]bool) bool {
	count := 0
	for _, name := range witnesses {
		if confirmed[name] {
			count++
		}
	}
	return 2*count > len(witnesses) || len(witnesses) == 0
}

// sendItem sends the item to every live instance that has not confirmed it and adds those that answer to confirmed.
func (n *Node) sendItem(ctx context.Context, item ConfigItem, confirmed map[string]bool) {
	var unconfirmed []membership.Identity
	for _, peer := range n.Others() {
		if !confirmed[peer.Name()] {
			unconfirmed = append(unconfirmed, peer)
		}
	}
	req := &peerv1.ExchangeRequest{News: &peerv1.News{
		From:       identityMessage(n.cfg.Self),
		FreshAgeMs: -1,
		Items:      []*peerv1.Item{itemMessage(item)},
	}}
	results := callAll(ctx, n, unconfirmed, func(ctx context.Context, c peerv1connect.PeerServiceClient) (struct{}, error) {
		_, err := c.Exchange(ctx, connect.NewRequest(req))
		return struct{}{}, err
	})
	for _, r := range results {
		if r.err == nil {
			confirmed[r.peer.Name()] = true
		}
	}
}

// Explain returns the recent decisions of all live instances, oldest first, and the names of the instances that did not
// answer.
func (n *Node) Explain(ctx context.Context, subject string, limit int) (events []event.Event, unreachable []string) {
	req := &peerv1.ExplainRequest{Subject: subject, Limit: uint32(limit)}
	results := callAll(ctx, n, n.Others(), func(ctx context.Context, c peerv1connect.PeerServiceClient) ([]event.Event, error) {
		resp, err := c.Explain(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		var out []event.Event
		for _, e := range resp.Msg.GetEvents() {
			out = append(out, eventOf(e))
		}
		return out, nil
	})
	events = n.cfg.Events.Recent(subject, limit)
	for _, r := range results {
		if r.err != nil {
			unreachable = append(unreachable, r.peer.Name())
		}
		events = append(events, r.response...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At().Before(events[j].At()) })
	return events, unreachable
}
