package failover

import (
	"slices"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Order is a promotion that was ordered, or may have been: its effect is known only once a primary reports it.
//
// On platforms that number the terms themselves, the member that it makes primary leads
// one of the terms after After up to Term: earlier orders may have taken effect or not.
type Order struct {
	// Endpoint is the member, or "" if it is not known.
	Endpoint string
	After    group.Term
	Term     group.Term
	// Settled means that the order can have no effect from now on: the platform has answered it, or a later one for the same
	// member, and it has had TakeOverAfter since.
	Settled bool
}

// Leads reports whether a primary of a term is in place by the order.
func (o Order) Leads(endpoint string, term group.Term) bool {
	return o.Endpoint == endpoint && o.After < term && term <= o.Term
}

// withOrder appends an order, and drops an earlier one for the same member.
func withOrder(orders []Order, o Order) []Order {
	var out []Order
	for _, earlier := range orders {
		if earlier.Endpoint != o.Endpoint {
			out = append(out, earlier)
		}
	}
	return append(out, o)
}

// openOrders reports whether the newest order may have had an effect that this machine has not seen.
func (m *Machine) openOrders() bool {
	if len(m.orders) == 0 {
		return false
	}
	newest := m.orders[len(m.orders)-1]
	if newest.Endpoint == "" {
		return newest.Term > m.term
	}
	return !newest.Leads(m.primary, m.term)
}

// adoptOrders takes over the recorded orders, and keeps what this machine knows beyond the record: that an order is settled, and
// its own newer orders, which it could not record.
func (m *Machine) adoptOrders(recorded []Order) {
	orders := append([]Order(nil), recorded...)
	for i, o := range orders {
		o.Settled = true
		orders[i].Settled = orders[i].Settled || slices.Contains(m.orders, o)
	}
	newest := recorded[len(recorded)-1].Term
	for _, o := range m.orders {
		if o.Term > newest {
			orders = append(orders, o)
		}
	}
	m.orders = orders
}

// settleOrder records that the attempt's order can have no effect from now on.
func (m *Machine) settleOrder() {
	if last := len(m.orders) - 1; last >= 0 {
		m.orders[last].Settled = true
	}
}

// boundEndpoint returns the member of an order that the platform may still run, or "".
//
// No other member is ordered until the platform answers an order for this one: it would
// be replaced by the late order, at a time that nobody knows.
func (m *Machine) boundEndpoint() string {
	if !m.cfg.AnsweredPromotions || !m.openOrders() {
		return ""
	}
	if newest := m.orders[len(m.orders)-1]; !newest.Settled {
		return newest.Endpoint
	}
	return ""
}

// settleOrders drops the orders once their effect is known: the newest one has put the new primary in place, or an order of
// another instance that followed them has.
func (m *Machine) settleOrders() {
	if !m.openOrders() {
		m.orders = nil
		return
	}
	for _, o := range m.orders {
		if o.Endpoint == "" || o.Endpoint == m.primary || m.term <= o.After {
			return
		}
	}
	m.orders = nil
}

// revocation returns the request to end all leases that the attempt must not leave in force.
//
// Those are the leases of the newest term that a member has reported, and of the members
// of the open orders. The terms between that one and the attempt's can otherwise be led
// only by the member that this attempt promotes.
func (m *Machine) revocation() Revoke {
	reported := max(m.term, m.newestTerm)
	r := Revoke{Term: reported, Attempt: m.attempt.id, Reported: reported}
	for _, o := range m.orders {
		if o.Endpoint != "" && o.Endpoint == m.attempt.bound {
			// The attempt orders the same member again, whose leases may stay in force.
			continue
		}
		r.Term = m.attempt.term - 1
		if o.Endpoint == "" {
			return Revoke{Term: r.Term, Attempt: r.Attempt, Reported: r.Term}
		}
		r.Ordered = append(r.Ordered, o.Endpoint)
	}
	return r
}

// supersededPrimary reports whether a primary is in place by an earlier order, while a later one is in flight that replaces it.
func (m *Machine) supersededPrimary(endpoint string, term group.Term) bool {
	return m.cfg.SequentialTerms && m.phase == phasePromoting && endpoint != m.attempt.chosen && term < m.attempt.term
}

// replacementOpen reports whether the primary is in place by an order that a later one, whose effect is not known, was to
// supersede.
//
// No instance holds a lease on such a primary, although it answers.
func (m *Machine) replacementOpen() bool {
	if !m.cfg.SequentialTerms || !m.openOrders() {
		return false
	}
	for _, o := range m.orders {
		if o.Leads(m.primary, m.term) {
			return true
		}
	}
	return false
}

// handleSuperseded records that the store does not confirm the primary.
func (m *Machine) handleSuperseded(now time.Time, e Superseded) []Action {
	if e.Endpoint != m.primary || e.Term != m.term {
		return nil
	}
	if m.supersededSince.IsZero() || now.Sub(m.supersededAt) >= m.cfg.SuspectAfter {
		m.supersededSince = now
	}
	m.supersededAt = now
	return m.advance(now)
}

// superseded reports whether Superseded has been repeated for StepTimeout, so that nobody completes the promotion.
//
// The primary is then replaced though it answers: whoever could tell that the promotion had
// no effect is gone, and the group would remain without a lease.
func (m *Machine) superseded(now time.Time) bool {
	return !m.supersededSince.IsZero() && now.Sub(m.supersededAt) < m.cfg.SuspectAfter && m.supersededAt.Sub(m.supersededSince) >= m.cfg.StepTimeout
}
