package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/store"
)

// Registration of instances, from which the promotion coordinator knows which instances may hold leases.
const (
	instanceTable = "monsoontiller_instances"
	// registerPause is the wait before a failed registration is tried again.
	registerPause = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the registration at shutdown.
	leaveTimeout = 300 * time.Millisecond
	// revocationTime is how long a revoked lease cannot be renewed: until the promotion can no longer be ordered or take effect.
	revocationTime = coordinatorLeaseDuration + intentSlack
)

// registration registers this instance in the store, and removes the registration at shutdown.
type registration[L Link[L]] struct {
	instance *Instance[L]
}

// Name returns the service's name.
func (r *registration[L]) Name() string { return "registration" }

// Run registers, retrying until that succeeds, and removes the registration once ctx ends.
func (r *registration[L]) Run(ctx context.Context) error {
	// The store accepts no row without a value.
	row := store.Row{Table: instanceTable, Key: r.instance.cfg.Name, Value: []byte("{}")}
	for ctx.Err() == nil {
		_, err := r.instance.cfg.Store.Commit(ctx, store.Tx{Upserts: []store.Row{row}})
		if err == nil {
			r.countRegistered(ctx)
			break
		}
		if engine.Sleep(ctx, registerPause) != nil {
			return nil
		}
	}
	<-ctx.Done()
	removeCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := r.instance.cfg.Store.Commit(removeCtx, store.Tx{Remove: []store.Row{row}}); err != nil {
		logLine(r.instance.cfg.Logger, "level", "info", "msg", "registration_left", "error", err.Error())
	}
	return nil
}

// countRegistered reads the number of registered instances; without it, this instance waits longer before it acts as a home.
func (r *registration[L]) countRegistered(ctx context.Context) {
	s, err := r.instance.cfg.Store.All(ctx, instanceTable)
	if err != nil {
		logLine(r.instance.cfg.Logger, "level", "info", "msg", "registrations_unknown", "error", err.Error())
		return
	}
	r.instance.registered.Store(int64(len(s.Rows)))
}

// revoke ends the lease of a group's primary on this instance.
func (i *Instance[L]) revoke(name string, term group.Term) {
	if g := i.members.group(name); g != nil {
		g.RevokeLease(term, clock.Now().Add(revocationTime))
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "lease_revoked", "group", name, "term", uint64(term))
}

// Revoke ends the leases of a group's terms up to term on all instances.
//
// It reports true only if every instance that may hold a lease ended it: each instance that is registered, or known and
// not left. Dead instances are included, since they may only be partitioned.
func (i *Instance[L]) Revoke(ctx context.Context, name string, term group.Term) bool {
	i.revoke(name, term)
	expected, err := i.possibleHolders(ctx)
	if err != nil {
		logLine(i.cfg.Logger, "level", "info", "msg", "leases_waited_out", "group", name, "error", err.Error())
		return false
	}
	for _, instance := range append(i.node.Revoke(ctx, name, term), i.cfg.Name) {
		delete(expected, instance)
	}
	missing := make([]string, 0, len(expected))
	for instance := range expected {
		missing = append(missing, instance)
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "leases_revoked", "group", name, "term", uint64(term), "missing", strings.Join(missing, " "))
	return len(missing) == 0
}

// possibleHolders returns the instances that may hold a lease; it fails with KindUnavailable.
func (i *Instance[L]) possibleHolders(ctx context.Context) (map[string]bool, error) {
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
