package route

import "time"

// Probing decides which members to probe for their status, so that few probes keep the lease and the positions current.
type Probing struct {
	// RenewalAge is the age at which lease evidence is renewed.
	RenewalAge time.Duration
	// MaxStatusAge is the age at which the status of any member is renewed, even if no lease needs it.
	MaxStatusAge time.Duration
	// TriggeredAge is the minimum age of evidence that is renewed at once because a request waits.
	TriggeredAge time.Duration
}

// maxMissedRenewals is the number of renewal ages without new evidence after which all replicas are probed.
const maxMissedRenewals = 2

// Due reports whether to probe a member now.
//
// factor multiplies RenewalAge and MaxStatusAge on standby instances; triggered
// states that a request waits, and replaces RenewalAge by TriggeredAge.
func (p Probing) Due(now time.Time, t *Tracker, endpoint string, factor float64, triggered bool) bool {
	m := t.members[endpoint]
	if m == nil {
		return false
	}
	renewal := time.Duration(factor * float64(p.RenewalAge))
	maxStatusAge := time.Duration(factor * float64(p.MaxStatusAge))
	if triggered {
		renewal = p.TriggeredAge
	}
	if t.Term() == 0 || t.primary == "" || t.members[t.primary] == nil {
		return now.Sub(m.statusAt) >= min(renewal, maxStatusAge)
	}
	if now.Sub(m.statusAt) >= maxStatusAge {
		return true
	}
	if endpoint == t.primary {
		return now.Sub(t.primaryConfirmedAt) >= renewal
	}
	if t.allReplicas && triggered {
		return now.Sub(m.statusAt) >= p.TriggeredAge
	}
	if t.allReplicas {
		// The replicas are probed in turn, so that each is due after one renewal age per replica.
		return now.Sub(m.confirmedAt) >= renewal*time.Duration(max(1, len(t.members)-1)) && now.Sub(m.statusAt) >= p.TriggeredAge
	}
	evidenceAge := now.Sub(t.replicaConfirmedAt())
	return evidenceAge >= renewal && (endpoint == t.nextWitness() || evidenceAge >= maxMissedRenewals*renewal)
}

// nextWitness returns the replica to probe next for lease evidence: the reachable replica with the oldest status.
func (t *Tracker) nextWitness() string {
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
