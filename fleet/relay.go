package fleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/membership"
)

// standby reports whether this instance gets the evidence of a group from another home.
func (i *Instance[L]) standby(group string) bool {
	place, _ := i.GroupPlace(group)
	return place > 0
}

// relay gets the evidence of leases from the instance before this one in a tree of bounded fan-out.
//
// While that one does not answer, the evidence here grows old, and this instance
// probes for itself.
type relay[L Link[L]] struct {
	instance *Instance[L]
	// versionsAt is when an instance that needs no evidence last asked for versions.
	versionsAt time.Time
}

// Name returns the service's name.
func (r *relay[L]) Name() string { return "relay" }

// Run asks for evidence at every interval until ctx ends.
func (r *relay[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(relayEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.pull(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// versionsEvery is how often an instance without evidence to get asks for newer versions: a few times within the
// shortest bound on how late a configuration may come into force.
const versionsEvery = 800 * time.Millisecond

// pull asks each source of evidence once, all at the same time.
func (r *relay[L]) pull(ctx context.Context) {
	sources := r.instance.evidenceSources()
	for name, one := range sources {
		if len(one.groups) > 0 {
			continue
		}
		if clock.Since(r.versionsAt) < versionsEvery {
			delete(sources, name)
			continue
		}
		r.versionsAt = clock.Now()
	}
	ends := make(chan struct{}, len(sources))
	for _, source := range sources {
		go func() {
			r.ask(ctx, source)
			ends <- struct{}{}
		}()
	}
	for range sources {
		<-ends
	}
}

func (r *relay[L]) ask(ctx context.Context, from evidenceSource) {
	source := from.instance
	all, err := r.instance.node.Evidence(ctx, source, from.groups)
	r.instance.relayLost(source.Name(), err)
	if err != nil {
		return
	}
	version, _ := r.instance.directory.Version()
	if all.Configuration > version || all.Endpoints > r.instance.members.Version() {
		r.instance.node.Exchange(ctx, source)
	}
	for _, e := range all.Members {
		if g := r.instance.members.group(e.Group); g != nil {
			g.Heard(e.SentAt, e.Status)
		}
	}
	for _, e := range all.Stores {
		if g := r.instance.members.group(e.Group); g != nil {
			g.StoreConfirmed(e.SentAt, e.Term)
		}
	}
}

// evidenceSource is an instance to get evidence from, and of which groups; of none, it tells the versions only.
type evidenceSource struct {
	instance membership.Identity
	groups   []string
}

// evidenceSources returns the instances to get evidence from: for each group the home before this one in a tree.
//
// Where all instances are homes of all groups, their order is that of the first group.
func (i *Instance[L]) evidenceSources() map[string]evidenceSource {
	out := map[string]evidenceSource{}
	for _, g := range i.members.all() {
		place, _ := i.GroupPlace(g.Name())
		homes := i.homes(g.Name())
		if place == 0 || place >= len(homes) {
			continue
		}
		source := homes[(place-1)/relayFanout]
		out[source.Name()] = evidenceSource{instance: source, groups: append(out[source.Name()].groups, g.Name())}
	}
	if source, ok := i.reader(); ok && len(out) == 0 {
		out[source.Name()] = evidenceSource{instance: source}
	}
	return out
}

// reader returns an instance that reads the store, for one that does not and is no home either.
func (i *Instance[L]) reader() (source membership.Identity, ok bool) {
	if i.readsStore() {
		return source, false
	}
	groups := i.directory.GroupNames()
	if len(groups) == 0 {
		return source, false
	}
	homes := i.homes(groups[int(xxhash.Sum64String(i.cfg.Name)%uint64(len(groups)))])
	if len(homes) == 0 {
		return source, false
	}
	return homes[0], true
}

// readsStore reports whether this instance follows the store itself.
//
// In a small fleet all do; in a larger one the first home of each group does, and
// the others learn of a newer version with the evidence that they ask for.
func (i *Instance[L]) readsStore() bool {
	alive, _ := i.counts()
	groups := i.directory.GroupNames()
	if alive <= allReadStore || len(groups) == 0 {
		return true
	}
	for _, name := range groups {
		if homes := i.homes(name); len(homes) == 0 || homes[0].Name() == i.cfg.Name {
			return true
		}
	}
	return false
}

// relayLost logs when a source of evidence is lost, and when it is back.
func (i *Instance[L]) relayLost(source string, err error) {
	i.mu.Lock()
	before := i.lostSources[source]
	if err == nil {
		delete(i.lostSources, source)
	} else {
		i.lostSources[source] = true
	}
	i.mu.Unlock()
	switch {
	case err != nil && !before:
		logLine(i.cfg.Logger, "level", "warn", "msg", "evidence_lost", "source", source, "error", errorText(err))
	case err == nil && before:
		logLine(i.cfg.Logger, "level", "info", "msg", "evidence_regained", "source", source)
	}
}
