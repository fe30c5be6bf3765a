package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// handler serves the calls of peers.
type handler struct {
	peerv1connect.UnimplementedPeerServiceHandler
	node *Node
}

// Exchange applies a peer's update and returns this instance's update.
func (h *handler) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	update := req.Msg.GetNews()
	h.node.applyUpdate(update)
	return connect.NewResponse(&peerv1.ExchangeResponse{News: h.node.newUpdate(update.GetFrom().GetName())}), nil
}

// Repair returns the items and presences of the buckets whose digests differ, at most maxRepair of each.
func (h *handler) Repair(_ context.Context, req *connect.Request[peerv1.RepairRequest]) (*connect.Response[peerv1.RepairResponse], error) {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := &peerv1.RepairResponse{}
	items := n.items.Differing(req.Msg.GetConfigBuckets(), maxRepair)
	for _, item := range items {
		resp.Items = append(resp.Items, itemMessage(item))
	}
	resp.Complete = len(items) < maxRepair
	for _, p := range n.roster.Presences().Differing(req.Msg.GetPresenceBuckets(), maxRepair) {
		resp.Presences = append(resp.Presences, presenceMessage(p))
	}
	return connect.NewResponse(resp), nil
}

// View reports whether this instance has lost contact with the primary of a group's term.
func (h *handler) View(_ context.Context, req *connect.Request[peerv1.ViewRequest]) (*connect.Response[peerv1.ViewResponse], error) {
	return connect.NewResponse(&peerv1.ViewResponse{
		Instance: h.node.cfg.Self.Name(),
		Lost:     h.node.cfg.Backend.PrimaryLost(req.Msg.GetGroup(), req.Msg.GetTerm()),
	}), nil
}

// Revoke ends the leases of a group's primary on this instance.
func (h *handler) Revoke(_ context.Context, req *connect.Request[peerv1.RevokeRequest]) (*connect.Response[peerv1.RevokeResponse], error) {
	h.node.cfg.Backend.Revoke(req.Msg.GetGroup(), failover.Revoke{
		Term:     group.Term(req.Msg.GetTerm()),
		Reported: group.Term(req.Msg.GetReportedTerm()),
		Ordered:  req.Msg.GetOrderedEndpoints(),
	})
	return connect.NewResponse(&peerv1.RevokeResponse{}), nil
}

// Cancel cancels the statement of a caller's session on this instance.
func (h *handler) Cancel(ctx context.Context, req *connect.Request[peerv1.CancelRequest]) (*connect.Response[peerv1.CancelResponse], error) {
	found := h.node.cfg.Backend.Cancel(ctx, req.Msg.GetPid(), req.Msg.GetSecret())
	return connect.NewResponse(&peerv1.CancelResponse{Found: found}), nil
}

// Borrow lends a peer connections to an endpoint.
func (h *handler) Borrow(_ context.Context, req *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	granted := h.node.cfg.Backend.Lend(req.Msg.GetEndpoint(), pool.LoanReport{
		Peer:              req.Msg.GetFrom().GetName(),
		Incarnation:       req.Msg.GetFrom().GetIncarnation(),
		LenderIncarnation: req.Msg.GetAddressed(),
		Sequence:          req.Msg.GetSequence(),
		Count:             int(req.Msg.GetCount()),
	})
	return connect.NewResponse(&peerv1.BorrowResponse{Granted: uint32(granted)}), nil
}

// Explain returns this instance's recent decisions.
func (h *handler) Explain(_ context.Context, req *connect.Request[peerv1.ExplainRequest]) (*connect.Response[peerv1.ExplainResponse], error) {
	resp := &peerv1.ExplainResponse{}
	for _, e := range h.node.cfg.Events.Recent(req.Msg.GetSubject(), int(req.Msg.GetLimit())) {
		resp.Events = append(resp.Events, &peerv1.Event{
			AtUnixNano: e.At().UnixNano(),
			Instance:   h.node.cfg.Self.Name(),
			Subject:    e.Subject(),
			Decision:   e.Decision(),
			Evidence:   e.Evidence(),
		})
	}
	return connect.NewResponse(resp), nil
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
