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

// Operation is one request as the session of its protocol sees it.
type Operation[L Link[L]] interface {
	// Prepare waits for what a routing decision needs; it fails when the request cannot run in time.
	Prepare(ctx context.Context) error
	// Route returns what the decision depends on at now; the group is locked meanwhile.
	Route(now time.Time, t *route.Tracker) (route.Request, error)
	// Exchange sends the request over the held link and reads the answer.
	Exchange(h Held[L]) Outcome
}

// Held is a link that serves a request, and how it came to be chosen.
type Held[L Link[L]] struct {
	Link        L
	Connections *Connections[L]
	Endpoint    string
	OnReplica   bool
	Request     route.Request
}

// Release returns the link, which must be in its initial state.
func (h Held[L]) Release() { h.Connections.Release(h.Link) }

// Discard ends the link, whose state is not known.
func (h Held[L]) Discard() { h.Connections.Discard(h.Link) }

// Outcome says how one exchange ended.
type Outcome struct {
	// Answered says that the answer is whole; the attempt then means nothing.
	Answered bool
	Attempt  retry.Attempt
	// Reusable says that the link of a failed attempt is in its initial state.
	Reusable bool
	// Err ends the request at once, whatever the retry rules say.
	Err error
}

// FlowConfig describes a request to the engine.
type FlowConfig[L Link[L]] struct {
	Group  *Group[L]
	Policy route.Policy
	// Ask says how the request waits for a link.
	Ask      Request
	Deadline time.Time
	// LeaseDeadline is how long the request may wait for a primary; zero means as long as for a link.
	LeaseDeadline time.Time
	// Grace is the least time that a request gets for a link, after it waited for a primary.
	Grace      time.Duration
	Idempotent bool
	Backoff    retry.Backoff
	// AllowRetry takes one retry from the customer's budget and reports whether there was one.
	AllowRetry func(now time.Time) bool
}

// Execution carries one request to an endpoint: it routes, waits for a link, sends, judges failures and repeats.
type Execution[L Link[L]] struct {
	cfg      FlowConfig[L]
	attempts int
	target   route.Target
	// failures tells of each failed attempt, for the log.
	failures []string
}

// NewFlow returns the flow of one request.
func NewFlow[L Link[L]](cfg FlowConfig[L]) *Execution[L] {
	if cfg.LeaseDeadline.IsZero() {
		cfg.LeaseDeadline = cfg.Ask.Deadline
	}
	return &Execution[L]{cfg: cfg}
}

// Retries returns how many times the request was sent again.
func (f *Execution[L]) Retries() int { return max(0, f.attempts-1) }

// Failures returns what became of the failed attempts, one phrase each.
func (f *Execution[L]) Failures() []string { return f.failures }

// Target returns where the request was sent last, or TargetNone.
func (f *Execution[L]) Target() route.Target { return f.target }

// Serve carries w until it is answered, and returns the link that served it, still held.
//
// An error says whether the request can have run; no link is held then.
func (f *Execution[L]) Serve(ctx context.Context, w Operation[L]) (Held[L], error) {
	for {
		h, o, err := f.attempt(ctx, w)
		if err != nil {
			return Held[L]{}, err
		}
		if o.Answered {
			return h, nil
		}
		f.releaseFailed(h, o)
		f.failures = append(f.failures, h.Endpoint+": "+o.Attempt.Failure.String())
		if o.Err != nil {
			return Held[L]{}, o.Err
		}
		if err := f.classify(o.Attempt); err != nil {
			return Held[L]{}, err
		}
		if err := f.backOff(ctx, h, o.Attempt); err != nil {
			return Held[L]{}, err
		}
	}
}

// attempt makes one attempt; an error means that the request did not run and is given up.
func (f *Execution[L]) attempt(ctx context.Context, w Operation[L]) (h Held[L], o Outcome, err error) {
	f.attempts++
	if err := w.Prepare(ctx); err != nil {
		return h, o, err
	}
	d, r, err := f.decide(ctx, w)
	if err != nil {
		return h, o, err
	}
	h = Held[L]{
		Connections: f.cfg.Group.Connections(d.Endpoint()),
		Endpoint:    d.Endpoint(),
		OnReplica:   d.Target() == route.TargetReplica,
		Request:     r,
	}
	if h.Connections == nil {
		return f.acquireFailed(h, nil)
	}
	h.Link, err = f.acquire(ctx, h)
	if err != nil {
		return f.acquireFailed(h, err)
	}
	f.target = d.Target()
	if !h.OnReplica && !f.cfg.Group.LeaseValid() {
		return h, Outcome{Attempt: retry.Attempt{Failure: retry.FailureNoLease}, Reusable: true}, nil
	}
	return h, f.exchange(w, h), nil
}

// acquire waits for a link; the wait counts as load, so that other requests go where less waits.
func (f *Execution[L]) acquire(ctx context.Context, h Held[L]) (L, error) {
	g := f.cfg.Group
	ask := f.cfg.Ask
	if least := g.cfg.Clock().Add(f.cfg.Grace); f.cfg.Grace > 0 && ask.Deadline.Before(least) {
		ask.Deadline = least
	}
	g.View(func(t *route.Tracker) {
		ask.Service = t.Service(h.Endpoint)
		t.AddLoad(h.Endpoint, 1)
	})
	defer g.View(func(t *route.Tracker) { t.AddLoad(h.Endpoint, -1) })
	return h.Connections.Acquire(ctx, ask)
}

// exchange runs the attempt and tells the tracker how it ended.
func (f *Execution[L]) exchange(w Operation[L], h Held[L]) Outcome {
	g := f.cfg.Group
	started := g.cfg.Clock()
	g.View(func(t *route.Tracker) { t.AddLoad(h.Endpoint, 1) })
	o := w.Exchange(h)
	now := g.cfg.Clock()
	g.View(func(t *route.Tracker) {
		t.AddLoad(h.Endpoint, -1)
		switch {
		case o.Answered:
			t.Answered(h.Endpoint)
			t.Took(h.Endpoint, now.Sub(started))
		case o.Attempt.Failure == retry.FailureBehind:
			t.Behind(h.Endpoint, now)
		case o.Attempt.Failure == retry.FailureLost && o.Err == nil:
			t.Failed(h.Endpoint, now)
		}
	})
	return o
}

// acquireFailed turns a failed Acquire into a failed attempt, or gives up when a queue said no.
func (f *Execution[L]) acquireFailed(h Held[L], err error) (Held[L], Outcome, error) {
	kind := fault.KindOf(err)
	if err != nil && (kind == fault.KindTimeout || kind == fault.KindOverloaded) {
		return h, Outcome{}, err
	}
	if !errors.Is(err, ErrEndpointFull) {
		f.cfg.Group.View(func(t *route.Tracker) { t.SetDown(h.Endpoint, true) })
	}
	h.Connections = nil
	return h, Outcome{Attempt: retry.Attempt{Failure: retry.FailureConnect}}, nil
}

// releaseFailed lets go of the link of a failed attempt; one whose answer was read to the end is kept.
func (f *Execution[L]) releaseFailed(h Held[L], o Outcome) {
	switch {
	case h.Connections == nil:
	case o.Reusable:
		h.Release()
	default:
		h.Discard()
	}
}

// classify returns nil when the request may be sent again, and the final error otherwise.
func (f *Execution[L]) classify(a retry.Attempt) error {
	now := f.cfg.Group.cfg.Clock()
	v := retry.Judge(now, retry.Request{Idempotent: f.cfg.Idempotent, Deadline: f.cfg.Deadline}, a)
	if v != retry.VerdictRetry {
		return v.Error(a)
	}
	if a.Failure == retry.FailureBehind || f.cfg.AllowRetry(now) {
		return nil
	}
	if a.SentBytes && a.Failure == retry.FailureLost {
		return retry.VerdictUnknown.Error(a)
	}
	return retry.VerdictNotRun.Error(a)
}

// backOff waits before the next attempt as the failure asks.
func (f *Execution[L]) backOff(ctx context.Context, h Held[L], a retry.Attempt) error {
	if a.Failure == retry.FailureBehind {
		return nil
	}
	if a.Failure == retry.FailureReadOnly && !h.OnReplica {
		f.cfg.Group.View(func(t *route.Tracker) { t.Revoke() })
	}
	if Sleep(ctx, f.cfg.Backoff.Wait(f.attempts, rand.Float64())) != nil {
		return ErrDraining()
	}
	return nil
}

// rerouteInterval is the wait before a request without a target is routed again.
const rerouteInterval = 5 * time.Millisecond

// decide routes the request, waiting for a replica or for a confirmed primary as the decision asks.
func (f *Execution[L]) decide(ctx context.Context, w Operation[L]) (route.Decision, route.Request, error) {
	g := f.cfg.Group
	for {
		d, r, err := f.decideOnce(w)
		if err != nil && !f.mayAwaitTerm(err) {
			return d, r, err
		}
		if d.Target() == route.TargetReplica {
			if Sleep(ctx, d.Wait()) != nil {
				return d, r, ErrDraining()
			}
			return d, r, nil
		}
		if err := g.CheckExpectedWait(f.cfg.LeaseDeadline); err != nil {
			return d, r, err
		}
		if err := g.AwaitLease(ctx, f.cfg.LeaseDeadline); err != nil {
			return d, r, err
		}
		if d.Target() == route.TargetPrimary && g.Primary() == d.Endpoint() {
			return d, r, nil
		}
		if Sleep(ctx, rerouteInterval) != nil {
			return d, r, ErrDraining()
		}
		if !g.cfg.Clock().Before(f.cfg.LeaseDeadline) {
			return d, r, retry.VerdictNotRun.Error(retry.Attempt{Failure: retry.FailureNoLease})
		}
	}
}

// mayAwaitTerm reports whether err only says that the session has seen a newer term than this instance, and time is left to hear of it.
func (f *Execution[L]) mayAwaitTerm(err error) bool {
	return fault.KindOf(err) == fault.KindNoPrimary && f.cfg.Group.cfg.Clock().Before(f.cfg.LeaseDeadline)
}

func (f *Execution[L]) decideOnce(w Operation[L]) (d route.Decision, r route.Request, err error) {
	now := f.cfg.Group.cfg.Clock()
	f.cfg.Group.View(func(t *route.Tracker) {
		if r, err = w.Route(now, t); err == nil {
			d = f.cfg.Policy.Decide(now, t, r)
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

// ErrDraining returns the error of a request that an instance no longer takes because it shuts down.
func ErrDraining() error {
	return fault.New(fault.Config{
		Kind:    fault.KindDraining,
		Message: "this instance is shutting down; nothing of this request ran",
		Remedy:  "connect again; the balancer leads to another instance",
	})
}

// Sleep waits for d; it fails with the context's error when ctx ends first.
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
