package route

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
)

// Weights of the lag estimate: it follows a rise at once and a fall slowly.
const lagDecay = 0.9

// TrackerConfig names the members of a group.
type TrackerConfig struct {
	Group     string
	Endpoints []string
	// Lease is how long a confirmed primary may be used; it bounds which samples count for reads of a stated age.
	Lease time.Duration
	// AllReplicas makes a lease need the word of every replica, or of the store. It is for members that forget
	// the promise to a promotion as soon as it has taken effect, before they know the new term: a replica that is
	// cut off from the new primary then confirms the old one again.
	AllReplicas bool
}

// Endpoint describes a member of a group.
type Endpoint struct {
	Name string
	// Near says that the member is in this instance's data centre.
	Near bool
	// Slots is the number of requests that the member runs at once, or 0 when that is not known.
	Slots int
}

// Tracker keeps what an instance knows of one group; it is not safe for concurrent use.
type Tracker struct {
	name    string
	lease   time.Duration
	all     bool
	history group.History
	primary string
	members map[string]*member
	order   []string
	track   *track

	primaryConfirmedAt time.Time
	// storeConfirmedAt is when the store, asked then, told of no promotion past the newest term.
	storeConfirmedAt time.Time
	revoked          revocation
	// demotedAt is when the primary of the newest term was first found demoted, or zero.
	demotedAt time.Time
}

// member is what is known of one endpoint.
type member struct {
	point     group.Point
	sampledAt time.Time
	// confirmedAt is when the member was last asked and confirmed the newest term.
	confirmedAt time.Time
	// statusAt is when the newest status was asked for.
	statusAt time.Time
	// behindUntil is how long a replica that lacked a floor is not asked again.
	behindUntil time.Time
	lag         time.Duration
	down        bool
	leaving     bool
	load        int
	ejection    ejection
	near        bool
	slots       int
	service     time.Duration
}

// NewTracker returns a tracker that knows no positions yet.
func NewTracker(cfg TrackerConfig) *Tracker {
	t := &Tracker{name: cfg.Group, lease: cfg.Lease, all: cfg.AllReplicas, members: map[string]*member{}, track: newTrack()}
	var endpoints []Endpoint
	for _, name := range cfg.Endpoints {
		endpoints = append(endpoints, Endpoint{Name: name})
	}
	t.SetEndpoints(endpoints)
	return t
}

// SetEndpoints replaces the list of members; what is known of those that stay is kept.
func (t *Tracker) SetEndpoints(endpoints []Endpoint) {
	kept := map[string]*member{}
	t.order = nil
	for _, e := range endpoints {
		m := t.members[e.Name]
		if m == nil {
			m = &member{}
		}
		m.near = e.Near
		m.slots = e.Slots
		kept[e.Name] = m
		t.order = append(t.order, e.Name)
	}
	t.members = kept
}

// Forget drops all that is known of a member, which may come back as another process under its name.
func (t *Tracker) Forget(endpoint string) { delete(t.members, endpoint) }

// Group returns the group's name.
func (t *Tracker) Group() string { return t.name }

// Endpoints returns the members' names in the configured order.
func (t *Tracker) Endpoints() []string { return append([]string(nil), t.order...) }

// Term returns the newest term known, or 0.
func (t *Tracker) Term() group.Term { return t.history.Current() }

// History returns where each known term began.
func (t *Tracker) History() group.History { return t.history }

// Primary returns the primary of the newest term, or "" when none is known.
func (t *Tracker) Primary() string { return t.primary }

// SetDown records whether an endpoint can be reached.
func (t *Tracker) SetDown(endpoint string, down bool) {
	if m := t.members[endpoint]; m != nil {
		m.down = down
	}
}

// SetLeaving records whether an endpoint is to get no new work.
func (t *Tracker) SetLeaving(endpoint string, leaving bool) {
	if m := t.members[endpoint]; m != nil {
		m.leaving = leaving
	}
}

// Leaving reports whether an endpoint is to get no new work.
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

// serviceDecay is the weight of the past in the estimate of how long an endpoint takes to answer.
const serviceDecay = 0.9

// Took notes how long an endpoint took to answer a request.
func (t *Tracker) Took(endpoint string, d time.Duration) {
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

// Service returns how long an endpoint usually takes to answer, or 0 before its first answer.
func (t *Tracker) Service(endpoint string) time.Duration {
	if m := t.members[endpoint]; m != nil {
		return m.service
	}
	return 0
}

// Observe takes a member's status, asked for at sentAt and received at now, and reports whether the term changed.
func (t *Tracker) Observe(sentAt, now time.Time, s group.Status) bool {
	m := t.members[s.Endpoint()]
	if m == nil {
		return false
	}
	changed := t.adopt(s)
	m.down = false
	if sentAt.After(m.statusAt) {
		m.statusAt = sentAt
	}
	// What a member vouched for holds, however much newer a request's sample of its position is.
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
		t.track.add(sample{sentAt: sentAt, position: s.Point().Position()})
		return changed
	}
	t.estimateLag(m, now)
	return changed
}

// adopt moves to a newer term once a primary that may lead it has reported.
func (t *Tracker) adopt(s group.Status) bool {
	term := s.Point().Term()
	if s.Role() != group.RolePrimary || term <= t.Term() {
		return false
	}
	t.history = s.History()
	if t.history.Current() != term {
		t.history = t.history.With(group.NewTermStart(term, s.Point().Position()))
	}
	t.primary = s.Endpoint()
	t.track.reset()
	t.primaryConfirmedAt = time.Time{}
	t.storeConfirmedAt = time.Time{}
	t.demotedAt = time.Time{}
	for _, m := range t.members {
		m.confirmedAt = time.Time{}
		// While a promotion holds a replica, it falls behind a primary that is none any more.
		m.lag = 0
		m.behindUntil = time.Time{}
	}
	return true
}

// Reached takes a log point that a request sent at sentAt found at an endpoint; it confirms no lease.
func (t *Tracker) Reached(endpoint string, sentAt, now time.Time, point group.Point) {
	m := t.members[endpoint]
	if m == nil || point.Term() != t.Term() || sentAt.Before(m.sampledAt) {
		return
	}
	m.point = point
	m.sampledAt = sentAt
	if endpoint == t.primary {
		t.track.add(sample{sentAt: sentAt, position: point.Position()})
		return
	}
	t.estimateLag(m, now)
}

// Bounds on how long a replica that lacked a floor is left out: about its lag, but long enough that it is worth asking again.
const (
	minBehind = 20 * time.Millisecond
	maxBehind = 500 * time.Millisecond
)

// Behind notes that a replica refused a read because its log lacked the floor.
func (t *Tracker) Behind(endpoint string, now time.Time) {
	if m := t.members[endpoint]; m != nil {
		m.behindUntil = now.Add(min(max(m.lag, minBehind), maxBehind))
	}
}

// maxTransit is how much later than it was asked for a position is taken to be found: longer than the usual way to a
// member and through its queue. A position that another instance passed on arrives much later, and would look like lag.
const maxTransit = 50 * time.Millisecond

func (t *Tracker) estimateLag(m *member, now time.Time) {
	if found := m.sampledAt.Add(maxTransit); found.Before(now) {
		now = found
	}
	lag, ok := t.track.behind(now, m.point.Position())
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

// age is never less than the time since the primary was last known to lead.
func (t *Tracker) age(now time.Time, position group.Position) (time.Duration, bool) {
	confirmed := t.ConfirmedAt()
	if confirmed.IsZero() {
		return 0, false
	}
	age, ok := t.track.age(now, position)
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

// usable reports whether a replica may serve reads: reachable, staying, and in the newest term.
func (t *Tracker) usable(m *member) bool {
	return !m.down && !m.leaving && m.point.Term() == t.Term() && t.Term() != 0
}

// PrimarySample returns the newest position known of the primary and when it was asked for.
func (t *Tracker) PrimarySample() (group.Point, time.Time) {
	s := t.track.newest
	if s.sentAt.IsZero() {
		return group.Point{}, time.Time{}
	}
	return group.NewPoint(t.Term(), s.position), s.sentAt
}

// Replicated reports whether a member besides the primary that wrote it is known to hold the log up to point.
//
// After a failover that is the new primary, if the point survived.
func (t *Tracker) Replicated(point group.Point) bool {
	if point.Term() < t.Term() {
		_, fate := t.history.Resolve(point)
		return fate == group.FateSurvived
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
