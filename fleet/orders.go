package fleet

import (
	"context"
	"sync"

	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

func failoverConfig(name, instance string) failover.Config {
	return failover.Config{
		Group:            name,
		Instance:         instance,
		Lease:            leaseDuration,
		SuspectAfter:     suspectAfter,
		RefusedAfter:     refusedAfter,
		Stagger:          stagger,
		StepTimeout:      stepTimeout,
		ViewInterval:     viewInterval,
		TakeOverAfter:    takeOverAfter,
		CatchUpTimeout:   catchUpTimeout,
		ClaimTimeout:     claimTimeout,
		SequentialTerms:  true,
		ExcludeDemoted:   true,
		ReleaseAbandoned: true,
		ClaimRequired:    true,
	}
}

// orders sends promotion orders to the members of a group; it is safe for concurrent use.
//
// Members do not record the attempt to which they made a promise. Only the promotion coordinator fences,
// so a promise to the term of this instance's own attempt belongs to that attempt.
type orders[L Link[L]] struct {
	instance *Instance[L]
	name     string
	group    func() *engine.Group[L]
	observer engine.Observer
	mu       sync.Mutex
	attempt  string
	term     group.Term
	// lastStates is the state that each member last reported, so that changes are logged.
	lastStates map[string]memberState
}

// memberState is what a member reports of its role and term.
type memberState struct {
	role     group.Role
	term     group.Term
	promised group.Term
}

func (o *orders[L]) setAttempt(term group.Term, attempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = term
	o.attempt = attempt
}

// Fence orders a replica to promise term, or the primary to become a replica for it, if this instance holds the coordinator
// lease.
func (o *orders[L]) Fence(endpoint string, term group.Term, attempt string) {
	o.setAttempt(term, attempt)
	if _, ok := o.instance.coordinator.Held(); !ok {
		logLine(o.instance.cfg.Logger, "level", "warn", "msg", "fence_left_out", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "reason", "the lease of the promotion coordinator has ended")
		return
	}
	isPrimary := o.group().Primary() == endpoint
	o.group().Send(endpoint, func(ctx context.Context, link L) (group.Status, error) {
		s, err := o.fence(ctx, link, term, isPrimary)
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "endpoint_fenced", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "demoted", isPrimary, "role", s.Role().String(), "point", s.Received().String(), "error", errorText(err))
		return s, err
	})
}

func (o *orders[L]) fence(ctx context.Context, link L, term group.Term, isPrimary bool) (group.Status, error) {
	if !isPrimary {
		return link.PauseReplication(ctx, term)
	}
	s, err := link.Demote(ctx, term)
	if err == nil && s.Role() == group.RoleReplica {
		s = s.WithPromise(term)
	}
	return s, err
}

// Release resumes a replica's replication if this instance holds the coordinator lease: no other instance can then have
// fenced the replica for its own promotion.
func (o *orders[L]) Release(endpoint string, term group.Term, _ string) {
	if _, ok := o.instance.coordinator.Held(); !ok {
		return
	}
	o.group().Send(endpoint, func(ctx context.Context, link L) (group.Status, error) {
		s, err := link.ResumeReplication(ctx)
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "endpoint_released", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "error", errorText(err))
		return s, err
	})
}

// Promote orders the promotion of a member, and claims the coordinator lease first if it has ended.
func (o *orders[L]) Promote(endpoint string, term group.Term, attempt string) {
	o.setAttempt(term, attempt)
	o.group().Send(endpoint, func(ctx context.Context, link L) (group.Status, error) {
		err := o.promote(ctx, endpoint, term)
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "promotion_ordered", "group", o.name, "endpoint", endpoint,
			"term", uint64(term), "error", errorText(err))
		if err != nil {
			return group.Status{}, fault.New(fault.Config{
				Kind:    fault.KindOverloaded,
				Message: "the promotion was not ordered",
				Remedy:  "no action needed; it is ordered again",
				Cause:   err,
			})
		}
		return link.Status(ctx)
	})
}

func (o *orders[L]) promote(ctx context.Context, endpoint string, term group.Term) error {
	i := o.instance
	if _, ok := i.coordinator.Held(); !ok {
		if err := i.coordinator.Claim(ctx, o.name, term); err != nil {
			return err
		}
	}
	token, ok := i.coordinator.Held()
	if !ok {
		return fault.New(fault.Config{
			Kind:    fault.KindConflict,
			Message: "the lease of the promotion coordinator has ended",
			Remedy:  "no action needed; it is claimed again",
		})
	}
	i.ordered.Add(o.name, term)
	return i.cfg.Adapter.Promote(ctx, Promotion{Group: o.name, Endpoint: endpoint, Holder: i.cfg.Name, Token: token})
}

// Probed forwards a member's status, with this instance's attempt if the member's promise or term belongs to it.
func (o *orders[L]) Probed(s group.Status) {
	o.mu.Lock()
	own := o.attempt != "" && (s.Promised() == o.term || s.Point().Term() == o.term)
	attempt := o.attempt
	state := memberState{role: s.Role(), term: s.Point().Term(), promised: s.Promised()}
	changed := o.lastStates[s.Endpoint()] != state
	if o.lastStates == nil {
		o.lastStates = map[string]memberState{}
	}
	o.lastStates[s.Endpoint()] = state
	o.mu.Unlock()
	if changed {
		logLine(o.instance.cfg.Logger, "level", "info", "msg", "endpoint_part", "group", o.name, "endpoint", s.Endpoint(),
			"role", state.role.String(), "term", uint64(state.term), "promised", uint64(state.promised), "point", s.Received().String())
	}
	if own {
		s = s.WithAttempt(attempt)
	}
	o.observer.Probed(s)
}

// ProbeFailed forwards a failed probe of a member.
func (o *orders[L]) ProbeFailed(endpoint string, refused bool) {
	o.observer.ProbeFailed(endpoint, refused)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
