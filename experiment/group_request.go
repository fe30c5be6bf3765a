package experiment

import (
	"time"

	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/pool"
	"github.com/monsoontiller/monsoontiller/route"
)

// attempt routes a request of a caller, and waits for a connection to the chosen member.
func (s *groupSimulation) attempt(q *simRequest) {
	q.attempts++
	q.retried = false
	q.receivedAt = s.now
	s.dispatch(q)
}

// dispatch routes a request and enters the queue of the chosen member.
func (s *groupSimulation) dispatch(q *simRequest) {
	q.routed = s.routeRequest(q)
	d := route.EarliestAnswer{}.Decide(s.now, s.tracker, q.routed)
	leased := s.now.Before(s.tracker.LeaseUntil())
	q.onReplica = d.Target() == route.TargetReplica
	if d.Target() == route.TargetNone || !q.onReplica && !leased || s.variant.RequireLease && !leased && d.Endpoint() == s.tracker.Primary() {
		s.refuse(q)
		return
	}
	s.acquire(q, d.Endpoint())
}

// routeRequest returns the input of the routing decision, as a session of the engine does.
func (s *groupSimulation) routeRequest(q *simRequest) route.Request {
	primary := route.Request{Class: route.ClassWrite}
	demoted := s.variant.DropDemoted && s.now.After(s.tracker.LeaseUntil()) && !s.split()
	if q.writes || q.kind.MaxStaleness == 0 || demoted {
		return primary
	}
	floor, at, ok := s.tracker.FloorSince(q.receivedAt.Add(staleMargin - q.kind.MaxStaleness))
	if !ok {
		return primary
	}
	if own := s.floors[q.session]; q.kind.OwnWrites && own.Term() >= s.tracker.Term() && floor.Less(own) {
		floor = own
	}
	return route.Request{Class: route.ClassRead, Floor: floor, FloorAt: at, WaitBudget: replicaWait}
}

// acquire waits for a connection and a permit, or refuses the request if it would start too late.
func (s *groupSimulation) acquire(q *simRequest, endpoint string) {
	l := s.links[endpoint]
	target := q.receivedAt.Add(q.kind.Objective)
	r := pool.WaitRequest[*simRequest]{
		Customer: q.kind.Name, Waiter: q, QueueLimit: 1000, Priority: q.kind.Priority, ServiceTime: q.kind.Service,
		Deadline: pool.LatestStart(s.now, target, target, q.kind.Service), Target: target.Add(-q.kind.Service), Since: s.now,
	}
	if l.pool.Waiting() > 0 || !l.pool.HasFreePermit() {
		permits, _ := l.pool.Permits()
		evicted, refused := l.queue.Unschedulable(pool.Schedule{
			Now: s.now, NextPermit: l.mean / time.Duration(permits), Permits: permits, MeanServiceTime: l.mean,
		}, r)
		if !s.variant.KeepAll {
			for _, w := range evicted {
				if l.pool.Cancel("", w) {
					s.tracker.AddLoad(endpoint, -1)
					s.refuse(w)
				}
			}
			if refused {
				s.refuse(q)
				return
			}
		}
	}
	s.tracker.AddLoad(endpoint, 1)
	s.after(r.Deadline.Sub(s.now), func() {
		if l.pool.Cancel("", q) {
			s.tracker.AddLoad(endpoint, -1)
			s.refuse(q)
		}
	})
	if g := l.pool.Acquire(r); g.Action == pool.ActionUse || g.Action == pool.ActionOpen {
		s.granted(q, endpoint, g)
	}
}

// granted runs a request on its connection, which it opens first if it is new.
func (s *groupSimulation) granted(q *simRequest, endpoint string, g pool.Grant[int]) {
	l := s.links[endpoint]
	q.conn = g.Conn
	if g.Action == pool.ActionUse {
		s.run(q, endpoint)
		return
	}
	l.next++
	q.conn = l.next
	s.occupy(s.member(endpoint), s.scenario.Handshake, func() { s.run(q, endpoint) })
}

func (s *groupSimulation) member(endpoint string) *simMember {
	for _, m := range s.members {
		if m.name == endpoint {
			return m
		}
	}
	return nil
}

// run sends a request to the member and handles its answer.
func (s *groupSimulation) run(q *simRequest, endpoint string) {
	m := s.member(endpoint)
	sentAt := s.now
	behind := q.onReplica && !m.holds(q.routed.Floor, s.now)
	refusedByRole := q.writes && !m.primary
	if behind || refusedByRole || s.split() && endpoint != s.primaryMember().name {
		s.after(2*oneWayDelay, func() { s.rejected(q, endpoint, behind) })
		return
	}
	if s.failsRequest(m) {
		s.after(2*oneWayDelay, func() { s.failed(q, endpoint) })
		return
	}
	s.occupy(m, q.service, func() {
		s.answered(q, m, sentAt)
		s.release(q, endpoint)
	})
}

// rejected handles an attempt that the member refused without running it.
func (s *groupSimulation) rejected(q *simRequest, endpoint string, behind bool) {
	s.release(q, endpoint)
	if !behind {
		s.refuse(q)
		return
	}
	floor := q.routed.Floor
	if s.variant.BlockBehind {
		floor = group.NewPoint(floor.Term(), 0)
	}
	s.tracker.RecordBehind(endpoint, s.now, floor)
	s.dispatch(q)
}

// failsRequest reports whether a member fails the next request at once.
func (s *groupSimulation) failsRequest(m *simMember) bool {
	grey := s.scenario.Grey
	return m.name == replicaNames[0] && grey.active(s.now.Sub(s.start)) && s.random.Float64() < grey.Share
}

// failed handles a request that the member has lost: a read is retried once at the member that is best now.
func (s *groupSimulation) failed(q *simRequest, endpoint string) {
	s.release(q, endpoint)
	if !s.variant.NeverEject {
		s.tracker.RecordFailure(endpoint, s.now)
	}
	if q.writes || q.retried || s.variant.ReturnFailures {
		s.refuse(q)
		return
	}
	q.retried = true
	s.dispatch(q)
}

// answered records a success: the new commit, the position, and whether the caller got its answer in time.
func (s *groupSimulation) answered(q *simRequest, m *simMember, sentAt time.Time) {
	if q.writes {
		m.commits = append(m.commits, s.now)
		s.replicate(s.now)
		s.floors[q.session] = group.NewPoint(m.term, group.Position(len(m.commits)))
		s.acknowledged = append(s.acknowledged, sampleAt{at: s.now, position: group.Position(len(m.commits))})
	}
	position := m.positionAt(s.now)
	if int(position) > m.inherited {
		s.tracker.ObservePoint(m.name, sentAt, s.now, group.NewPoint(m.term, position))
	}
	s.tracker.RecordSuccess(m.name)
	s.tracker.RecordServiceTime(m.name, s.now.Sub(sentAt))
	l := s.links[m.name]
	l.mean = (9*l.mean + s.now.Sub(sentAt)) / 10
	w := &s.result.Windows[q.window]
	if !q.writes && q.kind.MaxStaleness > 0 && m.positionAt(sentAt) < s.required(q) {
		w.Stale++
	}
	switch elapsed := s.now.Sub(q.firstAt); {
	case elapsed <= q.kind.Objective:
		w.InTime++
	case elapsed <= q.kind.Timeout:
		w.Late++
	default:
		w.Refused++
	}
}

// required returns the position that a read must see: that of the commits acknowledged more than its accepted age before it.
func (s *groupSimulation) required(q *simRequest) group.Position {
	before := q.receivedAt.Add(-q.kind.MaxStaleness)
	var position group.Position
	for i := len(s.acknowledged) - 1; i >= 0; i-- {
		if s.acknowledged[i].at.Before(before) {
			position = s.acknowledged[i].position
			break
		}
	}
	return position
}

// release returns the connection and its permit, and starts the requests that they allow.
func (s *groupSimulation) release(q *simRequest, endpoint string) {
	l := s.links[endpoint]
	s.tracker.AddLoad(endpoint, -1)
	wakeups, _ := l.pool.Release(s.now, q.conn, "")
	wakeups = append(wakeups, l.pool.ReleasePermit(s.now)...)
	for _, w := range wakeups {
		s.granted(w.Waiter, endpoint, w.Grant)
	}
}

// refuse refuses a request; its caller tries again a few times within its timeout.
func (s *groupSimulation) refuse(q *simRequest) {
	if q.attempts <= maxRetries && s.now.Add(retryPause).Sub(q.firstAt) < q.kind.Timeout {
		s.after(retryPause, func() { s.attempt(q) })
		return
	}
	s.result.Windows[q.window].Refused++
}
