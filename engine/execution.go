package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// Operation is one request, implemented by the session of the caller's protocol.
type Operation[L Link[L]] interface {
	// Prepare waits until a routing decision is possible; it fails when the request cannot run in time.
	Prepare(ctx context.Context) error
	// Route returns the input of the routing decision at now; it is called with the group locked.
	Route(now time.Time, t *route.Tracker) (route.Request, error)
	// Exchange sends the request over the link of h and reads the answer.
	Exchange(h HeldLink[L]) Outcome
}

// HeldLink is a link acquired for a request, with the routing decision that chose it.
type HeldLink[L Link[L]] struct {
	Link        L
	Connections *Connections[L]
	Endpoint    string
	OnReplica   bool
	Request     route.Request
}

// Release returns the link to its pool; the link must be in its initial state.
func (h HeldLink[L]) Release() { h.Connections.Release(h.Link) }

// Discard closes the link, whose state is unknown.
func (h HeldLink[L]) Discard() { h.Connections.Discard(h.Link) }

// Outcome is the result of one exchange.
type Outcome struct {
	// Answered means that the answer is complete; Attempt is then unused.
	Answered bool
	// Failed means that the complete answer is the endpoint's report of a failure.
	Failed  bool
	Attempt retry.Attempt
	// Reusable means that the link of a failed attempt is in its initial state.
	Reusable bool
	// Err, if set, ends the request without a retry.
	Err error
}

// ExecutionConfig configures the execution of one request.
type ExecutionConfig[L Link[L]] struct {
	Group  *Group[L]
	Policy route.Policy
	// AcquireRequest describes how the request waits for a link.
	AcquireRequest AcquireRequest
	Deadline       time.Time
	// LeaseDeadline bounds the wait for a confirmed primary; zero means the deadline of AcquireRequest.
	LeaseDeadline time.Time
	// Grace is the minimum time allowed for acquiring a link, however long the request has waited for a primary.
	Grace      time.Duration
	Idempotent bool
	Backoff    retry.Backoff
	// AllowRetry takes one retry from the customer's budget and reports whether the budget had one.
	AllowRetry func(now time.Time) bool
}

// Execution runs one request: it routes it, acquires a link, sends it, classifies failures and retries.
type Execution[L Link[L]] struct {
	cfg      ExecutionConfig[L]
	attempts int
	target   route.Target
	// failures describes each failed attempt, for the log.
	failures []string
	// failed are the endpoints at which attempts have failed.
	failed []string
}

// NewExecution returns the execution of one request.
func NewExecution[L Link[L]](cfg ExecutionConfig[L]) *Execution[L] {
	if cfg.LeaseDeadline.IsZero() {
		cfg.LeaseDeadline = cfg.AcquireRequest.Deadline
	}
	return &Execution[L]{cfg: cfg}
}

// Retries returns the number of attempts after the first.
func (e *Execution[L]) Retries() int { return max(0, e.attempts-1) }

// Failures returns a description of each failed attempt.
func (e *Execution[L]) Failures() []string { return e.failures }

// Target returns the kind of member to which the request was last sent, or TargetNone.
func (e *Execution[L]) Target() route.Target { return e.target }

// Serve runs op until it is answered, and returns the link that served it, still held.
//
// An error states whether the request may have run; no link is held then.
func (e *Execution[L]) Serve(ctx context.Context, op Operation[L]) (HeldLink[L], error) {
	for {
		h, o, err := e.attempt(ctx, op)
		if err != nil {
			return HeldLink[L]{}, err
		}
		if o.Answered {
			return h, nil
		}
		e.releaseFailed(h, o)
		e.failures = append(e.failures, describeFailure(h, o))
		if failedAtEndpoint(o.Attempt.Failure) {
			e.failed = append(e.failed, h.Endpoint)
		}
		if o.Err != nil {
			return HeldLink[L]{}, o.Err
		}
		if err := e.classify(o.Attempt); err != nil {
			return HeldLink[L]{}, err
		}
		if err := e.backOff(ctx, h, o.Attempt); err != nil {
			return HeldLink[L]{}, err
		}
	}
}

// describeFailure describes a failed attempt, for the log.
func describeFailure[L Link[L]](h HeldLink[L], o Outcome) string {
	text := h.Endpoint + ": " + o.Attempt.Failure.String()
	if o.Attempt.Failure == retry.FailureBehind {
		text += ", floor " + h.Request.Floor.String()
	}
	return text
}

// attempt makes one attempt; an error means that the request did not run and is not retried.
func (e *Execution[L]) attempt(ctx context.Context, op Operation[L]) (h HeldLink[L], o Outcome, err error) {
	e.attempts++
	if err := op.Prepare(ctx); err != nil {
		return h, o, err
	}
	d, r, err := e.decide(ctx, op)
	if err != nil {
		return h, o, err
	}
	h = HeldLink[L]{
		Connections: e.cfg.Group.Connections(d.Endpoint()),
		Endpoint:    d.Endpoint(),
		OnReplica:   d.Target() == route.TargetReplica,
		Request:     r,
	}
	if h.Connections == nil {
		return e.acquireFailed(h, nil)
	}
	h.Link, err = e.acquire(ctx, h)
	if err != nil {
		return e.acquireFailed(h, err)
	}
	e.target = d.Target()
	if !h.OnReplica && !e.cfg.Group.LeaseValid() {
		return h, Outcome{Attempt: retry.Attempt{Failure: retry.FailureNoLease}, Reusable: true}, nil
	}
	return h, e.exchange(op, h), nil
}

// acquire waits for a link; a waiting request counts as load, so that others are routed to less loaded members.
func (e *Execution[L]) acquire(ctx context.Context, h HeldLink[L]) (L, error) {
	g := e.cfg.Group
	request := e.cfg.AcquireRequest
	if minDeadline := g.cfg.Clock().Add(e.cfg.Grace); e.cfg.Grace > 0 && request.Deadline.Before(minDeadline) {
		request.Deadline = minDeadline
		if request.Deadline.After(e.cfg.Deadline) {
			request.Deadline = e.cfg.Deadline
		}
	}
	g.View(func(t *route.Tracker) {
		request.Service = t.ServiceTime(h.Endpoint)
		t.AddLoad(h.Endpoint, 1)
		g.updatePaceLocked()
	})
	defer g.View(func(t *route.Tracker) { t.AddLoad(h.Endpoint, -1) })
	return h.Connections.Acquire(ctx, request)
}

// exchange sends the request and records the outcome in the tracker.
func (e *Execution[L]) exchange(op Operation[L], h HeldLink[L]) Outcome {
	g := e.cfg.Group
	started := g.cfg.Clock()
	g.View(func(t *route.Tracker) { t.AddLoad(h.Endpoint, 1) })
	o := op.Exchange(h)
	now := g.cfg.Clock()
	g.View(func(t *route.Tracker) {
		t.AddLoad(h.Endpoint, -1)
		switch {
		case o.Answered && !o.Failed:
			t.RecordSuccess(h.Endpoint)
			t.RecordServiceTime(h.Endpoint, now.Sub(started))
		case o.Attempt.Failure == retry.FailureBehind:
			t.RecordBehind(h.Endpoint, now, h.Request.Floor)
		case o.Failed, failedAtEndpoint(o.Attempt.Failure) && o.Err == nil:
			t.RecordFailure(h.Endpoint, now)
		}
		g.recordPaceLocked(h.Endpoint, o, h.Request.Class, now.Sub(started))
	})
	return o
}

// failedAtEndpoint reports whether a failure counts against the endpoint to which the request was sent.
func failedAtEndpoint(f retry.Failure) bool {
	return f == retry.FailureLost || f == retry.FailureSession
}

// acquireFailed turns a failed Acquire into a failed attempt; a timeout or a refusal of the queue ends the request.
func (e *Execution[L]) acquireFailed(h HeldLink[L], err error) (HeldLink[L], Outcome, error) {
	kind := fault.KindOf(err)
	if err != nil && (kind == fault.KindTimeout || kind == fault.KindOverloaded) {
		return h, Outcome{}, err
	}
	if !errors.Is(err, ErrEndpointAtLimit) {
		e.cfg.Group.View(func(t *route.Tracker) {
			t.SetDown(h.Endpoint, true)
			e.cfg.Group.updatePaceLocked()
		})
	}
	h.Connections = nil
	return h, Outcome{Attempt: retry.Attempt{Failure: retry.FailureConnect}}, nil
}

// releaseFailed returns the link of a failed attempt to its pool if it is reusable, and discards it otherwise.
func (e *Execution[L]) releaseFailed(h HeldLink[L], o Outcome) {
	switch {
	case h.Connections == nil:
	case o.Reusable:
		h.Release()
	default:
		h.Discard()
	}
}

// classify returns nil when the request may be retried, and the final error otherwise.
func (e *Execution[L]) classify(a retry.Attempt) error {
	now := e.cfg.Group.cfg.Clock()
	v := retry.Classify(now, retry.Request{Idempotent: e.cfg.Idempotent, Deadline: e.cfg.Deadline}, a)
	if v != retry.VerdictRetry {
		return v.Error(a)
	}
	if a.Failure == retry.FailureBehind || e.cfg.AllowRetry(now) {
		return nil
	}
	if a.SentBytes && a.Failure == retry.FailureLost {
		return retry.VerdictUnknown.Error(a)
	}
	return retry.VerdictNotRun.Error(a)
}

// backOff waits before the next attempt, unless a replica was behind: the tracker has already recorded that.
//
// A primary that refused a write as read-only counts as unconfirmed from then on.
func (e *Execution[L]) backOff(ctx context.Context, h HeldLink[L], a retry.Attempt) error {
	if a.Failure == retry.FailureBehind {
		return nil
	}
	if a.Failure == retry.FailureReadOnly && !h.OnReplica {
		e.cfg.Group.View(func(t *route.Tracker) { t.UnconfirmPrimary() })
	}
	if Sleep(ctx, e.cfg.Backoff.Wait(e.attempts, rand.Float64())) != nil {
		return ErrDraining()
	}
	return nil
}

// rerouteInterval is the wait before a request without a target is routed again.
const rerouteInterval = 5 * time.Millisecond

// decide routes the request and waits as the decision requires: for a replica to catch up, or for a confirmed primary.
func (e *Execution[L]) decide(ctx context.Context, op Operation[L]) (route.Decision, route.Request, error) {
	g := e.cfg.Group
	for {
		d, r, err := e.decideOnce(op)
		if err != nil && !e.mayAwaitTerm(err) {
			return d, r, err
		}
		if d.Target() == route.TargetReplica {
			if Sleep(ctx, d.Wait()) != nil {
				return d, r, ErrDraining()
			}
			return d, r, nil
		}
		if err := g.CheckExpectedWait(e.cfg.LeaseDeadline); err != nil {
			return d, r, err
		}
		if err := g.AwaitLease(ctx, e.cfg.LeaseDeadline); err != nil {
			return d, r, err
		}
		if d.Target() == route.TargetPrimary && g.Primary() == d.Endpoint() {
			return d, r, nil
		}
		if Sleep(ctx, rerouteInterval) != nil {
			return d, r, ErrDraining()
		}
		if !g.cfg.Clock().Before(e.cfg.LeaseDeadline) {
			return d, r, retry.VerdictNotRun.Error(retry.Attempt{Failure: retry.FailureNoLease})
		}
	}
}

// mayAwaitTerm reports whether err only means that the session has seen a newer term than this instance, and there is
// time left until LeaseDeadline to learn that term.
func (e *Execution[L]) mayAwaitTerm(err error) bool {
	return fault.KindOf(err) == fault.KindNoPrimary && e.cfg.Group.cfg.Clock().Before(e.cfg.LeaseDeadline)
}

// decideOnce routes the request once, without waiting.
func (e *Execution[L]) decideOnce(op Operation[L]) (d route.Decision, r route.Request, err error) {
	now := e.cfg.Group.cfg.Clock()
	connect := e.cfg.Group.connectTimes(e.cfg.AcquireRequest.Account)
	e.cfg.Group.View(func(t *route.Tracker) {
		if r, err = op.Route(now, t); err == nil {
			r.ConnectTime, r.Failed = connect, e.failed
			d = e.cfg.Policy.Decide(now, t, r)
		}
	})
	return d, r, err
}

// Primary returns the primary of the newest term known, or "".
func (g *Group[L]) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Primary()
}

// ErrDraining returns the error of a request that this instance rejects because it is shutting down.
func ErrDraining() error {
	return fault.New(fault.Config{
		Kind:    fault.KindDraining,
		Message: "this instance is shutting down; nothing of this request ran",
		Remedy:  "reconnect; the load balancer routes to another instance",
	})
}

// Sleep waits for d; it fails with the error of ctx when ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
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
