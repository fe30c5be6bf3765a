package route

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// lagDecay is the weight of the previous lag estimate when the lag falls; the estimate follows a rise at once.
const lagDecay = 0.9

// TrackerConfig configures the Tracker of a group.
type TrackerConfig struct {
	Group     string
	Endpoints []string
	// Lease is how long a confirmed primary may be used; it bounds which samples count for reads of bounded staleness.
	Lease time.Duration
	// RequireAllReplicas requires the confirmation of every replica for a lease, instead of any one replica; a
	// confirmation by the store replaces either. It is for members that drop the promise to a promotion as soon as the
	// promotion has taken effect, before they know the new term: a replica that is partitioned from the new primary
	// then confirms the old primary again.
	RequireAllReplicas bool
}

// Endpoint describes a member of a group.
type Endpoint struct {
	Name string
	// SameDataCentre reports that the member is in this instance's data centre.
	SameDataCentre bool
	// Slots is the number of requests that the member runs at once, or 0 when that is not known.
	Slots int
}

// Tracker keeps the state of one group as an instance knows it; it is not safe for concurrent use.
type Tracker struct {
	name        string
	lease       time.Duration
	allReplicas bool
	history     group.History
	primary     string
	members     map[string]*member
	order       []string
	samples     *primarySamples
	// inherited is the last log entry that the newest term's primary took over, with the term in which it was written, or
	// zero if it is not known.
	inherited group.Point

	primaryConfirmedAt time.Time
	// storeConfirmedAt is the send time of the newest query that found no promotion past the newest term in the store.
	storeConfirmedAt time.Time
	revoked          revocation
	// revokedOf is the revocation of the leases of members that may have been promoted to a term that none has reported.
	revokedOf revocation
	// demotedAt is when the primary of the newest term was first found demoted, or zero.
	demotedAt time.Time
	// leasesSince is the earliest time at which a request was sent whose answer may confirm a lease; with leasesForbidden,
	// none may.
	leasesSince     time.Time
	leasesForbidden bool
	// demotedLeaseUntil is the end of the lease that the primary of the newest term had before it was demoted, or zero.
	demotedLeaseUntil time.Time
}

// member is the known state of an endpoint.
type member struct {
	point     group.Point
	sampledAt time.Time
	// confirmedAt is the send time of the newest request with whose answer the member, as a replica, confirmed the
	// newest term.
	confirmedAt time.Time
	// statusAt is when the newest status was requested.
	statusAt time.Time
	// behindUntil is the time until which a replica that had not reached behindFloor gets no reads of that floor or a
	// higher one.
	behindUntil    time.Time
	behindFloor    group.Position
	lag            time.Duration
	down           bool
	leaving        bool
	load           int
	ejection       ejection
	sameDataCentre bool
	slots          int
	service        time.Duration
}

// NewTracker returns a tracker without known positions.
func NewTracker(cfg TrackerConfig) *Tracker {
	t := &Tracker{name: cfg.Group, lease: cfg.Lease, allReplicas: cfg.RequireAllReplicas, members: map[string]*member{}, samples: newPrimarySamples()}
	var endpoints []Endpoint
	for _, name := range cfg.Endpoints {
		endpoints = append(endpoints, Endpoint{Name: name})
	}
	t.SetEndpoints(endpoints)
	return t
}

// SetEndpoints replaces the list of members; the known state of remaining members is kept.
func (t *Tracker) SetEndpoints(endpoints []Endpoint) {
	kept := map[string]*member{}
	t.order = nil
	for _, e := range endpoints {
		m := t.members[e.Name]
		if m == nil {
			m = &member{}
		}
		m.sameDataCentre = e.SameDataCentre
		m.slots = e.Slots
		kept[e.Name] = m
		t.order = append(t.order, e.Name)
	}
	t.members = kept
}

// Forget drops the known state of a member, which may return as another process under the same name.
func (t *Tracker) Forget(endpoint string) { delete(t.members, endpoint) }

// Group returns the group's name.
func (t *Tracker) Group() string { return t.name }

// Endpoints returns the members' names in the configured order.
func (t *Tracker) Endpoints() []string { return append([]string(nil), t.order...) }

// Term returns the newest term known, or 0.
func (t *Tracker) Term() group.Term { return t.history.Current() }

// History returns the start of each known term.
func (t *Tracker) History() group.History { return t.history }

// Primary returns the primary of the newest term, or "" when none is known.
func (t *Tracker) Primary() string { return t.primary }

// SetDown records whether an endpoint is unreachable.
func (t *Tracker) SetDown(endpoint string, down bool) {
	if m := t.members[endpoint]; m != nil {
		m.down = down
	}
}

// Down reports whether an endpoint is recorded as unreachable.
func (t *Tracker) Down(endpoint string) bool {
	m := t.members[endpoint]
	return m != nil && m.down
}

// SetLeaving records whether an endpoint must get no new requests.
func (t *Tracker) SetLeaving(endpoint string, leaving bool) {
	if m := t.members[endpoint]; m != nil {
		m.leaving = leaving
	}
}

// Leaving reports whether an endpoint must get no new requests.
func (t *Tracker) Leaving(endpoint string) bool {
	m := t.members[endpoint]
	return m != nil && m.leaving
}

// AddLoad changes the number of requests in flight at an endpoint by delta.
func (t *Tracker) AddLoad(endpoint string, delta int) {
	if m := t.members[endpoint]; m != nil {
		m.load += delta
	}
}

// serviceDecay is the weight of the previous estimate in the mean service time of an endpoint.
const serviceDecay = 0.9

// RecordServiceTime records how long an endpoint took to answer a request.
func (t *Tracker) RecordServiceTime(endpoint string, d time.Duration) {
	m := t.members[endpoint]
	if m == nil {
		return
	}
	if m.service == 0 {
		m.service = d
		return
	}
	m.service = time.Duration(serviceDecay*float64(m.service) + (1-serviceDecay)*float64(d))
}

// ServiceTime returns an endpoint's mean service time, or 0 before its first answer.
func (t *Tracker) ServiceTime(endpoint string) time.Duration {
	if m := t.members[endpoint]; m != nil {
		return m.service
	}
	return 0
}

// Observe applies a member's status, requested at sentAt and received at now, and reports whether the term changed.
func (t *Tracker) Observe(sentAt, now time.Time, s group.Status) bool {
	m := t.members[s.Endpoint()]
	if m == nil {
		return false
	}
	changed := t.adoptTerm(s)
	m.down = false
	if sentAt.After(m.statusAt) {
		m.statusAt = sentAt
	}
	// A confirmation counts even if a request has sampled the member's position since.
	if s.Point().Term() == t.Term() {
		t.confirm(sentAt, s)
	}
	if m.sampledAt.After(sentAt) {
		return changed
	}
	m.point = s.Point()
	m.sampledAt = sentAt
	if s.Point().Term() != t.Term() {
		return changed
	}
	if s.Role() == group.RolePrimary && s.Endpoint() == t.primary {
		t.samples.add(sample{sentAt: sentAt, position: s.Point().Position()})
		return changed
	}
	t.estimateLag(m, now)
	return changed
}

// adoptTerm changes to a newer term if s is the status of its primary, and reports whether it did.
func (t *Tracker) adoptTerm(s group.Status) bool {
	term := s.Point().Term()
	if s.Role() != group.RolePrimary || term <= t.Term() {
		return false
	}
	t.history = s.History()
	if t.history.Current() != term {
		t.history = t.history.With(group.NewTermStart(term, s.Point().Position()))
	}
	t.primary = s.Endpoint()
	t.samples.reset()
	t.inherited = group.Point{}
	if received := s.Received(); received.Term() < term && received.Position() == s.Point().Position() {
		t.inherited = received
	}
	t.primaryConfirmedAt = time.Time{}
	t.storeConfirmedAt = time.Time{}
	t.demotedAt = time.Time{}
	t.demotedLeaseUntil = time.Time{}
	for _, m := range t.members {
		m.confirmedAt = time.Time{}
		// The lag is relative to the old primary: a replica receives no log while a promotion fences it.
		m.lag = 0
		m.behindUntil = time.Time{}
	}
	return true
}

// ObservePoint records a log point that a request sent at sentAt found at an endpoint; it confirms no lease.
func (t *Tracker) ObservePoint(endpoint string, sentAt, now time.Time, point group.Point) {
	m := t.members[endpoint]
	if m == nil || point.Term() != t.Term() || sentAt.Before(m.sampledAt) {
		return
	}
	m.point = point
	m.sampledAt = sentAt
	if endpoint == t.primary {
		t.samples.add(sample{sentAt: sentAt, position: point.Position()})
		return
	}
	t.estimateLag(m, now)
}

// Bounds on how long a replica that had not reached a floor gets no reads of that floor or a higher one.
//
// The time is the replica's lag within these bounds; with minBehind, a retry is worthwhile.
const (
	minBehind = 20 * time.Millisecond
	maxBehind = 500 * time.Millisecond
)

// RecordBehind records that a replica refused a read because its log had not reached the floor.
func (t *Tracker) RecordBehind(endpoint string, now time.Time, floor group.Point) {
	m := t.members[endpoint]
	if m == nil {
		return
	}
	if !now.Before(m.behindUntil) || floor.Position() < m.behindFloor {
		m.behindFloor = floor.Position()
	}
	m.behindUntil = now.Add(min(max(m.lag, minBehind), maxBehind))
}

// isBehind reports whether the replica recently refused a read because its log had not reached floor, or a lower one.
//
// Reads of lower floors are not affected: the newest commit of one session is far
// above the floor of reads that accept old data.
func (m *member) isBehind(now time.Time, floor group.Point) bool {
	return now.Before(m.behindUntil) && floor.Position() >= m.behindFloor
}

// maxTransit is the longest time assumed between the request for a position and its reading: more than the mean time
// to reach a member and pass its queue. A position that another instance forwarded arrives much later; the additional
// time would count as lag.
const maxTransit = 50 * time.Millisecond

func (t *Tracker) estimateLag(m *member, now time.Time) {
	if latest := m.sampledAt.Add(maxTransit); latest.Before(now) {
		now = latest
	}
	lag, ok := t.samples.behind(now, m.point.Position())
	if !ok {
		return
	}
	lag = max(0, lag)
	if lag > m.lag {
		m.lag = lag
		return
	}
	m.lag = time.Duration(lagDecay*float64(m.lag) + (1-lagDecay)*float64(lag))
}

// Age returns how old the data at a replica's point is at now; ok is false when that is unknown.
func (t *Tracker) Age(now time.Time, point group.Point) (age time.Duration, ok bool) {
	if point.Term() != t.Term() {
		return 0, false
	}
	return t.age(now, point.Position())
}

// age returns how old the data at position is at now, at least the time since the primary was last confirmed.
func (t *Tracker) age(now time.Time, position group.Position) (time.Duration, bool) {
	confirmed := t.ConfirmedAt()
	if confirmed.IsZero() {
		return 0, false
	}
	age, ok := t.samples.age(now, position)
	return max(age, now.Sub(confirmed)), ok
}

// Replica describes a replica for reports.
type Replica struct {
	endpoint string
	point    group.Point
	lag      time.Duration
	usable   bool
}

// Endpoint returns the replica's name.
func (r Replica) Endpoint() string { return r.endpoint }

// Point returns the newest log point known of the replica.
func (r Replica) Point() group.Point { return r.point }

// Lag returns the estimated replication lag.
func (r Replica) Lag() time.Duration { return r.lag }

// Usable reports whether reads may be routed to the replica at all.
func (r Replica) Usable() bool { return r.usable }

// Replicas returns every member but the primary, in the configured order.
func (t *Tracker) Replicas() []Replica {
	var out []Replica
	for _, name := range t.order {
		if name == t.primary {
			continue
		}
		m := t.members[name]
		out = append(out, Replica{endpoint: name, point: m.point, lag: m.lag, usable: t.usable(m)})
	}
	return out
}

// usable reports whether a replica may serve reads: it is reachable, not leaving, and in the newest term.
func (t *Tracker) usable(m *member) bool {
	return !m.down && !m.leaving && m.point.Term() == t.Term() && t.Term() != 0
}

// PrimarySample returns the newest position known of the primary and when it was requested.
func (t *Tracker) PrimarySample() (group.Point, time.Time) {
	s := t.samples.newest
	if s.sentAt.IsZero() {
		return group.Point{}, time.Time{}
	}
	return group.NewPoint(t.Term(), s.position), s.sentAt
}

// Replicated reports whether a member other than the primary that wrote point is known to hold the log up to it.
//
// After a failover, that member is the new primary, if the point survived.
func (t *Tracker) Replicated(point group.Point) bool {
	if point.Term() < t.Term() {
		_, resolution := t.history.Resolve(point)
		return resolution == group.ResolutionSurvived
	}
	for _, name := range t.order {
		m := t.members[name]
		if name == t.primary || m.point.Term() != point.Term() {
			continue
		}
		if m.point.Position() >= point.Position() {
			return true
		}
	}
	return false
}
