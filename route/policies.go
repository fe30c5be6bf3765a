package route

import "time"

// PrimaryOnly is the baseline policy that sends every request to the primary.
type PrimaryOnly struct{}

// Decide returns the primary, or TargetNone when none is known.
func (PrimaryOnly) Decide(_ time.Time, t *Tracker, _ Request) Decision { return toPrimary(t) }

// FixedWait is the baseline policy that sends reads to the replicas round robin, a fixed time after the floor.
type FixedWait struct {
	// Wait is the least age of the floor when the read is sent.
	Wait time.Duration
	next int
}

// Decide returns the next usable replica for a read, or the primary for a write or when the wait exceeds the budget.
func (p *FixedWait) Decide(now time.Time, t *Tracker, r Request) Decision {
	if r.Class != ClassRead {
		return toPrimary(t)
	}
	for range t.order {
		p.next++
		name := t.order[p.next%len(t.order)]
		m := t.members[name]
		if name == t.primary || !t.usable(m) {
			continue
		}
		wait := max(0, p.Wait-now.Sub(r.FloorAt))
		if wait > r.WaitBudget {
			return toPrimary(t)
		}
		return Decision{target: TargetReplica, endpoint: name, wait: wait}
	}
	return toPrimary(t)
}
