package fleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/membership"
)

// standby reports whether this instance fetches the lease evidence of a group from another home, which probes the members.
func (i *Instance[L]) standby(group string) bool {
	rank, _ := i.GroupRank(group)
	return rank > 0
}

// relay fetches lease evidence from other instances, along a tree of bounded fan-out over the homes of each group.
//
// While the source does not answer, the evidence here ages, and this instance
// probes the members itself.
type relay[L Link[L]] struct {
	instance *Instance[L]
	// versionsFetchedAt is when this instance last fetched versions without evidence.
	versionsFetchedAt time.Time
}

// Name returns the service's name.
func (r *relay[L]) Name() string { return "relay" }

// Run fetches evidence at every interval until ctx ends.
func (r *relay[L]) Run(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
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

// versionsInterval is how often an instance that needs no evidence checks for newer versions: a few times within the
// shortest bound on how late a configuration may come into force.
const versionsInterval = 800 * time.Millisecond

// proofVersionsInterval is that interval where keys need a proof: it passes two relays before an instance would ask the store
// itself.
const proofVersionsInterval = 400 * time.Millisecond

// versionsInterval returns how often this instance checks for newer versions where it needs no evidence.
func (i *Instance[L]) versionsInterval() time.Duration {
	if i.needsKeyProof() {
		return proofVersionsInterval
	}
	return versionsInterval
}

// pull fetches from all sources concurrently.
func (r *relay[L]) pull(ctx context.Context) {
	sources := r.instance.evidenceSources()
	for name, source := range sources {
		if len(source.groups) > 0 {
			continue
		}
		if clock.Since(r.versionsFetchedAt) < r.instance.versionsInterval() {
			delete(sources, name)
			continue
		}
		r.versionsFetchedAt = clock.Now()
	}
	done := make(chan struct{}, len(sources))
	for _, source := range sources {
		go func() {
			r.fetch(ctx, source)
			done <- struct{}{}
		}()
	}
	for range sources {
		<-done
	}
}

func (r *relay[L]) fetch(ctx context.Context, source evidenceSource) {
	instance := source.instance
	evidence, err := r.instance.node.Evidence(ctx, instance, source.groups)
	r.instance.logSourceState(instance.Name(), err)
	if err != nil {
		select {
		case r.instance.sourceLost <- struct{}{}:
		default:
		}
		return
	}
	r.instance.hintEra(evidence.StoreEra, instance.Name())
	version, _ := r.instance.directory.Version()
	if evidence.Configuration > version || evidence.Endpoints.After(r.instance.members.Position()) {
		r.instance.node.Exchange(ctx, instance)
	}
	r.instance.confirmRelayed(evidence)
	for _, e := range evidence.Members {
		if g := r.instance.members.group(e.Group); g != nil {
			g.ObserveRelayed(e.SentAt, e.Status)
		}
	}
	for _, e := range evidence.Stores {
		if g := r.instance.members.group(e.Group); g != nil {
			g.ConfirmByStore(e.SentAt, e.Term)
		}
	}
}

// evidenceSource is an instance to fetch evidence from, and the groups to fetch; without groups only versions are fetched.
type evidenceSource struct {
	instance membership.Identity
	groups   []string
}

// evidenceSources returns the instances to fetch evidence from: for each group the parent of this home in the tree.
func (i *Instance[L]) evidenceSources() map[string]evidenceSource {
	sources := map[string]evidenceSource{}
	for _, g := range i.members.all() {
		rank, _ := i.GroupRank(g.Name())
		homes := i.homes(g.Name())
		if rank == 0 || rank >= len(homes) {
			continue
		}
		source := homes[(rank-1)/relayFanout]
		sources[source.Name()] = evidenceSource{instance: source, groups: append(sources[source.Name()].groups, g.Name())}
	}
	if source, ok := i.storeReader(); ok && len(sources) == 0 {
		sources[source.Name()] = evidenceSource{instance: source}
	}
	if source, ok := i.proofSource(); ok && sources[source.Name()].groups == nil {
		sources[source.Name()] = evidenceSource{instance: source}
	}
	return sources
}

// proofSource returns the instance that renews the proof of the keys, if this one follows the store beside it; ok is false
// otherwise.
func (i *Instance[L]) proofSource() (source membership.Identity, ok bool) {
	groups := i.directory.GroupNames()
	if !i.needsKeyProof() || len(groups) == 0 || len(i.presumedAlive()) <= maxFleetAllFollow || !i.followsStore() {
		return source, false
	}
	homes := i.homes(groups[0])
	if len(homes) == 0 || homes[0].Name() == i.cfg.Name {
		return source, false
	}
	return homes[0], true
}

// storeReader returns an instance that follows the store; ok is false if this one follows it itself, or if none is known.
func (i *Instance[L]) storeReader() (source membership.Identity, ok bool) {
	if i.followsStore() {
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

// followsStore reports whether this instance follows the store itself.
//
// In a small fleet all instances do; in a larger one the first home of each group
// does, and the others learn of a newer version with the evidence that they fetch.
func (i *Instance[L]) followsStore() bool {
	groups := i.directory.GroupNames()
	if len(i.presumedAlive()) <= maxFleetAllFollow || len(groups) == 0 {
		return true
	}
	for _, name := range groups {
		if homes := i.homes(name); len(homes) == 0 || homes[0].Name() == i.cfg.Name {
			return true
		}
	}
	return false
}

// logSourceState logs when a source of evidence fails, and when it answers again.
func (i *Instance[L]) logSourceState(source string, err error) {
	i.mu.Lock()
	wasLost := i.lostSources[source]
	if err == nil {
		delete(i.lostSources, source)
	} else {
		i.lostSources[source] = true
	}
	i.mu.Unlock()
	switch {
	case err != nil && !wasLost:
		logLine(i.cfg.Logger, "level", "warn", "msg", "evidence_lost", "source", source, "error", errorText(err))
	case err == nil && wasLost:
		logLine(i.cfg.Logger, "level", "info", "msg", "evidence_regained", "source", source)
	}
}
