package experiment

import "time"

// QuotaResult holds what a fleet admitted and refused.
type QuotaResult struct {
	Name      string
	Instances int
	Admitted  int
	Refused   int
	// Below is the part of Refused in whose window the account was below its limit.
	Below int
	// Unreachable is the number of operations whose home was down or cut off.
	Unreachable int
	// Peak is the greatest ratio of the operations in a sliding window to the bound, over all accounts and windows, and
	// PeakOfLimit that to the limit. Violations is the number of operations beyond the bound.
	Peak        float64
	PeakOfLimit float64
	Violations  int
	// Follow is the time from the start of the fault until the last tenth of a second in which more than followShare of the
	// operations of large accounts were refused below the limit.
	Follow time.Duration
}

// BelowShare returns the fraction of the operations that were refused below the limit.
func (r QuotaResult) BelowShare() float64 {
	return float64(r.Below) / float64(max(1, r.Admitted+r.Refused))
}

// followShare is the fraction of refusals below which the buckets count as having followed the demand.
const (
	followShare = 0.01
	followStep  = 100 * time.Millisecond
)

// quotaTally counts operations.
type quotaTally struct {
	total QuotaResult
	// large counts the operations of large accounts by steps of followStep, and refused those refused below the limit.
	large   map[time.Duration]int
	refused map[time.Duration]int
}

func (t *quotaTally) admit(a *quotaAccount, now time.Duration) {
	a.recent = append(a.recent, now)
	count, bound := a.count(now), quotaTolerance.Bound(a.limits)
	t.total.Admitted++
	t.total.Peak = max(t.total.Peak, count/bound)
	t.total.PeakOfLimit = max(t.total.PeakOfLimit, count/a.limit())
	if count > bound {
		t.total.Violations++
	}
	if a.large() {
		t.large[now.Truncate(followStep)]++
	}
}

func (t *quotaTally) refuse(a *quotaAccount, now time.Duration) {
	if now < quotaWarmUp {
		return
	}
	below := a.count(now)+1 <= a.limit()
	t.total.Refused++
	if below {
		t.total.Below++
	}
	if a.large() {
		t.large[now.Truncate(followStep)]++
	}
	if a.large() && below {
		t.refused[now.Truncate(followStep)]++
	}
}

func (t *quotaTally) result(cfg QuotaConfig) QuotaResult {
	r := t.total
	r.Name, r.Instances = cfg.Name, cfg.Instances
	for step, refused := range t.refused {
		if step >= quotaFaultAt && float64(refused) > followShare*float64(t.large[step]) {
			r.Follow = max(r.Follow, step+followStep-quotaFaultAt)
		}
	}
	return r
}
