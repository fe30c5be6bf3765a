package route

import (
	"slices"
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// revocation records that the leases of terms up to term ended at time at, of the given endpoints or, if there are none, of all.
//
// Confirmations of requests sent before until do not renew them.
type revocation struct {
	endpoints []string
	term      group.Term
	at        time.Time
	until     time.Time
}

// covers reports whether the revocation concerns a primary of a term.
func (r revocation) covers(primary string, term group.Term) bool {
	return term <= r.term && (len(r.endpoints) == 0 || slices.Contains(r.endpoints, primary))
}

// confirm records that a member still takes part in the newest term, or that the primary was demoted.
func (t *Tracker) confirm(sentAt time.Time, s group.Status) {
	if s.Endpoint() == t.primary && s.Role() != group.RolePrimary {
		t.UnconfirmPrimary()
		if t.demotedAt.IsZero() {
			t.demotedAt = sentAt
		}
		return
	}
	if !s.Confirms(t.Term()) {
		return
	}
	if s.Endpoint() == t.primary {
		if sentAt.After(t.primaryConfirmedAt) {
			t.primaryConfirmedAt = sentAt
		}
		return
	}
	if m := t.members[s.Endpoint()]; sentAt.After(m.confirmedAt) {
		m.confirmedAt = sentAt
	}
}

// replicaConfirmedAt returns the newest time at which the replicas that a lease needs, all or any, confirmed the term.
func (t *Tracker) replicaConfirmedAt() time.Time {
	var oldest, newest time.Time
	first := true
	for _, name := range t.order {
		m := t.members[name]
		if name == t.primary {
			continue
		}
		if first || m.confirmedAt.Before(oldest) {
			oldest = m.confirmedAt
		}
		first = false
		if m.confirmedAt.After(newest) {
			newest = m.confirmedAt
		}
	}
	if t.allReplicas {
		return oldest
	}
	return newest
}

// ReplicasConfirmedAt returns the newest time at which the replicas that a lease needs confirmed the newest term.
func (t *Tracker) ReplicasConfirmedAt() time.Time { return t.replicaConfirmedAt() }

// ConfirmPrimary records that an endpoint accepted a request sent at sentAt that only the primary of term accepts.
func (t *Tracker) ConfirmPrimary(endpoint string, sentAt time.Time, term group.Term) {
	if endpoint == t.primary && term == t.Term() && sentAt.After(t.primaryConfirmedAt) {
		t.primaryConfirmedAt = sentAt
	}
}

// FloorSince returns the lowest known position of the primary that holds every commit acknowledged by since.
//
// Such a position was requested at or after since, at a time when no other primary
// can have acknowledged a commit; ok is false when there is none. The floor names
// an entry that the log holds: until the newest term's first commit, that is the
// last entry of an earlier term.
func (t *Tracker) FloorSince(since time.Time) (floor group.Point, at time.Time, ok bool) {
	s, ok := t.samples.oldestSince(since, t.samplesUntil())
	if !ok {
		return group.Point{}, time.Time{}, false
	}
	if s.position == t.inherited.Position() && !t.inherited.IsZero() {
		return t.inherited, s.sentAt, true
	}
	return group.NewPoint(t.Term(), s.position), s.sentAt, true
}

// samplesUntil returns the time before which no other primary can have acknowledged a commit, as far as is known: the end of
// the lease, or of the lease that the primary had before it was demoted.
func (t *Tracker) samplesUntil() time.Time {
	until := t.demotedLeaseUntil
	for _, r := range []revocation{t.revoked, t.revokedOf} {
		if r.covers(t.primary, t.Term()) && r.at.Before(until) {
			until = r.at
		}
	}
	if lease := t.LeaseUntil(); lease.After(until) {
		return lease
	}
	return until
}

// RevokeLease ends the leases of terms up to term at time at.
//
// Only answers to requests sent at or after until confirm such a term again.
func (t *Tracker) RevokeLease(term group.Term, at, until time.Time) {
	if term < t.revoked.term {
		return
	}
	if term > t.revoked.term || !t.inForce(t.revoked) {
		t.revoked = revocation{term: term, at: at, until: until}
	}
	t.revoked.until = until
}

// RevokeLeaseOf ends the leases of the given endpoints of terms up to term, as RevokeLease does; earlier calls stay in force.
func (t *Tracker) RevokeLeaseOf(endpoints []string, term group.Term, at, until time.Time) {
	next := revocation{endpoints: slices.Clone(endpoints), term: term, at: at, until: until}
	if before := t.revokedOf; before.until.After(at) {
		next.endpoints = append(next.endpoints, before.endpoints...)
		next.term = max(next.term, before.term)
		if t.inForce(before) {
			next.at = before.at
		}
	}
	slices.Sort(next.endpoints)
	next.endpoints = slices.Compact(next.endpoints)
	t.revokedOf = next
}

// inForce reports whether a revocation ends the lease of the newest term.
func (t *Tracker) inForce(r revocation) bool {
	return r.covers(t.primary, t.Term()) && t.ConfirmedAt().Before(r.until)
}

// revokedAt returns when the lease of the newest term was revoked; ok is false if it is not.
func (t *Tracker) revokedAt() (at time.Time, ok bool) {
	for _, r := range []revocation{t.revoked, t.revokedOf} {
		if t.inForce(r) && (!ok || r.at.Before(at)) {
			at, ok = r.at, true
		}
	}
	return at, ok
}

// LeaseRevoked reports whether the lease of the newest term is revoked for a promotion.
func (t *Tracker) LeaseRevoked() bool {
	_, revoked := t.revokedAt()
	return revoked
}

// AllowLeases allows leases that were confirmed in answer to requests sent at or after since, as it is for a new tracker with the
// zero time.
func (t *Tracker) AllowLeases(since time.Time) { t.leasesSince, t.leasesForbidden = since, false }

// ForbidLeases ends the lease at time at, and forbids others until AllowLeases.
func (t *Tracker) ForbidLeases(at time.Time) {
	if until := t.LeaseUntil(); until.After(t.demotedLeaseUntil) {
		t.demotedLeaseUntil = until
	}
	if at.Before(t.demotedLeaseUntil) {
		t.demotedLeaseUntil = at
	}
	t.leasesForbidden = true
}

// LeasesForbidden reports whether leases are forbidden.
func (t *Tracker) LeasesForbidden() bool { return t.leasesForbidden }

// LeaseUntil returns when the lease of the primary ends, or the zero time when there is none.
func (t *Tracker) LeaseUntil() time.Time {
	confirmed := t.ConfirmedAt()
	if confirmed.IsZero() || t.leasesForbidden || confirmed.Before(t.leasesSince) {
		return time.Time{}
	}
	end := confirmed.Add(t.lease)
	if at, revoked := t.revokedAt(); revoked && at.Before(end) {
		return at
	}
	return end
}

// UnconfirmPrimary drops the confirmation of the primary, after it refused a write or was demoted.
//
// Its lease no longer allows requests, but until its end no other primary can acknowledge a commit.
func (t *Tracker) UnconfirmPrimary() {
	if until := t.LeaseUntil(); until.After(t.demotedLeaseUntil) {
		t.demotedLeaseUntil = until
	}
	t.primaryConfirmedAt = time.Time{}
}

// PrimaryConfirmedAt returns when the primary of the newest term last confirmed that it is primary, or the zero time.
func (t *Tracker) PrimaryConfirmedAt() time.Time { return t.primaryConfirmedAt }

// ConfirmByStore records that the store, queried at sentAt, had no promotion past term.
func (t *Tracker) ConfirmByStore(sentAt time.Time, term group.Term) {
	if term == t.Term() && sentAt.After(t.storeConfirmedAt) {
		t.storeConfirmedAt = sentAt
	}
}

// StoreConfirmedAt returns the send time of the newest query that found no promotion past the newest term in the
// store, or the zero time.
func (t *Tracker) StoreConfirmedAt() time.Time { return t.storeConfirmedAt }

// PendingReplacement returns when the replacement of the newest term's primary began; ok is false when none is known.
//
// revoked reports that the leases have ended too, so that only the promotion itself
// remains.
func (t *Tracker) PendingReplacement() (since time.Time, revoked, ok bool) {
	if at, revoked := t.revokedAt(); revoked {
		return at, true, true
	}
	return t.demotedAt, false, !t.demotedAt.IsZero()
}

// WitnessedAt returns the newest time at which the store or the replicas that a lease needs confirmed the newest term.
func (t *Tracker) WitnessedAt() time.Time {
	if replica := t.replicaConfirmedAt(); replica.After(t.storeConfirmedAt) {
		return replica
	}
	return t.storeConfirmedAt
}

// ConfirmedAt returns the newest time at which no promotion past the newest term can have been in progress.
//
// The primary, and either the replicas that a lease needs or the store, confirmed the
// term in answer to requests sent at or after that time. Any majority of the group
// shares a member with the primary and a replica; and a promotion is recorded in the
// store before its first fence, after which it waits until the lease has ended.
// ConfirmedAt returns the zero time while either confirmation is missing.
func (t *Tracker) ConfirmedAt() time.Time {
	if witnessed := t.WitnessedAt(); witnessed.Before(t.primaryConfirmedAt) {
		return witnessed
	}
	return t.primaryConfirmedAt
}
