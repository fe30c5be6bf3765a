package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/store"
)

// MemberEvidence is a member's status and the time at which an instance sent the query for it.
type MemberEvidence struct {
	Group  string
	Status group.Status
	SentAt time.Time
}

// StoreEvidence records a store query, sent at SentAt, that returned no promotion of the group beyond Term.
type StoreEvidence struct {
	Group  string
	Term   group.Term
	SentAt time.Time
}

// LeaseEvidence holds the lease evidence of an instance and the versions of its data.
type LeaseEvidence struct {
	Members []MemberEvidence
	Stores  []StoreEvidence
	// Configuration is the version of the configuration in force on the instance, and Endpoints the position in the store of
	// the newest change of an endpoint that it knows.
	Configuration uint64
	Endpoints     store.Position
	// ConfirmedAsOf is the time as of which Configuration is known to be the newest version, or zero without such a proof.
	ConfirmedAsOf time.Time
	// StoreEra is the newest era of the store that the instance knows.
	StoreEra uint64
}

// evidenceTimeout bounds a call for evidence; evidence as old as a lease is worthless.
const evidenceTimeout = 400 * time.Millisecond

// Evidence queries a peer's lease evidence for the given groups; without groups it queries only the versions.
//
// The times are on this instance's clock. Ages are subtracted from the time
// before the request was sent, so that evidence never appears newer than it is.
func (n *Node) Evidence(ctx context.Context, from membership.Identity, groups []string) (LeaseEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	requestedAt := clock.Now()
	resp, err := n.client(from.PeerAddress()).Evidence(ctx, connect.NewRequest(&peerv1.EvidenceRequest{Groups: groups}))
	if err != nil {
		return LeaseEvidence{}, err
	}
	evidence := LeaseEvidence{
		Configuration: resp.Msg.GetConfiguration(),
		Endpoints:     store.NewPosition(resp.Msg.GetEndpointsEra(), resp.Msg.GetEndpoints()),
		StoreEra:      resp.Msg.GetStoreEra(),
	}
	if age := resp.Msg.GetConfigurationAgeUs(); age > 0 {
		evidence.ConfirmedAsOf = sentAtOf(requestedAt, age)
	}
	for _, m := range resp.Msg.GetMembers() {
		evidence.Members = append(evidence.Members, evidenceOf(m, requestedAt))
	}
	for _, s := range resp.Msg.GetStores() {
		evidence.Stores = append(evidence.Stores, StoreEvidence{
			Group: s.GetGroup(), Term: group.Term(s.GetTerm()), SentAt: sentAtOf(requestedAt, s.GetAgeUs()),
		})
	}
	return evidence, nil
}

func evidenceOf(m *peerv1.MemberEvidence, requestedAt time.Time) MemberEvidence {
	return MemberEvidence{
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
		SentAt: sentAtOf(requestedAt, m.GetAgeUs()),
	}
}

func sentAtOf(requestedAt time.Time, ageMicros uint64) time.Time {
	return requestedAt.Add(-time.Duration(ageMicros) * time.Microsecond)
}

// ageMicros returns the time from at to now in microseconds, rounded up and at least 1.
func ageMicros(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Microseconds())) + 1 }

// Evidence returns this instance's lease evidence; ages are rounded up.
func (h *handler) Evidence(_ context.Context, req *connect.Request[peerv1.EvidenceRequest]) (*connect.Response[peerv1.EvidenceResponse], error) {
	resp := &peerv1.EvidenceResponse{}
	all := h.node.cfg.Backend.Evidence(req.Msg.GetGroups())
	resp.Configuration, resp.StoreEra = all.Configuration, all.StoreEra
	resp.Endpoints, resp.EndpointsEra = all.Endpoints.Version(), all.Endpoints.Era()
	now := clock.Now()
	if !all.ConfirmedAsOf.IsZero() {
		resp.ConfigurationAgeUs = ageMicros(now, all.ConfirmedAsOf)
	}
	for _, s := range all.Stores {
		resp.Stores = append(resp.Stores, &peerv1.StoreEvidence{Group: s.Group, Term: uint64(s.Term), AgeUs: ageMicros(now, s.SentAt)})
	}
	for _, e := range all.Members {
		s := e.Status
		resp.Members = append(resp.Members, &peerv1.MemberEvidence{
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
	return connect.NewResponse(resp), nil
}
