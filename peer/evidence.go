package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
)

// Evidence is what an instance has heard of a member, and when that was asked for.
type Evidence struct {
	Group  string
	Status group.Status
	SentAt time.Time
}

// evidenceTimeout bounds the call for evidence, which is worthless once it is as old as a lease.
const evidenceTimeout = 400 * time.Millisecond

// Evidence asks a peer what it has heard of the members.
//
// The times are on this instance's clock: the age that the peer tells counts from
// before the question was sent, so that no evidence looks younger than it is.
func (n *Node) Evidence(ctx context.Context, from membership.Identity) ([]Evidence, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	askedAt := clock.Now()
	a, err := n.client(from.PeerAddress()).Evidence(ctx, connect.NewRequest(&peerv1.EvidenceRequest{}))
	if err != nil {
		return nil, err
	}
	out := make([]Evidence, 0, len(a.Msg.GetMembers()))
	for _, m := range a.Msg.GetMembers() {
		out = append(out, evidenceOf(m, askedAt))
	}
	return out, nil
}

func evidenceOf(m *peerv1.MemberEvidence, askedAt time.Time) Evidence {
	return Evidence{
		Group: m.GetGroup(),
		Status: group.NewStatus(group.StatusConfig{
			Endpoint:    m.GetEndpoint(),
			Role:        group.Role(m.GetRole()),
			Point:       group.NewPoint(group.Term(m.GetTerm()), group.Position(m.GetPosition())),
			Received:    group.NewPoint(group.Term(m.GetReceivedTerm()), group.Position(m.GetReceivedPosition())),
			Promised:    group.Term(m.GetPromised()),
			Attempt:     m.GetAttempt(),
			Busy:        int(m.GetBusy()),
			Connections: int(m.GetConnections()),
		}),
		SentAt: askedAt.Add(-time.Duration(m.GetAgeUs()) * time.Microsecond),
	}
}

// Evidence returns what this instance has heard of the members; ages are rounded up.
func (h *handler) Evidence(context.Context, *connect.Request[peerv1.EvidenceRequest]) (*connect.Response[peerv1.EvidenceResponse], error) {
	a := &peerv1.EvidenceResponse{}
	list := h.node.cfg.Backend.Evidence()
	now := clock.Now()
	for _, e := range list {
		s := e.Status
		a.Members = append(a.Members, &peerv1.MemberEvidence{
			Group:            e.Group,
			Endpoint:         s.Endpoint(),
			Role:             uint32(s.Role()),
			Term:             uint64(s.Point().Term()),
			Position:         uint64(s.Point().Position()),
			ReceivedTerm:     uint64(s.Received().Term()),
			ReceivedPosition: uint64(s.Received().Position()),
			Promised:         uint64(s.Promised()),
			Attempt:          s.Attempt(),
			Busy:             uint32(s.Busy()),
			Connections:      uint32(s.Connections()),
			AgeUs:            uint64(max(0, now.Sub(e.SentAt).Microseconds())) + 1,
		})
	}
	return connect.NewResponse(a), nil
}
