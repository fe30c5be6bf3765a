package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/event"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/peer/peerv1/peerv1connect"
	"github.com/monsoontiller/monsoontiller/pool"
)

// exchangeLoop exchanges with the next peers at every interval, and more often until it knows the fleet.
func (n *Node) exchangeLoop(ctx context.Context) error {
	for {
		n.round(ctx)
		wait := n.cfg.Interval
		if len(n.Others()) == 0 || n.cfg.Settled != nil && !n.cfg.Settled() {
			wait = min(wait, joinInterval)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
	}
}

const (
	// joinInterval is the pause between rounds of an instance that knows no other, or not yet the fleet: all may have
	// just started.
	joinInterval = 100 * time.Millisecond
	// joinTimeout bounds its exchanges, since seeds may be down.
	joinTimeout = 300 * time.Millisecond
)

// round exchanges with this round's targets at the same time and waits for all.
func (n *Node) round(ctx context.Context) {
	now := clock.Now()
	n.mu.Lock()
	var addresses []string
	for _, t := range n.roster.Targets(now) {
		addresses = append(addresses, t.PeerAddress())
	}
	n.mu.Unlock()
	alone := len(addresses) == 0
	if alone {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, joinTimeout)
		defer cancel()
	}
	addresses = append(addresses, n.unknownSeeds(alone)...)
	ends := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			n.exchange(ctx, address)
			ends <- struct{}{}
		}()
	}
	for range addresses {
		<-ends
	}
	n.expire()
}

// unknownSeeds returns the seeds that are not known to live: all of them for an instance that knows no other, else one in turn.
//
// Through them a fleet that was split finds together.
func (n *Node) unknownSeeds(all bool) []string {
	known := map[string]bool{n.cfg.Self.PeerAddress(): true}
	for _, one := range n.Others() {
		known[one.PeerAddress()] = true
	}
	var unknown []string
	for range n.cfg.Seeds {
		n.seedTurn++
		seed := n.cfg.Seeds[n.seedTurn%len(n.cfg.Seeds)]
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

// expire declares dead the watched peers that have been silent for too long.
func (n *Node) expire() {
	n.mu.Lock()
	dead := n.roster.Expire(clock.Now())
	n.mu.Unlock()
	for _, one := range dead {
		n.cfg.Events.Add(event.Config{
			Subject:  "instance/" + one.Name(),
			Decision: "instance_declared_dead",
			Evidence: "no answer to heartbeats for " + n.cfg.DeadAfter.String(),
		})
	}
	if len(dead) > 0 {
		n.cfg.Backend.PeerChanged()
	}
}

// exchange sends the news to one peer and takes its answer; an error is only noted by the peer's silence.
func (n *Node) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	client := n.client(address)
	sentAt := clock.Now()
	answer, err := client.Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{News: n.news(n.nameAt(address))}))
	if err != nil {
		return
	}
	news := answer.Msg.GetNews()
	n.take(news)
	complete := n.repair(ctx, client, news)
	if !complete {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshness.Exchanged(sentAt, news.GetFrom().GetName(), proofOf(news), n.witnessesLocked())
}

// proofOf returns the sender's proof of its configuration; its age was rounded up.
func proofOf(news *peerv1.News) membership.Proof {
	return membership.Proof{
		Known:   news.GetFreshAgeMs() >= 0,
		Age:     time.Duration(news.GetFreshAgeMs()) * time.Millisecond,
		Witness: news.GetWitness(),
	}
}

func (n *Node) nameAt(address string) string {
	for _, one := range n.Others() {
		if one.PeerAddress() == address {
			return one.Name()
		}
	}
	return ""
}

// maxPushed is the longest text, in bytes, that is passed on unasked. A longer one is pulled by those whose digest
// differs: passed on unasked, each instance would get it from most of its peers.
const maxPushed = 1024

// news returns what to tell a peer.
func (n *Node) news(peer string) *peerv1.News {
	loans := n.cfg.Backend.Loans(peer)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &peerv1.News{
		From:           identityMessage(n.cfg.Self),
		ConfigDigest:   uint64(n.items.Digest()),
		PresenceDigest: uint64(n.roster.Presences().Digest()),
		FreshAgeMs:     -1,
	}
	proof := n.freshness.Proof(clock.Now())
	out.Witness = proof.Witness
	if proof.Known {
		out.FreshAgeMs = proof.Age.Milliseconds() + 1
	}
	fleet := n.roster.Presences().Len()
	for _, item := range n.items.Deltas(maxDeltas, fleet) {
		if len(item.Value().Text()) <= maxPushed {
			out.Items = append(out.Items, itemMessage(item))
		}
	}
	for _, p := range n.roster.Presences().Deltas(maxDeltas, fleet) {
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

// incarnationLocked returns the run of a peer that was heard of.
func (n *Node) incarnationLocked(peer string) uint64 {
	held, ok := n.roster.Presences().Get(peer)
	if !ok {
		return 0
	}
	return held.Value().Identity().Incarnation()
}

// take applies a peer's news.
func (n *Node) take(news *peerv1.News) {
	from := identityOf(news.GetFrom())
	n.mu.Lock()
	before := n.roster.Presences().Digest()
	n.roster.Heard(clock.Now(), from)
	for _, p := range news.GetPresences() {
		n.roster.Apply(presenceOf(p))
	}
	changed := n.roster.Presences().Digest() != before
	n.mu.Unlock()
	for _, item := range news.GetItems() {
		n.Apply(itemOf(item))
	}
	for _, loan := range news.GetLoans() {
		n.cfg.Backend.Reported(loan.GetEndpoint(), pool.LoanReport{
			Peer:        from.Name(),
			Incarnation: from.Incarnation(),
			Addressed:   news.GetAddressed(),
			Sequence:    loan.GetSequence(),
			Count:       int(loan.GetCount()),
		})
	}
	if changed {
		n.cfg.Backend.PeerChanged()
	}
}

// repair fetches what the peer has and this instance lacks, and reports whether it now holds all of the peer's configuration.
func (n *Node) repair(ctx context.Context, client peerv1connect.PeerServiceClient, news *peerv1.News) bool {
	n.mu.Lock()
	sameConfig := uint64(n.items.Digest()) == news.GetConfigDigest()
	samePresence := uint64(n.roster.Presences().Digest()) == news.GetPresenceDigest()
	q := &peerv1.RepairRequest{
		ConfigBuckets:   n.items.BucketDigests(),
		PresenceBuckets: n.roster.Presences().BucketDigests(),
	}
	n.mu.Unlock()
	if sameConfig && samePresence {
		return true
	}
	answer, err := client.Repair(ctx, connect.NewRequest(q))
	if err != nil {
		return sameConfig
	}
	n.take(&peerv1.News{From: news.GetFrom(), Items: answer.Msg.GetItems(), Presences: answer.Msg.GetPresences()})
	return answer.Msg.GetComplete()
}

// Leave tells the peers, once, that this instance leaves; its own calls go on.
func (n *Node) Leave() { n.left.Do(n.leave) }

func (n *Node) leave() {
	n.mu.Lock()
	n.roster.Leave()
	others := n.roster.Others()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Timeout)
	defer cancel()
	ends := make(chan struct{}, len(others))
	told := others[:min(len(others), 2*n.cfg.Fanout)]
	for _, one := range told {
		go func() {
			n.exchange(ctx, one.PeerAddress())
			ends <- struct{}{}
		}()
	}
	for range told {
		<-ends
	}
}

func identityMessage(i membership.Identity) *peerv1.Identity {
	return &peerv1.Identity{
		Number:      i.Number(),
		Incarnation: i.Incarnation(),
		Name:        i.Name(),
		PeerAddress: i.PeerAddress(),
		DataCentre:  i.DataCentre(),
		Capacity:    i.Capacity(),
	}
}

func identityOf(m *peerv1.Identity) membership.Identity {
	return membership.NewIdentity(membership.IdentityConfig{
		Number:      m.GetNumber(),
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
	}
}

func itemOf(m *peerv1.Item) ConfigItem {
	return membership.NewItem(m.GetKey(), membership.Revision(m.GetRevision()), membership.NewEntry(membership.EntryConfig{
		Text:       m.GetText(),
		Author:     m.GetAuthor(),
		RequestID:  m.GetRequestId(),
		AcceptedAt: time.Unix(m.GetAcceptedUnix(), 0),
	}))
}
