package caller

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/endpoint"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// request is the state of one batch across its attempts.
type request struct {
	hints     Hints
	started   time.Time
	deadline  time.Time
	acquireBy time.Time
	result    Result
}

// execute runs the batch; the answer is in s.answer when err is nil.
func (s *callerSession) execute(ctx context.Context, started time.Time) (Result, error) {
	if err := s.admit(); err != nil {
		return Result{}, err
	}
	hints, err := s.requestHints()
	if err != nil {
		return Result{}, err
	}
	limits := s.binding.Contract().Limits()
	r := &request{
		hints:     hints,
		started:   started,
		deadline:  started.Add(limits.RequestTimeout()),
		acquireBy: started.Add(limits.QueueTimeout()),
		result:    Result{class: hints.class},
	}
	s.binding.CustomerState().recordRequest()
	if s.conn != nil {
		err = s.executePinned(ctx, r)
	} else {
		err = s.executeWithRetries(ctx, r)
	}
	return r.result, err
}

// admit checks that the batch may run, and binds a session without a connection to the contract in force.
func (s *callerSession) admit() error {
	if s.batch.copy {
		return errCopy()
	}
	if s.conn != nil {
		return nil
	}
	if s.server.draining() {
		return engine.ErrDraining()
	}
	b, err := s.server.cfg.Directory.Find(s.customer, s.database)
	if err != nil {
		return err
	}
	s.binding = b
	return nil
}

// executePinned runs the batch on the connection that the session holds.
func (s *callerSession) executePinned(ctx context.Context, r *request) error {
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

// executeWithRetries routes the batch and sends it until it is answered or must not be sent again.
func (s *callerSession) executeWithRetries(ctx context.Context, r *request) error {
	contract := s.binding.Contract()
	op := &operation{session: s, request: r}
	execution := engine.NewExecution(engine.ExecutionConfig[*endpoint.Conn]{
		Group:  s.binding.Group(),
		Policy: s.server.cfg.Policy,
		AcquireRequest: engine.AcquireRequest{
			Customer:   s.customer,
			Key:        s.database,
			QueueLimit: contract.Limits().QueueLength(),
			Deadline:   r.acquireBy,
			MaxIdle:    contract.Limits().IdleCheck(),
		},
		Deadline:   r.deadline,
		Idempotent: r.hints.Idempotent(),
		Backoff:    retry.NewBackoff(retry.BackoffConfig{FirstBackoff: contract.Retries().FirstBackoff(), MaxBackoff: contract.Retries().MaxBackoff()}),
		AllowRetry: s.binding.CustomerState().allowRetry,
	})
	_, err := execution.Serve(ctx, op)
	r.result.retries = execution.Retries()
	r.result.target = execution.Target()
	if err != nil {
		return err
	}
	return s.finish(ctx, r, op.exchange, true)
}

// operation adapts a batch to the engine, which executes it.
type operation struct {
	session  *callerSession
	request  *request
	exchange *exchange
}

// Prepare sets the floor of a session that has none, before a read, to a position of the primary probed since the session connected.
func (o *operation) Prepare(ctx context.Context) error {
	s := o.session
	if s.state().HasFloor() || o.request.hints.class == route.ClassWrite {
		return nil
	}
	point, at, err := s.binding.Group().AwaitFloor(ctx, s.state().ConnectedAt(), o.request.acquireBy)
	if err != nil {
		return err
	}
	s.state().InitFloor(point, at)
	return nil
}

// Route returns the request on which the routing decision depends.
func (o *operation) Route(now time.Time, t *route.Tracker) (route.Request, error) {
	s := o.session
	budget := s.binding.Contract().Reads().ReplicaWait() - now.Sub(o.request.started)
	floor := group.NewPoint(t.Term(), 0)
	if s.state().HasFloor() {
		var err error
		if floor, err = s.state().Resolve(t.History(), now); err != nil {
			return route.Request{}, err
		}
	}
	_, floorAt := s.state().Floor()
	return s.routeRequest(o.request.hints, floor, floorAt, budget), nil
}

// Exchange sends the batch over the connection that the engine chose.
func (o *operation) Exchange(held engine.HeldLink[*endpoint.Conn]) engine.Outcome {
	s := o.session
	s.endpoint = held.Endpoint
	s.hold(held.Link, held.Connections, held.OnReplica)
	x := s.exchange(s.binding.Group(), held.Link, o.request, held.Request)
	o.exchange = x
	if x.run() {
		return engine.Outcome{Answered: true}
	}
	s.setActive(nil)
	s.conn = nil
	if x.failure == retry.FailureReadOnly && held.OnReplica {
		o.request.hints.class = route.ClassWrite
	}
	outcome := engine.Outcome{
		Attempt:  x.attempt(),
		Reusable: x.rejected && x.failure != retry.FailureLost && x.txStatus == 'I',
	}
	if x.callerErr != nil {
		outcome.Err = errCallerLost
	}
	return outcome
}

// hold makes conn the connection of the session.
func (s *callerSession) hold(conn *endpoint.Conn, conns *engine.Connections[*endpoint.Conn], onReplica bool) {
	s.conn = conn
	s.connPool = conns
	s.onReplica = onReplica
	s.setActive(conn)
}

func (s *callerSession) exchange(g *engine.Group[*endpoint.Conn], conn *endpoint.Conn, r *request, routed route.Request) *exchange {
	return newExchange(exchangeConfig{
		group:     g,
		conn:      conn,
		caller:    s.nc,
		batch:     &s.batch,
		settings:  &s.settings,
		request:   routed,
		onReplica: s.onReplica,
		skipping:  s.skipping,
		deadline:  r.deadline,
		answer:    s.answer[:0],

		writeTimeout: s.server.cfg.WriteTimeout,
		endpoint:     s.endpoint,
		awaitsSync:   s.awaitsSync,
	})
}

// discardFailed closes the session's connection, if it still holds one, after a failed attempt.
func (s *callerSession) discardFailed() {
	if s.conn != nil {
		s.discard()
	}
}
