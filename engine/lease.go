package engine

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
)

// LeaseValid reports whether the primary may be used and answers of it acknowledged at this moment.
func (g *Group[L]) LeaseValid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseValidLocked()
}

func (g *Group[L]) leaseValidLocked() bool {
	until := g.tracker.LeaseUntil()
	if !g.cfg.Clock().Before(until) {
		return false
	}
	g.unconfirmedSince = until
	return true
}

// RevokeLease ends the leases of terms up to term, and of what is asked for before until.
func (g *Group[L]) RevokeLease(term group.Term, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.RevokeLease(term, g.cfg.Clock(), until)
}

// AwaitLease waits until the primary may be used; it fails with KindNoPrimary at the deadline.
func (g *Group[L]) AwaitLease(ctx context.Context, deadline time.Time) error {
	return g.await(ctx, deadline, g.leaseValidLocked)
}

// CheckExpectedWait returns an error at once where a primary is not expected to be confirmed by until.
//
// A lost primary is replaced after the usual outage, one that was demoted or whose
// lease was revoked sooner; until shortly before that, waiting would only end in a
// refusal. A primary that was heard of lately lacks nothing but a second member's
// confirmation, which may come at any moment, unless it has been lacking for a lease.
func (g *Group[L]) CheckExpectedWait(until time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.Outage == 0 || g.leaseValidLocked() {
		return nil
	}
	now := g.cfg.Clock()
	heard := g.tracker.PrimaryHeardAt()
	since, revoked, replaced := g.tracker.Succession()
	var back time.Time
	switch {
	case replaced && revoked:
		back = since.Add(g.cfg.PromotionTime)
	case replaced:
		back = since.Add(g.cfg.Lease + g.cfg.PromotionTime)
	case now.Sub(heard) < g.cfg.Lease && now.Sub(g.unconfirmedSince) < g.cfg.Lease:
		return nil
	case now.Sub(heard) < g.cfg.Lease:
		// A partition keeps the witnesses away, and nobody knows for how long.
	default:
		back = heard.Add(g.cfg.Outage)
	}
	if !back.After(now) {
		// The outage lasts longer than usual: nobody knows how long.
		back = now.Add(g.cfg.PromotionTime)
	}
	if !back.After(until) {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.KindNoPrimary,
		Message: fmt.Sprintf("group %s has no primary for %v yet; the request did not run", g.cfg.Name, back.Sub(now).Round(time.Millisecond)),
		Remedy:  fmt.Sprintf("try again in %v", back.Sub(now).Round(time.Millisecond)),
	})
}

// AwaitFloor returns a position of the primary that was probed at or after since, under a valid lease.
func (g *Group[L]) AwaitFloor(ctx context.Context, since, deadline time.Time) (group.Point, time.Time, error) {
	var point group.Point
	var at time.Time
	err := g.await(ctx, deadline, func() bool {
		point, at = g.tracker.PrimarySample()
		return !at.Before(since) && !point.IsZero() && g.leaseValidLocked()
	})
	return point, at, err
}

// await probes until ready, called under the lock, reports true.
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

func (g *Group[L]) noPrimaryError(cause error) error {
	return fault.New(fault.Config{
		Kind:    fault.KindNoPrimary,
		Message: "no primary of group " + g.cfg.Name + " is confirmed by a second member",
		Remedy:  "try again in a few seconds; `monsoontiller explain` names the members that do not answer",
		Cause:   cause,
	})
}

// Leads reports whether s comes from the primary of the newest term known.
func (g *Group[L]) Leads(s group.Status) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.Role() == group.RolePrimary && s.Endpoint() == g.tracker.Primary() && s.Point().Term() == g.tracker.Term()
}

// AwaitReplicated waits until a second member holds the log up to point.
//
// It fails with KindNoPrimary at the deadline, and with KindLostWrite as soon as a failover has lost the point.
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
			Remedy:  "enter the request again",
		})
	}
	return err
}

// lostLocked reports whether the newest term's log lacks point.
func (g *Group[L]) lostLocked(point group.Point) bool {
	_, fate := g.tracker.History().Resolve(point)
	return fate == group.FateLost || fate == group.FateForgotten
}

// MayAcknowledge reports whether an answer that rests on point may be given to its caller at this moment: the newest term holds the point and its primary is confirmed.
func (g *Group[L]) MayAcknowledge(point group.Point) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaseValidLocked() && !g.lostLocked(point)
}

// UnknownPoint stands for an answer in a term that came without a position: it survives no change of term.
func (g *Group[L]) UnknownPoint() group.Point {
	g.mu.Lock()
	defer g.mu.Unlock()
	return group.NewPoint(g.tracker.Term(), math.MaxUint64)
}
