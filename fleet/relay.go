package fleet

import (
	"context"
	"time"

	"github.com/monsoontiller/monsoontiller/membership"
)

// probeDuty ranks the instances for probing: the first probes, the others get their evidence from those before them.
const probeDuty = "probe"

// standby reports whether this instance gets its evidence from another one.
func (i *Instance[L]) standby() bool {
	place, _ := i.Place(probeDuty)
	return place > 0
}

// relay gets the evidence of leases from the instance before this one in a tree of bounded fan-out.
//
// While that one does not answer, the evidence here grows old, and this instance
// probes for itself.
type relay[L Link[L]] struct {
	instance *Instance[L]
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

func (r *relay[L]) pull(ctx context.Context) {
	source, ok := r.instance.evidenceSource()
	if !ok {
		return
	}
	all, err := r.instance.node.Evidence(ctx, source)
	if err != nil {
		r.instance.relayLost(source.Name(), err)
		return
	}
	r.instance.relayLost("", nil)
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

// evidenceSource returns the instance to get evidence from; ok is false on the one that probes.
func (i *Instance[L]) evidenceSource() (source membership.Identity, ok bool) {
	place, _ := i.Place(probeDuty)
	if place == 0 {
		return source, false
	}
	alive, _ := i.node.View()
	names := make([]string, 0, len(alive))
	for _, one := range alive {
		names = append(names, one.Name())
	}
	parent := membership.Rank(probeDuty, names)[(place-1)/relayFanout]
	for _, one := range alive {
		if one.Name() == parent {
			return one, true
		}
	}
	return source, false
}

// relayLost logs when the source of evidence is lost, and when there is one again.
func (i *Instance[L]) relayLost(source string, err error) {
	i.mu.Lock()
	before := i.lostSource
	i.lostSource = source
	i.mu.Unlock()
	switch {
	case source != "" && before == "":
		logLine(i.cfg.Logger, "level", "warn", "msg", "evidence_lost", "source", source, "error", errorText(err))
	case source == "" && before != "":
		logLine(i.cfg.Logger, "level", "info", "msg", "evidence_regained", "source", before)
	}
}
