package failover

import (
	"sort"

	"github.com/monsoontiller/monsoontiller/group"
)

// holders is what an attempt knows of the logs of the members that may hold an acknowledged write.
type holders struct {
	// heard holds how much each member had received when it promised to receive no more.
	heard map[string]group.Point
	// unheard are the other members, in order.
	unheard []string
	// replicas is the number of replicas that receive a write before it is acknowledged.
	replicas int
}

// holders returns what the attempt knows: of the listed members and of those that are missing.
func (m *Machine) holders() holders {
	h := holders{heard: map[string]group.Point{}, replicas: m.cfg.RequiredReplicas}
	for _, name := range m.cfg.Members {
		if s, fenced := m.attempt.fenced[name]; fenced {
			h.heard[name] = s.Received()
		} else {
			h.unheard = append(h.unheard, name)
		}
	}
	for name := range m.missing {
		if _, listed := m.members[name]; !listed {
			h.unheard = append(h.unheard, name)
		}
	}
	sort.Strings(h.unheard)
	return h
}

// holdsAll reports whether the log of a member that was heard holds every acknowledged write, whoever was primary.
//
// A write is acknowledged once its primary and the required replicas have it. A member that lacks it has received less than
// each of these, so that all of them are unheard or ahead of it. If there are not as many such members, the member lacks none.
// Without required replicas, an acknowledged write may be lost with its primary, and any member may lead.
func (h holders) holdsAll(name string) bool {
	return h.replicas <= 0 || len(h.unheard)+len(h.ahead(name)) <= h.replicas
}

// ahead returns the members that have received more than a member that was heard, in order.
func (h holders) ahead(name string) []string {
	var names []string
	for other, received := range h.heard {
		if h.heard[name].Less(received) {
			names = append(names, other)
		}
	}
	sort.Strings(names)
	return names
}
