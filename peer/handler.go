package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/pool"
)

// handler serves the calls of peers.
type handler struct {
	node *Node
}

// Exchange applies a peer's update and returns this instance's update.
func (h *handler) Exchange(_ context.Context, q *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	update := q.Msg.GetNews()
	h.node.applyUpdate(update)
	return connect.NewResponse(&peerv1.ExchangeResponse{News: h.node.newUpdate(update.GetFrom().GetName())}), nil
}

// Repair returns the items of the buckets that differ.
func (h *handler) Repair(_ context.Context, q *connect.Request[peerv1.RepairRequest]) (*connect.Response[peerv1.RepairResponse], error) {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	a := &peerv1.RepairResponse{}
	items := n.items.Differing(q.Msg.GetConfigBuckets(), maxRepair)
	for _, item := range items {
		a.Items = append(a.Items, itemMessage(item))
	}
	a.Complete = len(items) < maxRepair
	for _, p := range n.roster.Presences().Differing(q.Msg.GetPresenceBuckets(), maxRepair) {
		a.Presences = append(a.Presences, presenceMessage(p))
	}
	return connect.NewResponse(a), nil
}

// View reports whether this instance has lost the primary of a group's term.
func (h *handler) View(_ context.Context, q *connect.Request[peerv1.ViewRequest]) (*connect.Response[peerv1.ViewResponse], error) {
	return connect.NewResponse(&peerv1.ViewResponse{
		Instance: h.node.cfg.Self.Name(),
		Lost:     h.node.cfg.Backend.PrimaryLost(q.Msg.GetGroup(), q.Msg.GetTerm()),
	}), nil
}

// Revoke ends the lease of a group's primary on this instance, up to a term.
func (h *handler) Revoke(_ context.Context, q *connect.Request[peerv1.RevokeRequest]) (*connect.Response[peerv1.RevokeResponse], error) {
	h.node.cfg.Backend.Revoke(q.Msg.GetGroup(), q.Msg.GetTerm())
	return connect.NewResponse(&peerv1.RevokeResponse{}), nil
}

// Cancel cancels the statement of a caller's session on this instance.
func (h *handler) Cancel(ctx context.Context, q *connect.Request[peerv1.CancelRequest]) (*connect.Response[peerv1.CancelResponse], error) {
	found := h.node.cfg.Backend.Cancel(ctx, q.Msg.GetPid(), q.Msg.GetSecret())
	return connect.NewResponse(&peerv1.CancelResponse{Found: found}), nil
}

// Borrow lends a peer connections to an endpoint.
func (h *handler) Borrow(_ context.Context, q *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	granted := h.node.cfg.Backend.Lend(q.Msg.GetEndpoint(), pool.LoanReport{
		Peer:              q.Msg.GetFrom().GetName(),
		Incarnation:       q.Msg.GetFrom().GetIncarnation(),
		LenderIncarnation: q.Msg.GetAddressed(),
		Sequence:          q.Msg.GetSequence(),
		Count:             int(q.Msg.GetCount()),
	})
	return connect.NewResponse(&peerv1.BorrowResponse{Granted: uint32(granted)}), nil
}

// Explain returns this instance's recent decisions.
func (h *handler) Explain(_ context.Context, q *connect.Request[peerv1.ExplainRequest]) (*connect.Response[peerv1.ExplainResponse], error) {
	a := &peerv1.ExplainResponse{}
	for _, e := range h.node.cfg.Events.Recent(q.Msg.GetSubject(), int(q.Msg.GetLimit())) {
		a.Events = append(a.Events, &peerv1.Event{
			AtUnixNano: e.At().UnixNano(),
			Instance:   h.node.cfg.Self.Name(),
			Subject:    e.Subject(),
			Decision:   e.Decision(),
			Evidence:   e.Evidence(),
		})
	}
	return connect.NewResponse(a), nil
}

// eventOf converts a peer's event to the form of the event log.
func eventOf(m *peerv1.Event) event.Event {
	return event.New(event.Config{
		AtUnixNano: m.GetAtUnixNano(),
		Instance:   m.GetInstance(),
		Subject:    m.GetSubject(),
		Decision:   m.GetDecision(),
		Evidence:   m.GetEvidence(),
	})
}
