package fleet

import (
	"sync"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/engine"
	"github.com/monsoontiller/monsoontiller/route"
)

// leasePermission tells whether this instance may hold leases; it is safe for concurrent use.
//
// A promotion waits for the instances that are registered when a majority of the members
// is fenced. An instance that is registered later can have no lease by requests that it
// sends from then on, so these alone count.
type leasePermission struct {
	mu sync.Mutex
	// since is when the registration was first known to be in the store, or zero while it is not.
	since time.Time
}

// Since returns when the registration was known to be in the store; ok is false while it is not.
func (p *leasePermission) Since() (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since, !p.since.IsZero()
}

// grant records that the registration is known to be in the store, and reports whether it was not before.
func (p *leasePermission) grant(now time.Time) (granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.since.IsZero() {
		return false
	}
	p.since = now
	return true
}

// withdraw records that the registration may be missing from the store.
func (p *leasePermission) withdraw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = time.Time{}
}

// apply applies the permission to the leases of a tracker.
func (p *leasePermission) apply(t *route.Tracker, now time.Time) {
	if since, ok := p.Since(); ok {
		t.AllowLeases(since)
		return
	}
	t.ForbidLeases(now)
}

// isRegistered reports whether this instance is known to be registered, so that promotions wait for its leases.
func (i *Instance[L]) isRegistered() bool {
	_, ok := i.permission.Since()
	return ok
}

// allowLeases allows leases from now on: the store has answered that this instance is registered.
func (i *Instance[L]) allowLeases() {
	if !i.permission.grant(clock.Now()) {
		return
	}
	i.meters.registered.Update(1)
	for _, g := range i.members.all() {
		i.permit(g)
	}
}

// forbidLeases ends all leases: the store may have lost the registration.
func (i *Instance[L]) forbidLeases() {
	i.permission.withdraw()
	i.meters.registered.Update(0)
	logLine(i.cfg.Logger, "level", "warn", "msg", "leases_forbidden", "reason", "the store has not confirmed the registration since it returned")
	for _, g := range i.members.all() {
		i.permit(g)
	}
}

// permit applies the permission to a group.
func (i *Instance[L]) permit(g *engine.Group[L]) {
	g.UpdateLeases(func(t *route.Tracker) { i.permission.apply(t, clock.Now()) })
}
