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

// StoreEvidence says when the store was asked and told of no promotion of a group past a term.
type StoreEvidence struct {
	Group  string
	Term   group.Term
	SentAt time.Time
}

// AllEvidence is what an instance knows of leases.
type AllEvidence struct {
	Members []Evidence
	Stores  []StoreEvidence
	// Configuration and Endpoints are the newest versions that the instance has of them.
	Configuration uint64
	Endpoints     uint64
}

// evidenceTimeout bounds the call for evidence, which is worthless once it is as old as a lease.
const evidenceTimeout = 400 * time.Millisecond

// Evidence asks a peer what it has heard of the members of some groups; without any it asks for the versions only.
//
// The times are on this instance's clock: the age that the peer tells counts from
// before the question was sent, so that no evidence looks younger than it is.
func (n *Node) Evidence(ctx context.Context, from membership.Identity, groups []string) (AllEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	askedAt := clock.Now()
	a, err := n.client(from.PeerAddress()).Evidence(ctx, connect.NewRequest(&peerv1.EvidenceRequest{Groups: groups}))
	if err != nil {
		return AllEvidence{}, err
	}
	out := AllEvidence{Configuration: a.Msg.GetConfiguration(), Endpoints: a.Msg.GetEndpoints()}
	for _, m := range a.Msg.GetMembers() {
		out.Members = append(out.Members, evidenceOf(m, askedAt))
	}
	for _, s := range a.Msg.GetStores() {
		out.Stores = append(out.Stores, StoreEvidence{
			Group: s.GetGroup(), Term: group.Term(s.GetTerm()), SentAt: since(askedAt, s.GetAgeUs()),
		})
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
		SentAt: since(askedAt, m.GetAgeUs()),
	}
}

func since(askedAt time.Time, ageMicros uint64) time.Time {
	return askedAt.Add(-time.Duration(ageMicros) * time.Microsecond)
}

func ageMicros(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Microseconds())) + 1 }

// Evidence returns what this instance has heard of the members; ages are rounded up.
func (h *handler) Evidence(_ context.Context, r *connect.Request[peerv1.EvidenceRequest]) (*connect.Response[peerv1.EvidenceResponse], error) {
	a := &peerv1.EvidenceResponse{}
	all := h.node.cfg.Backend.Evidence(r.Msg.GetGroups())
	a.Configuration, a.Endpoints = all.Configuration, all.Endpoints
	now := clock.Now()
	for _, s := range all.Stores {
		a.Stores = append(a.Stores, &peerv1.StoreEvidence{Group: s.Group, Term: uint64(s.Term), AgeUs: ageMicros(now, s.SentAt)})
	}
	for _, e := range all.Members {
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
			AgeUs:            ageMicros(now, e.SentAt),
		})
	}
	return connect.NewResponse(a), nil
}
