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

// execute serves the batch; the answer is in s.out when err is nil.
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
	s.binding.Account().request()
	if s.conn != nil {
		err = s.onPinned(ctx, r)
	} else {
		err = s.withRetries(ctx, r)
	}
	return r.result, err
}

// admit checks that the batch may run under the contract in force now.
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

// onPinned runs the batch on the connection that the session holds.
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

// withRetries routes the batch and sends it until it is answered or given up.
func (s *callerSession) withRetries(ctx context.Context, r *request) error {
	contract := s.binding.Contract()
	w := &work{session: s, request: r}
	f := engine.NewFlow(engine.FlowConfig[*endpoint.Conn]{
		Group:  s.binding.Group(),
		Policy: s.server.cfg.Policy,
		Ask: engine.Request{
			Customer:   s.customer,
			Key:        s.database,
			QueueLimit: contract.Limits().QueueLength(),
			Deadline:   r.acquireBy,
			MaxIdle:    contract.Limits().IdleCheck(),
		},
		Deadline:   r.deadline,
		Idempotent: r.hints.Idempotent(),
		Backoff:    retry.NewBackoff(retry.BackoffConfig{First: contract.Retries().First(), Max: contract.Retries().Max()}),
		AllowRetry: s.binding.Account().allowRetry,
	})
	_, err := f.Serve(ctx, w)
	r.result.retries = f.Retries()
	r.result.target = f.Target()
	if err != nil {
		return err
	}
	return s.finish(ctx, r, w.exchange, true)
}

// work is a batch as the engine carries it.
type work struct {
	session  *callerSession
	request  *request
	exchange *exchange
}

// Prepare gives a session without a floor the primary's position as of now.
func (w *work) Prepare(ctx context.Context) error {
	s := w.session
	if s.state.Known() || w.request.hints.class == route.ClassWrite {
		return nil
	}
	point, at, err := s.binding.Group().AwaitFloor(ctx, s.state.ConnectedAt(), w.request.acquireBy)
	if err != nil {
		return err
	}
	s.state.Probed(point, at)
	return nil
}

// Route returns what the routing decision depends on.
func (w *work) Route(now time.Time, t *route.Tracker) (route.Request, error) {
	s := w.session
	budget := s.binding.Contract().Reads().ReplicaWait() - now.Sub(w.request.started)
	floor := group.NewPoint(t.Term(), 0)
	if s.state.Known() {
		var err error
		if floor, err = s.state.Resolve(t.History(), now); err != nil {
			return route.Request{}, err
		}
	}
	_, floorAt := s.state.Floor()
	return s.routeRequest(w.request.hints, floor, floorAt, budget), nil
}

// Exchange sends the batch over the link that the engine chose.
func (w *work) Exchange(h engine.Held[*endpoint.Conn]) engine.Outcome {
	s := w.session
	s.endpoint = h.Endpoint
	s.hold(h.Link, h.Connections, h.OnReplica)
	x := s.exchange(s.binding.Group(), h.Link, w.request, h.Request)
	w.exchange = x
	if x.run() {
		return engine.Outcome{Answered: true}
	}
	s.setActive(nil)
	s.conn = nil
	if x.failure == retry.FailureReadOnly && h.OnReplica {
		w.request.hints.class = route.ClassWrite
	}
	o := engine.Outcome{
		Attempt:  x.attempt(),
		Reusable: x.refused && x.failure != retry.FailureLost && x.txStatus == 'I',
	}
	if x.clientErr != nil {
		o.Err = errClientGone
	}
	return o
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
		batch:     &s.batch,
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

// dropFailed gives up the connection of a failed attempt inside a transaction.
func (s *callerSession) dropFailed() {
	if s.conn != nil {
		s.discard()
	}
}
