package fleet

import (
	"context"
	"strings"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/membership"
)

// revocationTime is how long a revoked lease cannot be renewed: until the promotion can no longer be ordered or take effect.
const revocationTime = coordinatorLeaseDuration + intentSlack

// revoke ends the leases of a group that r names on this instance.
func (i *Instance[L]) revoke(name string, r failover.Revoke) {
	if g := i.members.group(name); g != nil {
		g.RevokeLease(r, clock.Now().Add(revocationTime))
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "lease_revoked", "group", name, "term", uint64(r.Term),
		"reported", uint64(r.Reported), "ordered", strings.Join(r.Ordered, " "))
}

// Revoke ends the leases of a group that r names on all instances.
//
// It reports true only if every instance that may hold a lease ended it: each instance that is registered, or known and
// not left. Dead instances are included, since they may only be partitioned.
func (i *Instance[L]) Revoke(ctx context.Context, name string, r failover.Revoke) bool {
	i.revoke(name, r)
	expected, err := i.possibleHolders(ctx)
	if err != nil {
		logLine(i.cfg.Logger, "level", "info", "msg", "leases_waited_out", "group", name, "error", err.Error())
		return false
	}
	for _, instance := range append(i.node.Revoke(ctx, name, r, func(name string) bool { return expected[name] }), i.cfg.Name) {
		delete(expected, instance)
	}
	missing := make([]string, 0, len(expected))
	for instance := range expected {
		missing = append(missing, instance)
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "leases_revoked", "group", name, "term", uint64(r.Term), "missing", strings.Join(missing, " "))
	return len(missing) == 0
}

// possibleHolders returns the instances that may hold a lease; it fails with KindUnavailable, also while registrations may be
// missing because the store has lost them.
func (i *Instance[L]) possibleHolders(ctx context.Context) (map[string]bool, error) {
	if alive, _ := i.counts(); !i.era.LastsFor(reregistrationTime(alive), clock.Now()) {
		return nil, restoredError(fault.KindUnavailable, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	s, err := i.cfg.Store.All(ctx, instanceTable)
	if err != nil {
		return nil, err
	}
	holders := map[string]bool{}
	for _, row := range s.Rows {
		holders[row.Key] = true
	}
	for _, p := range i.node.Presences() {
		if p.State() != membership.StateLeft {
			holders[p.Identity().Name()] = true
		}
	}
	return holders, nil
}
