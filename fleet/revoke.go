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

// Where instances register, so that a promoter knows whose leases there may be.
const (
	instanceTable = "monsoontiller_instances"
	// registerPause is the wait before a registration is tried again.
	registerPause = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the registration at a stop.
	leaveTimeout = 300 * time.Millisecond
	// revokedFor is how long a revoked lease cannot be renewed: longer than the promotion's order can be given and take effect.
	revokedFor = coordinatorLeaseDuration + intentSlack
)

// registration writes this instance into the store and takes it out at a stop.
type registration[L Link[L]] struct {
	instance *Instance[L]
}

// Name returns the service's name.
func (r *registration[L]) Name() string { return "registration" }

// Run registers, however often that fails, and removes the registration once ctx ends.
func (r *registration[L]) Run(ctx context.Context) error {
	// The store takes no row without a value.
	row := store.Row{Table: instanceTable, Key: r.instance.cfg.Name, Value: []byte("{}")}
	for ctx.Err() == nil {
		_, err := r.instance.cfg.Store.Commit(ctx, store.Tx{Upserts: []store.Row{row}})
		if err == nil {
			r.count(ctx)
			break
		}
		if engine.Sleep(ctx, registerPause) != nil {
			return nil
		}
	}
	<-ctx.Done()
	leaving, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := r.instance.cfg.Store.Commit(leaving, store.Tx{Remove: []store.Row{row}}); err != nil {
		logLine(r.instance.cfg.Logger, "level", "info", "msg", "registration_left", "error", err.Error())
	}
	return nil
}

// count learns how many instances are registered; without it, this instance waits a little longer before it is a home.
func (r *registration[L]) count(ctx context.Context) {
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
		g.RevokeLease(term, clock.Now().Add(revokedFor))
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "lease_revoked", "group", name, "term", uint64(term))
}

// Revoke ends the leases of a group's terms up to term on all instances.
//
// It reports true only if every instance that may hold one did: all that are
// registered or known, dead ones included, since a dead one may only be cut off.
func (i *Instance[L]) Revoke(ctx context.Context, name string, term group.Term) bool {
	i.revoke(name, term)
	expected, err := i.possibleHolders(ctx)
	if err != nil {
		logLine(i.cfg.Logger, "level", "info", "msg", "leases_waited_out", "group", name, "error", err.Error())
		return false
	}
	for _, one := range append(i.node.Revoke(ctx, name, term), i.cfg.Name) {
		delete(expected, one)
	}
	missing := make([]string, 0, len(expected))
	for one := range expected {
		missing = append(missing, one)
	}
	logLine(i.cfg.Logger, "level", "info", "msg", "leases_revoked", "group", name, "term", uint64(term), "missing", strings.Join(missing, " "))
	return len(missing) == 0
}

// possibleHolders returns the instances that may hold a lease; it fails with KindUnavailable.
func (i *Instance[L]) possibleHolders(ctx context.Context) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	s, err := i.cfg.Store.All(ctx, instanceTable)
	if err != nil {
		return nil, err
	}
	out := map[string]bool{}
	for _, row := range s.Rows {
		out[row.Key] = true
	}
	for _, p := range i.node.Presences() {
		if p.State() != membership.StateLeft {
			out[p.Identity().Name()] = true
		}
	}
	return out, nil
}
