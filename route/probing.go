package route

import "time"

// Probing decides which members to ask for their status, so that the lease and the positions stay young at few questions.
type Probing struct {
	// Every is the age at which the evidence of a lease is renewed.
	Every time.Duration
	// Idle is the age at which a member is asked whose status no lease needs.
	Idle time.Duration
	// Kicked is the least age of evidence that a waiting request has renewed at once.
	Kicked time.Duration
}

// missedRenewals is how often a renewal may be late before every replica is asked.
const missedRenewals = 2

// Due reports whether to ask a member now; factor stretches the ages on instances that only stand by, and kicked says that a request waits.
func (p Probing) Due(now time.Time, t *Tracker, endpoint string, factor float64, kicked bool) bool {
	m := t.members[endpoint]
	if m == nil {
		return false
	}
	every := time.Duration(factor * float64(p.Every))
	idle := time.Duration(factor * float64(p.Idle))
	if kicked {
		every = p.Kicked
	}
	if t.Term() == 0 || t.primary == "" || t.members[t.primary] == nil {
		return now.Sub(m.statusAt) >= min(every, idle)
	}
	if now.Sub(m.statusAt) >= idle {
		return true
	}
	if endpoint == t.primary {
		return now.Sub(t.primaryConfirmedAt) >= every
	}
	if t.all && kicked {
		return now.Sub(m.statusAt) >= p.Kicked
	}
	if t.all {
		// The replicas are asked in turn.
		return now.Sub(m.confirmedAt) >= every*time.Duration(max(1, len(t.members)-1)) && now.Sub(m.statusAt) >= p.Kicked
	}
	overdue := now.Sub(t.replicaConfirmedAt())
	return overdue >= every && (endpoint == t.witness() || overdue >= missedRenewals*every)
}

// witness returns the replica to ask next for the evidence of a lease: a reachable one that was asked longest ago.
func (t *Tracker) witness() string {
	best := ""
	for _, name := range t.order {
		m := t.members[name]
		if name == t.primary || m.down {
			continue
		}
		if best == "" || m.statusAt.Before(t.members[best].statusAt) {
			best = name
		}
	}
	return best
}
