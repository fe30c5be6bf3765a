package quota

import "time"

// Limits are the limits of an account, summed over all instances; if both are zero, the account is not limited.
type Limits struct {
	// Rate is in operations per second.
	Rate float64
	// Burst is in operations.
	Burst float64
}

// Unlimited reports whether the account is not limited.
func (l Limits) Unlimited() bool { return l.Rate == 0 && l.Burst == 0 }

// Tolerance defines by how much the operations of a sliding window may exceed an account's limits.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of the limit, such as 0.1.
	Overage float64
	// Slack is in operations.
	Slack float64
}

// Bound returns the greatest number of operations that may be admitted in any sliding window, over all instances.
func (t Tolerance) Bound(l Limits) float64 { return t.limit(l)*(1+t.Overage) + t.Slack }

// limit returns the number of operations in a window up to which no operation should be refused.
func (t Tolerance) limit(l Limits) float64 { return l.Rate*t.Window.Seconds() + l.Burst }

const (
	// reserve is the fraction of the slack that no bucket gets. It covers what the shares do not describe: allowances of
	// restarted buckets (startAllowance, up to 3 restarts of the whole fleet in a window), shares that two instances hold
	// until their views agree (about 2 s), and operations that wait between Take and the endpoint.
	reserve = 0.3
	// startAllowance is the fraction of the slack, times its share, that a fresh bucket holds: a third of the reserve.
	startAllowance = 0.1
	// capacityOverage is the fraction of the overage that is kept as capacity at least. The rest of it raises the refill, to
	// make up for tokens that are lost with an answer or expire.
	capacityOverage = 0.5
	// maxLimit bounds limits, so that sums of them remain finite.
	maxLimit = 1e12
)

// sanitized returns l with values that are not positive numbers set to 0.
func (l Limits) sanitized() Limits {
	return Limits{Rate: sanitize(l.Rate), Burst: sanitize(l.Burst)}
}

func sanitize(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, maxLimit)
}

// divide returns the refill in tokens per second and the capacity in tokens of all buckets of an account together.
//
// capacity + refill x window is the bound less the reserve. The capacity holds at least a whole burst; the refill is the
// limit of a window spread over the window as far as that leaves room for the capacity, and at least the rate.
func (t Tolerance) divide(l Limits) (refill, capacity float64) {
	l = l.sanitized()
	limit := t.limit(l)
	window := max(l.Burst, t.Overage*capacityOverage*limit)
	capacity = window + t.Slack*(1-reserve)
	refill = (limit*(1+t.Overage) - window) / t.Window.Seconds()
	return refill, capacity
}
