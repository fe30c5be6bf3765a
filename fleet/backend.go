package fleet

import (
	"context"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/pool"
	"github.com/monsoontiller/monsoontiller/route"
)

// backend handles the requests of peers.
//
// It lends no connections: each member's connection limit is divided by the number of homes.
type backend[L Link[L]] struct {
	instance *Instance[L]
}

// PrimaryLost reports whether this instance has lost the primary of a group's term.
func (b *backend[L]) PrimaryLost(name string, term uint64) bool {
	w := b.instance.members.find(name)
	if w == nil {
		return false
	}
	lost, evidence := w.monitor.PrimaryLost(group.Term(term))
	logLine(b.instance.cfg.Logger, "level", "info", "msg", "view_answered", "group", name, "term", term, "lost", lost, "evidence", evidence)
	return lost
}

// ItemApplied applies an item that a peer received from the store.
func (b *backend[L]) ItemApplied(item peer.ConfigItem) { b.instance.itemApplied(item) }

// Evidence returns this instance's lease evidence of the given groups, without those whose lease is revoked.
func (b *backend[L]) Evidence(groups []string) peer.LeaseEvidence {
	// The proof is read before the version, so that it never covers an older version than the one that it confirmed.
	confirmedAsOf, _ := b.instance.ConfirmedAsOf()
	version, _ := b.instance.directory.Version()
	era, _ := b.instance.era.Current()
	out := peer.LeaseEvidence{Configuration: version, Endpoints: b.instance.members.Position(), StoreEra: era, ConfirmedAsOf: confirmedAsOf}
	for _, name := range groups {
		g := b.instance.members.group(name)
		if g == nil {
			continue
		}
		revoked := false
		g.View(func(t *route.Tracker) { revoked = t.LeaseRevoked() })
		if revoked {
			continue
		}
		for _, e := range g.Evidence() {
			out.Members = append(out.Members, peer.MemberEvidence{Group: g.Name(), Status: e.Status, SentAt: e.SentAt})
		}
		g.View(func(t *route.Tracker) {
			if at := t.StoreConfirmedAt(); !at.IsZero() {
				out.Stores = append(out.Stores, peer.StoreEvidence{Group: g.Name(), Term: t.Term(), SentAt: at})
			}
		})
	}
	return out
}

// Revoke ends the leases of a group that r names on this instance.
func (b *backend[L]) Revoke(name string, r failover.Revoke) { b.instance.revoke(name, r) }

// PeerChanged adapts the homes and the shares of connections to a change of the fleet.
func (b *backend[L]) PeerChanged() { b.instance.members.changed.Signal() }

// Cancel reports false: the protocol of the callers has no cancel requests.
func (b *backend[L]) Cancel(context.Context, uint32, []byte) bool { return false }

// Lend returns 0, since no connections are lent.
func (b *backend[L]) Lend(string, pool.LoanReport) int { return 0 }

// ApplyReport ignores the report of a loan.
func (b *backend[L]) ApplyReport(string, pool.LoanReport) {}

// Loans returns no loans.
func (b *backend[L]) Loans(string) []peer.Loan { return nil }

// LendTokens gives up quota tokens that the operations here do not need, and returns their amounts by account.
func (b *backend[L]) LendTokens(amounts map[string]float64) map[string]float64 {
	return b.instance.quotas.Lend(amounts)
}
