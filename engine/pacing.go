package engine

import (
	"maps"
	"time"

	"github.com/monsoontiller/monsoontiller/clock"
	"github.com/monsoontiller/monsoontiller/pace"
	"github.com/monsoontiller/monsoontiller/retry"
	"github.com/monsoontiller/monsoontiller/route"
)

// The number of answers over which the usual time of a member's answers is averaged.
//
// While a member is limited it is larger: a member that is slow for some seconds must not
// become the reference for itself, but one that stays slower is accepted as it is.
const (
	referenceAnswers        = 128
	limitedReferenceAnswers = 4 * referenceAnswers
)

// pacing is the pace of the member of one name; it outlives restarts of the member.
type pacing struct {
	controller  *pace.Controller
	ceiling     int
	incarnation int64
	// down, ejected and primary are the state in which the member was last seen.
	down, ejected, primary bool
	// restartedAt is the last restart with a limit above 1, on the clock of the connections. The single request that a limit
	// of 1 leaves is not lost with the restart: it may have been sent to a member that was already back.
	restartedAt time.Time
	restarts    int
	// lastRestart is the last restart on the clock of the group: requests sent earlier say nothing about the member since.
	lastRestart   time.Time
	reads, writes reference
}

// reference is the usual time of a member's answers to requests of one class.
type reference struct {
	mean    time.Duration
	answers int
}

func (r *reference) add(took time.Duration, limited bool) {
	r.answers = min(r.answers+1, referenceAnswers)
	weight := r.answers
	if limited && r.answers == referenceAnswers {
		weight = limitedReferenceAnswers
	}
	r.mean += (took - r.mean) / time.Duration(weight)
}

// reference returns the usual times of the answers to requests of a class.
func (p *pacing) reference(c route.Class) *reference {
	if c == route.ClassRead {
		return &p.reads
	}
	return &p.writes
}

// pacedPermits are the permits of a member's connections: the share of this instance, 0 for no limit, and while the pace
// restricts them its limit, which is 0 otherwise.
type pacedPermits struct {
	share int
	limit int
	// since is the last restart: the requests that were already running do not count towards the limit.
	since time.Time
}

// planned returns the permits with which the start of a waiting request is predicted: the pace doubles with the next answer
// in time.
func (p pacedPermits) planned(permits int) int {
	if p.limit == 0 {
		return permits
	}
	return p.atMostShare(2 * permits)
}

func (p pacedPermits) atMostShare(permits int) int {
	if p.share == 0 {
		return permits
	}
	return min(permits, p.share)
}

func (p *pacing) restart(now time.Time) {
	if p.controller.Limit() > 1 {
		p.restartedAt = clock.Now()
	}
	p.controller.Restart(now)
	p.lastRestart = now
	p.restarts++
}

// addPacingLocked prepares the pace of a new member, which starts at one request unless it is the process known before.
func (g *Group[L]) addPacingLocked(a Address) {
	if !g.cfg.Pace {
		return
	}
	p := g.pacings[a.Endpoint]
	if p != nil && p.incarnation == a.Incarnation {
		return
	}
	if p == nil {
		p = &pacing{controller: pace.New(pace.Config{})}
		g.pacings[a.Endpoint] = p
	}
	p.incarnation = a.Incarnation
	p.restart(g.cfg.Clock())
}

// maxPacings bounds the names whose pace is remembered: many times the members of a group.
const maxPacings = 256

// dropPacingsLocked forgets the names that are no longer members once there are maxPacings of them.
func (g *Group[L]) dropPacingsLocked() {
	if len(g.pacings) < maxPacings {
		return
	}
	maps.DeleteFunc(g.pacings, func(name string, _ *pacing) bool { return g.members[name] == nil })
}

// updatePaceLocked restarts the pace of the members that became unreachable, reachable, ejected, admitted again or primary
// since the last call, and applies the limits.
func (g *Group[L]) updatePaceLocked() {
	if !g.cfg.Pace {
		return
	}
	now := g.cfg.Clock()
	for name, m := range g.members {
		p := g.pacings[name]
		down, ejected, primary := g.tracker.Down(name), g.tracker.Ejected(name, now), g.tracker.Primary() == name
		if down != p.down || ejected != p.ejected || primary && !p.primary {
			p.restart(now)
		}
		p.down, p.ejected, p.primary = down, ejected, primary
		g.applyPermitsLocked(m)
	}
}

// applyPermitsLocked sets the permits of a member's connections to the smaller of this instance's share and the pace.
func (g *Group[L]) applyPermitsLocked(m *member[L]) {
	share := g.permits(m.address)
	p := g.pacings[m.address.Endpoint]
	if p == nil {
		m.connections.SetPermits(share)
		return
	}
	ceiling := share
	if ceiling == 0 {
		// Without a permit share, the connections bound the requests at the member.
		ceiling = max(1, g.limit-probeConnections)
	}
	p.ceiling = ceiling
	p.controller.SetCeiling(ceiling)
	paced := pacedPermits{share: share}
	if limit := p.controller.Limit(); limit < ceiling {
		paced.limit, paced.since = limit, p.restartedAt
	}
	if paced != m.paced {
		m.paced = paced
		m.connections.setPaced(paced)
	}
}

// recordPaceLocked passes the outcome of a request of a class, which took so long, to the member's controller.
//
// A refusal as read-only or behind, or an answer without a lease, says nothing about the member's capacity.
func (g *Group[L]) recordPaceLocked(endpoint string, o Outcome, c route.Class, took time.Duration) {
	p := g.pacings[endpoint]
	if p == nil {
		return
	}
	now := g.cfg.Clock()
	switch {
	case now.Add(-took).Before(p.lastRestart):
	case o.Answered:
		p.controller.Answered(now, took, g.expectedTimeLocked(endpoint, c))
		p.reference(c).add(took, p.controller.Limit() < p.ceiling)
	case o.Err != nil:
	case failedAtEndpoint(o.Attempt.Failure), o.Attempt.Failure == retry.FailureBusy, o.Attempt.Failure == retry.FailureConnect:
		p.controller.Failed(now)
	}
	g.updatePaceLocked()
}

// expectedTimeLocked returns the usual time of an answer of a member to a request of a class, or 0 if it is not known.
//
// It is the mean of the other members, or the member's own where that is longer: a
// member on slower hardware is measured by itself.
func (g *Group[L]) expectedTimeLocked(endpoint string, c route.Class) time.Duration {
	var sum time.Duration
	others := 0
	for name := range g.members {
		if r := g.pacings[name].reference(c); name != endpoint && r.answers > 0 {
			sum += r.mean
			others++
		}
	}
	own := g.pacings[endpoint].reference(c).mean
	if others == 0 {
		return own
	}
	return max(own, sum/time.Duration(others))
}

// Pace is the pace of a member.
type Pace struct {
	limit    int
	ceiling  int
	restarts int
}

// Limit returns the number of requests that this instance may have running at the member.
func (p Pace) Limit() int { return p.limit }

// Ceiling returns the number of requests at which the pace restricts nothing.
func (p Pace) Ceiling() int { return p.ceiling }

// Restarts returns how often the pace began at one request.
func (p Pace) Restarts() int { return p.restarts }

// Pace returns the pace of a member; limited is false if it restricts nothing or GroupConfig.Pace is not set.
func (g *Group[L]) Pace(endpoint string) (p Pace, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, known := g.pacings[endpoint]
	if !known {
		return Pace{}, false
	}
	p = Pace{limit: m.controller.Limit(), ceiling: m.ceiling, restarts: m.restarts}
	return p, p.limit < p.ceiling
}
