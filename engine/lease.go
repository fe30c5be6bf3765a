package engine

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/route"
)

// LeaseValid reports whether the primary's lease is valid now, so that it may be used and its answers acknowledged.
func (g *Group[L]) LeaseValid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseValidLocked()
}

// leaseValidLocked reports whether the lease is valid, and if so sets unconfirmedSince to its end.
func (g *Group[L]) leaseValidLocked() bool {
	until := g.tracker.LeaseUntil()
	if !g.cfg.Clock().Before(until) {
		return false
	}
	g.unconfirmedSince = until
	return true
}

// RevokeLease ends the leases that r names; only evidence requested at or after until can renew them.
func (g *Group[L]) RevokeLease(r failover.Revoke, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	if len(r.Ordered) == 0 {
		g.tracker.RevokeLease(r.Term, now, until)
		return
	}
	g.tracker.RevokeLease(r.Reported, now, until)
	g.tracker.RevokeLeaseOf(r.Ordered, r.Term, now, until)
}

// UpdateLeases calls f, which may allow or forbid leases, with the tracker under the group's lock, and wakes what waits for one.
func (g *Group[L]) UpdateLeases(f func(t *route.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
	g.broadcastLocked()
}

// AwaitLease waits until the primary's lease is valid; it fails with KindNoPrimary at the deadline.
func (g *Group[L]) AwaitLease(ctx context.Context, deadline time.Time) error {
	return g.await(ctx, deadline, g.leaseValidLocked)
}

// CheckExpectedWait returns an error at once if no primary is expected to be confirmed by until.
//
// A failed primary is expected to be replaced after GroupConfig.Outage, and a
// demoted one, or one whose lease was revoked, earlier; a request whose deadline
// comes first is refused at once, since it would wait only to be refused later. A
// primary that was seen recently lacks only a second member's confirmation, which
// may arrive at any moment; requests wait for it until it has been missing for a
// whole lease. In a group that has just been created, they wait for the first probes.
func (g *Group[L]) CheckExpectedWait(until time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tracker.LeasesForbidden() {
		return errLeasesForbidden
	}
	if g.cfg.Outage == 0 || g.leaseValidLocked() {
		return nil
	}
	now := g.cfg.Clock()
	lastSeen := g.tracker.PrimaryConfirmedAt()
	since, revoked, replaced := g.tracker.PendingReplacement()
	var expectedAt time.Time
	switch {
	case g.tracker.Term() == 0 && now.Sub(g.unconfirmedSince) < g.cfg.ProbeTimeout:
		return nil
	case replaced && revoked:
		expectedAt = since.Add(g.cfg.PromotionTime)
	case replaced:
		expectedAt = since.Add(g.cfg.Lease + g.cfg.PromotionTime)
	case now.Sub(lastSeen) < g.cfg.Lease && now.Sub(g.unconfirmedSince) < g.cfg.Lease:
		return nil
	case now.Sub(lastSeen) < g.cfg.Lease:
		// The witnesses are partitioned from this instance, for an unknown time.
	default:
		expectedAt = lastSeen.Add(g.cfg.Outage)
	}
	if !expectedAt.After(now) {
		// The outage has outlasted the estimate, and its end is unknown.
		expectedAt = now.Add(g.cfg.PromotionTime)
	}
	if !expectedAt.After(until) {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.KindNoPrimary,
		Message: fmt.Sprintf("group %s has no primary for %v yet; the request did not run", g.cfg.Name, expectedAt.Sub(now).Round(time.Millisecond)),
		Remedy:  fmt.Sprintf("try again in %v", expectedAt.Sub(now).Round(time.Millisecond)),
	})
}

// errLeasesForbidden is the error of requests that need a lease where none may be held.
var errLeasesForbidden = fault.New(fault.Config{
	Kind:    fault.KindNoPrimary,
	Message: "this instance is not registered and may not use a primary yet; the request did not run",
	Remedy:  "connect through another instance, or try again in a second",
})

// Log returns the identifier of the group's log, to which the points of its members belong.
func (g *Group[L]) Log() group.Log { return g.log }

// AwaitFloor waits for a log point of the primary that was requested at or after since, under a valid lease, and
// returns it with the time of that request; it fails with KindNoPrimary at the deadline.
func (g *Group[L]) AwaitFloor(ctx context.Context, since, deadline time.Time) (group.Point, time.Time, error) {
	var point group.Point
	var at time.Time
	err := g.await(ctx, deadline, func() bool {
		point, at = g.tracker.PrimarySample()
		return !at.Before(since) && !point.IsZero() && g.leaseValidLocked()
	})
	return point, at, err
}

// await triggers probes until ready reports true; ready is called with the group locked.
//
// It fails with KindNoPrimary when the deadline passes or ctx ends.
func (g *Group[L]) await(ctx context.Context, deadline time.Time, ready func() bool) error {
	timer := time.NewTimer(clock.Until(deadline))
	defer timer.Stop()
	for {
		g.mu.Lock()
		ok := ready()
		changed := g.changed
		g.mu.Unlock()
		if ok {
			return nil
		}
		g.triggerProbes()
		select {
		case <-changed:
		case <-timer.C:
			return g.noPrimaryError(nil)
		case <-ctx.Done():
			return g.noPrimaryError(ctx.Err())
		}
	}
}

// noPrimaryError returns the error of a wait for a primary that ended without one.
func (g *Group[L]) noPrimaryError(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindNoPrimary,
		Message: "no primary of group " + g.cfg.Name + " is confirmed by a second member",
		Remedy:  "try again in a few seconds; `monsoontiller explain` names the members that do not answer",
		Cause:   cause,
	})
}

// IsFromPrimary reports whether s is from the primary of the newest known term.
func (g *Group[L]) IsFromPrimary(s group.Status) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.Role() == group.RolePrimary && s.Endpoint() == g.tracker.Primary() && s.Point().Term() == g.tracker.Term()
}

// AwaitReplicated waits until a second member has replicated the log up to point.
//
// It fails with KindNoPrimary at the deadline, and with KindLostWrite once a failover is known to have lost the point.
func (g *Group[L]) AwaitReplicated(ctx context.Context, point group.Point, deadline time.Time) error {
	lost := false
	err := g.await(ctx, deadline, func() bool {
		lost = g.lostLocked(point)
		return lost || g.tracker.Replicated(point)
	})
	if err == nil && lost {
		return fault.New(fault.Config{
			Kind:    fault.KindLostWrite,
			Message: "the failover of group " + g.cfg.Name + " lost the write at " + point.String(),
			Remedy:  "send the request again",
		})
	}
	return err
}

// lostLocked reports whether point is missing from the log of the newest term, or too old to be resolved.
func (g *Group[L]) lostLocked(point group.Point) bool {
	_, resolution := g.tracker.History().Resolve(point)
	return resolution == group.ResolutionLost || resolution == group.ResolutionExpired
}

// MayAcknowledge reports whether an answer that depends on point may be acknowledged now: the log of the newest term
// contains the point, and its primary is confirmed.
func (g *Group[L]) MayAcknowledge(point group.Point) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseValidLocked() && !g.lostLocked(point)
}

// UnknownPoint returns the point of an answer that came without a position: the greatest position of the newest term,
// so that the point counts as lost after any change of term.
func (g *Group[L]) UnknownPoint() group.Point {
	g.mu.Lock()
	defer g.mu.Unlock()
	return group.NewPoint(g.tracker.Term(), math.MaxUint64)
}
