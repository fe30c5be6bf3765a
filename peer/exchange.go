package peer

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// exchangeLoop exchanges with the next peers at every interval, and more often until the instance has joined the fleet.
func (n *Node) exchangeLoop(ctx context.Context) error {
	for {
		select {
		case <-time.After(n.ExchangeRound(ctx)):
		case <-ctx.Done():
			return nil
		}
	}
}

const (
	// joinInterval is the pause between rounds of an instance that knows no other or has not joined the fleet yet. It
	// is short because all instances may have just started.
	joinInterval = 100 * time.Millisecond
	// joinTimeout bounds the exchanges of an instance that knows no other, since seeds may be down.
	joinTimeout = 300 * time.Millisecond
)

// ExchangeRound exchanges with this round's targets and some seeds concurrently. After all exchanges have ended, it
// expires silent peers, and returns the pause before the next round.
func (n *Node) ExchangeRound(ctx context.Context) time.Duration {
	now := n.cfg.Now()
	n.mu.Lock()
	var addresses []string
	for _, t := range n.roster.Targets(now) {
		addresses = append(addresses, t.PeerAddress())
	}
	n.mu.Unlock()
	noPeers := len(addresses) == 0
	if noPeers {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, joinTimeout)
		defer cancel()
	}
	addresses = append(addresses, n.unknownSeeds(noPeers)...)
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			n.exchange(ctx, address)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	n.expire()
	if len(n.Others()) == 0 || n.cfg.Joined != nil && !n.cfg.Joined() {
		return min(n.cfg.Interval, joinInterval)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.items.Spreading() || n.roster.Presences().Spreading() || !n.differedAt.Before(now) {
		return n.cfg.Interval
	}
	return n.cfg.IdleInterval
}

// unknownSeeds returns the seeds that are not known to be alive: all of them if all is set, else the next in rotation.
//
// Exchanges with them rejoin the parts of a fleet after a partition.
func (n *Node) unknownSeeds(all bool) []string {
	known := map[string]bool{n.cfg.Self.PeerAddress(): true}
	for _, other := range n.Others() {
		known[other.PeerAddress()] = true
	}
	n.mu.Lock()
	seeds := slices.Clone(n.seeds)
	n.mu.Unlock()
	var unknown []string
	for range seeds {
		n.seedIndex++
		seed := seeds[n.seedIndex%len(seeds)]
		if known[seed] {
			continue
		}
		unknown = append(unknown, seed)
		if !all {
			break
		}
	}
	return unknown
}

// expire declares dead the monitored peers that have not answered for DeadAfter.
func (n *Node) expire() {
	n.mu.Lock()
	dead := n.roster.Expire(n.cfg.Now())
	n.mu.Unlock()
	for _, peer := range dead {
		n.cfg.Events.Add(event.Config{
			Subject:  "instance/" + peer.Name(),
			Decision: "instance_declared_dead",
			Evidence: "no answer to heartbeats for " + n.cfg.DeadAfter.String(),
		})
	}
	if len(dead) > 0 {
		n.cfg.Backend.PeerChanged()
	}
}

// exchange sends an update to a peer and applies the peer's update.
//
// It returns no error: a peer that does not answer is detected by expire.
func (n *Node) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	client := n.client(address)
	sentAt := n.cfg.Now()
	resp, err := client.Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{News: n.newUpdate(n.nameOf(address))}))
	if err != nil {
		return
	}
	update := resp.Msg.GetNews()
	n.applyUpdate(update)
	complete := n.repair(ctx, client, update)
	if !complete {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.Exchanged(sentAt, update.GetFrom().GetName(), proofOf(update), n.witnessesLocked())
}

// proofOf returns the sender's proof that its configuration is current; the sender has rounded the age up.
func proofOf(update *peerv1.News) membership.Proof {
	return membership.Proof{
		Known:   update.GetFreshAgeMs() >= 0,
		Age:     time.Duration(update.GetFreshAgeMs()) * time.Millisecond,
		Witness: update.GetWitness(),
	}
}

func (n *Node) nameOf(address string) string {
	for _, other := range n.Others() {
		if other.PeerAddress() == address {
			return other.Name()
		}
	}
	return ""
}

// maxPushedBytes is the maximum length, in bytes, of an item's text that is pushed to peers. Peers whose digest differs
// pull longer items: if they were pushed, each instance would receive them from most of its peers.
const maxPushedBytes = 1024

// newUpdate returns the update to send to a peer.
func (n *Node) newUpdate(peer string) *peerv1.News {
	loans := n.cfg.Backend.Loans(peer)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &peerv1.News{
		From:           identityMessage(n.cfg.Self),
		ConfigDigest:   uint64(n.items.Digest()),
		PresenceDigest: uint64(n.roster.Presences().Digest()),
		FreshAgeMs:     -1,
	}
	proof := n.freshness.Proof(n.cfg.Now())
	out.Witness = proof.Witness
	if proof.Known {
		out.FreshAgeMs = proof.Age.Milliseconds() + 1
	}
	fleetSize := n.roster.Presences().Len()
	for _, item := range n.items.Deltas(maxDeltas, fleetSize) {
		if len(item.Value().Text()) <= maxPushedBytes {
			out.Items = append(out.Items, itemMessage(item))
		}
	}
	for _, p := range n.roster.Presences().Deltas(maxDeltas, fleetSize) {
		out.Presences = append(out.Presences, presenceMessage(p))
	}
	for _, loan := range loans {
		out.Loans = append(out.Loans, &peerv1.Loan{
			Endpoint: loan.Endpoint,
			Count:    uint32(loan.Holding.Count()),
			Sequence: loan.Holding.Sequence(),
		})
	}
	out.Addressed = n.incarnationLocked(peer)
	return out
}

// incarnationLocked returns the known incarnation of a peer, or 0 when the peer is unknown.
func (n *Node) incarnationLocked(peer string) uint64 {
	presence, ok := n.roster.Presences().Get(peer)
	if !ok {
		return 0
	}
	return presence.Value().Identity().Incarnation()
}

// applyUpdate applies a peer's update.
func (n *Node) applyUpdate(update *peerv1.News) {
	from := identityOf(update.GetFrom())
	n.mu.Lock()
	before := n.roster.Presences().Digest()
	n.roster.RecordMessage(n.cfg.Now(), from)
	for _, p := range update.GetPresences() {
		n.roster.Apply(presenceOf(p))
	}
	changed := n.roster.Presences().Digest() != before
	n.mu.Unlock()
	for _, item := range update.GetItems() {
		n.Apply(itemOf(item))
	}
	for _, loan := range update.GetLoans() {
		n.cfg.Backend.ApplyReport(loan.GetEndpoint(), pool.LoanReport{
			Peer:              from.Name(),
			Incarnation:       from.Incarnation(),
			LenderIncarnation: update.GetAddressed(),
			Sequence:          loan.GetSequence(),
			Count:             int(loan.GetCount()),
		})
	}
	if changed {
		n.cfg.Backend.PeerChanged()
	}
}

// repair fetches the items and presences of the buckets that differ from the peer's, and reports whether this instance
// now holds all of the peer's configuration.
func (n *Node) repair(ctx context.Context, client peerv1connect.PeerServiceClient, update *peerv1.News) bool {
	n.mu.Lock()
	sameConfig := uint64(n.items.Digest()) == update.GetConfigDigest()
	samePresence := uint64(n.roster.Presences().Digest()) == update.GetPresenceDigest()
	req := &peerv1.RepairRequest{}
	if !sameConfig {
		req.ConfigBuckets = n.items.BucketDigests()
	}
	if !samePresence {
		req.PresenceBuckets = n.roster.Presences().BucketDigests()
	}
	if !sameConfig || !samePresence {
		n.differedAt = n.cfg.Now()
	}
	n.mu.Unlock()
	if sameConfig && samePresence {
		return true
	}
	resp, err := client.Repair(ctx, connect.NewRequest(req))
	if err != nil {
		return sameConfig
	}
	n.applyUpdate(&peerv1.News{From: update.GetFrom(), Items: resp.Msg.GetItems(), Presences: resp.Msg.GetPresences()})
	return resp.Msg.GetComplete()
}

// Leave notifies at most 2*Fanout peers, once, that this instance leaves. The node continues to exchange and to serve
// calls.
func (n *Node) Leave() { n.leaveOnce.Do(n.leave) }

func (n *Node) leave() {
	n.mu.Lock()
	n.roster.Leave()
	others := n.roster.Others()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Timeout)
	defer cancel()
	done := make(chan struct{}, len(others))
	notified := others[:min(len(others), 2*n.cfg.Fanout)]
	for _, peer := range notified {
		go func() {
			n.exchange(ctx, peer.PeerAddress())
			done <- struct{}{}
		}()
	}
	for range notified {
		<-done
	}
}

func identityMessage(i membership.Identity) *peerv1.Identity {
	return &peerv1.Identity{
		Number:      i.Seat(),
		Incarnation: i.Incarnation(),
		Name:        i.Name(),
		PeerAddress: i.PeerAddress(),
		DataCentre:  i.DataCentre(),
		Capacity:    i.Capacity(),
	}
}

func identityOf(m *peerv1.Identity) membership.Identity {
	return membership.NewIdentity(membership.IdentityConfig{
		Seat:        m.GetNumber(),
		Incarnation: m.GetIncarnation(),
		Name:        m.GetName(),
		PeerAddress: m.GetPeerAddress(),
		DataCentre:  m.GetDataCentre(),
		Capacity:    m.GetCapacity(),
	})
}

func presenceMessage(p membership.Item[membership.Presence]) *peerv1.Presence {
	return &peerv1.Presence{
		Identity: identityMessage(p.Value().Identity()),
		Revision: uint64(p.Revision()),
		State:    uint32(p.Value().State()),
	}
}

func presenceOf(m *peerv1.Presence) membership.Item[membership.Presence] {
	id := identityOf(m.GetIdentity())
	state := membership.State(min(m.GetState(), uint32(membership.StateLeft)))
	return membership.NewItem(id.Name(), membership.Revision(m.GetRevision()), membership.NewPresence(id, state))
}

func itemMessage(item ConfigItem) *peerv1.Item {
	v := item.Value()
	return &peerv1.Item{
		Key:          item.Key(),
		Revision:     uint64(item.Revision()),
		Text:         v.Text(),
		Author:       v.Author(),
		RequestId:    v.RequestID(),
		AcceptedUnix: v.AcceptedAt().Unix(),
		Epoch:        uint64(item.Epoch()),
	}
}

func itemOf(m *peerv1.Item) ConfigItem {
	return membership.NewItem(m.GetKey(), membership.Revision(m.GetRevision()), membership.NewEntry(membership.EntryConfig{
		Text:       m.GetText(),
		Author:     m.GetAuthor(),
		RequestID:  m.GetRequestId(),
		AcceptedAt: time.Unix(m.GetAcceptedUnix(), 0),
	})).InEpoch(membership.Epoch(m.GetEpoch()))
}
