package caller

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// request is the state of one unit across its attempts.
type request struct {
	marks     Marks
	started   time.Time
	deadline  time.Time
	acquireBy time.Time
	attempts  int
	result    Result
}

// execute serves the unit; the answer is in s.out when err is nil.
func (s *callerSession) execute(ctx context.Context, started time.Time) (Result, error) {
	if err := s.admit(); err != nil {
		return Result{}, err
	}
	marks, err := s.requestMarks()
	if err != nil {
		return Result{}, err
	}
	limits := s.binding.Contract().Limits()
	r := &request{
		marks:     marks,
		started:   started,
		deadline:  started.Add(limits.RequestTimeout()),
		acquireBy: started.Add(limits.QueueTimeout()),
		result:    Result{class: marks.class},
	}
	s.binding.Account().request()
	if s.conn != nil {
		err = s.onPinned(ctx, r)
	} else {
		err = s.withRetries(ctx, r)
	}
	return r.result, err
}

// admit checks that the unit may run under the contract in force now.
func (s *callerSession) admit() error {
	if s.unit.copy {
		return errCopy()
	}
	if s.conn != nil {
		return nil
	}
	if s.server.draining() {
		return errDraining()
	}
	b, err := s.server.cfg.Directory.Find(s.customer, s.database)
	if err != nil {
		return err
	}
	s.binding = b
	return nil
}

// onPinned runs the unit on the connection that the session holds.
func (s *callerSession) onPinned(ctx context.Context, r *request) error {
	g := s.binding.Group()
	if !s.onReplica {
		if err := g.AwaitLease(ctx, r.acquireBy); err != nil {
			return err
		}
	}
	x := s.exchange(g, s.conn, r, route.Request{})
	x.pinned = true
	return s.finish(ctx, r, x, x.run())
}

// withRetries routes the unit and sends it until it is answered or given up.
func (s *callerSession) withRetries(ctx context.Context, r *request) error {
	retries := s.binding.Contract().Retries()
	backoff := retry.NewBackoff(retry.BackoffConfig{First: retries.First(), Max: retries.Max()})
	for {
		x, whole, err := s.try(ctx, r)
		if err != nil {
			return err
		}
		if whole {
			return s.finish(ctx, r, x, true)
		}
		s.dropFailed(x)
		if x.clientErr != nil {
			return errClientGone
		}
		if err := s.judge(r, x); err != nil {
			return err
		}
		r.result.retries++
		if x.failure == retry.FailureBehind {
			continue
		}
		if x.failure == retry.FailureReadOnly {
			s.routeAfterRefusal(r)
		}
		if err := sleep(ctx, backoff.Wait(r.result.retries, randomFraction())); err != nil {
			return errDraining()
		}
	}
}

// routeAfterRefusal sends a write that an endpoint refused to a primary that is confirmed anew.
func (s *callerSession) routeAfterRefusal(r *request) {
	if s.refusedByReplica {
		r.marks.class = route.ClassWrite
		return
	}
	s.binding.Group().View(func(t *route.Tracker) { t.Revoke() })
}

// judge returns nil when the unit may be sent again, and the final error otherwise.
func (s *callerSession) judge(r *request, x *exchange) error {
	a := x.attempt()
	now := clock.Now()
	rules := retry.Request{Idempotent: r.marks.Idempotent(), Deadline: r.deadline}
	v := retry.Judge(now, rules, a)
	if v != retry.VerdictRetry {
		return v.Error(a)
	}
	if x.failure == retry.FailureBehind || s.binding.Account().allowRetry(now) {
		return nil
	}
	if x.sent && x.failure == retry.FailureLost {
		return retry.VerdictUnknown.Error(a)
	}
	return retry.VerdictNotRun.Error(a)
}

// try makes one attempt; an error means that the unit did not run and is given up.
func (s *callerSession) try(ctx context.Context, r *request) (x *exchange, whole bool, err error) {
	r.attempts++
	g := s.binding.Group()
	if err := s.ensureFloor(ctx, g, r); err != nil {
		return nil, false, err
	}
	d, rr, err := s.decide(ctx, g, r)
	if err != nil {
		return nil, false, err
	}
	conns := g.Connections(d.Endpoint())
	conn, err := conns.Acquire(ctx, engine.Request{
		Customer:   s.customer,
		Database:   s.database,
		QueueLimit: s.binding.Contract().Limits().QueueLength(),
		Deadline:   r.acquireBy,
		MaxIdle:    s.binding.Contract().Limits().IdleCheck(),
	})
	if err != nil {
		return s.notConnected(g, d, r, err)
	}
	s.endpoint = d.Endpoint()
	s.hold(conn, conns, d.Target() == route.TargetReplica)
	x = s.exchange(g, conn, r, rr)
	if x.lapsed() {
		x.failure = retry.FailureNoLease
		return x, false, nil
	}
	g.View(func(t *route.Tracker) { t.AddLoad(d.Endpoint(), 1) })
	whole = x.run()
	g.View(func(t *route.Tracker) { s.noteAttempt(t, d.Endpoint(), x, whole) })
	r.result.target = d.Target()
	return x, whole, nil
}

// noteAttempt tells the tracker how an attempt ended.
func (s *callerSession) noteAttempt(t *route.Tracker, endpoint string, x *exchange, whole bool) {
	t.AddLoad(endpoint, -1)
	switch {
	case whole:
		t.Answered(endpoint)
	case x.failure == retry.FailureLost && x.clientErr == nil:
		t.Failed(endpoint, clock.Now())
	}
}

// lapsed reports whether the primary's lease ran out while the unit waited for its connection.
func (x *exchange) lapsed() bool {
	return !x.onReplica && !x.group.LeaseValid()
}

// notConnected turns a failed Acquire into a failed attempt, or gives up when a queue said no.
func (s *callerSession) notConnected(g *engine.Group[*endpoint.Conn], d route.Decision, r *request, err error) (*exchange, bool, error) {
	kind := fault.KindOf(err)
	if kind == fault.KindTimeout || kind == fault.KindOverloaded {
		return nil, false, err
	}
	g.View(func(t *route.Tracker) { t.SetDown(d.Endpoint(), true) })
	x := &exchange{exchangeConfig: exchangeConfig{deadline: r.deadline}}
	x.failure = retry.FailureConnect
	return x, false, nil
}

func (s *callerSession) hold(conn *endpoint.Conn, conns *engine.Connections[*endpoint.Conn], onReplica bool) {
	s.conn = conn
	s.connPool = conns
	s.onReplica = onReplica
	s.setActive(conn)
}

func (s *callerSession) exchange(g *engine.Group[*endpoint.Conn], conn *endpoint.Conn, r *request, rr route.Request) *exchange {
	return newExchange(exchangeConfig{
		group:     g,
		conn:      conn,
		client:    s.nc,
		unit:      &s.unit,
		settings:  &s.settings,
		request:   rr,
		onReplica: s.onReplica,
		skipping:  s.skipping,
		deadline:  r.deadline,
		out:       s.out[:0],

		writeTimeout: s.server.cfg.WriteTimeout,
		endpoint:     s.endpoint,
		open:         s.openSequence,
	})
}

// ensureFloor gives a session without a floor the primary's position as of now.
func (s *callerSession) ensureFloor(ctx context.Context, g *engine.Group[*endpoint.Conn], r *request) error {
	if s.state.Known() || r.marks.class == route.ClassWrite {
		return nil
	}
	point, at, err := g.AwaitFloor(ctx, s.state.ConnectedAt(), r.acquireBy)
	if err != nil {
		return err
	}
	s.state.Probed(point, at)
	return nil
}

// decide routes the unit, waiting for a replica or for a confirmed primary as the decision asks.
func (s *callerSession) decide(ctx context.Context, g *engine.Group[*endpoint.Conn], r *request) (route.Decision, route.Request, error) {
	for {
		d, rr, err := s.decideOnce(g, r)
		if err != nil && !s.mayLearn(err, r) {
			return d, rr, err
		}
		if d.Target() == route.TargetReplica {
			if err := sleep(ctx, d.Wait()); err != nil {
				return d, rr, errDraining()
			}
			return d, rr, nil
		}
		if err := g.AwaitLease(ctx, r.acquireBy); err != nil {
			return d, rr, err
		}
		if d.Target() == route.TargetPrimary && primaryOf(g) == d.Endpoint() {
			return d, rr, nil
		}
		if err := sleep(ctx, undecidedPause); err != nil {
			return d, rr, errDraining()
		}
		if !clock.Now().Before(r.acquireBy) {
			return d, rr, retry.VerdictNotRun.Error(retry.Attempt{Failure: retry.FailureNoLease})
		}
	}
}

// mayLearn reports whether err only says that the session has seen a newer term than this instance, and time is left to hear of it.
func (s *callerSession) mayLearn(err error, r *request) bool {
	return fault.KindOf(err) == fault.KindNoPrimary && clock.Now().Before(r.acquireBy)
}

// undecidedPause is the wait before a request without a target is routed again.
const undecidedPause = 5 * time.Millisecond

func primaryOf(g *engine.Group[*endpoint.Conn]) string {
	var name string
	g.View(func(t *route.Tracker) { name = t.Primary() })
	return name
}

func (s *callerSession) decideOnce(g *engine.Group[*endpoint.Conn], r *request) (d route.Decision, rr route.Request, err error) {
	now := clock.Now()
	budget := s.binding.Contract().Reads().ReplicaWait() - now.Sub(r.started)
	g.View(func(t *route.Tracker) {
		floor := group.NewPoint(t.Term(), 0)
		if s.state.Known() {
			floor, err = s.state.Resolve(t.History(), now)
		}
		if err != nil {
			return
		}
		_, floorAt := s.state.Floor()
		rr = s.routeRequest(r.marks, floor, floorAt, budget)
		d = s.server.cfg.Policy.Decide(now, t, rr)
	})
	return d, rr, err
}

// dropFailed gives up the connection of a failed attempt; one whose answer was read to the end is kept.
func (s *callerSession) dropFailed(x *exchange) {
	if s.conn == nil {
		return
	}
	s.refusedByReplica = s.onReplica
	s.setActive(nil)
	if x.refused && x.failure != retry.FailureLost && x.txStatus == 'I' || !x.sent && x.failure == retry.FailureNoLease {
		s.connPool.Release(s.conn)
	} else {
		s.connPool.Discard(s.conn)
	}
	s.conn = nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
