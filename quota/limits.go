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
	// restarted buckets (startAllowance, up to 4 restarts of the whole fleet in a window), shares that two instances hold
	// until their views agree (about 2 s), and operations that wait between Take and the endpoint.
	reserve = 0.2
	// startAllowance is the fraction of the slack, times its share, that a fresh bucket holds: a quarter of the reserve.
	startAllowance = 0.05
	// refillOverage is the fraction of the overage that raises the refill, to make up for tokens that are lost with an answer
	// or expire; the rest of it is capacity.
	refillOverage = 0.25
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
// capacity + refill x window is the bound less the reserve. The refill spreads the limit of a window, rate and burst, over
// the window: an account above its limit would otherwise be refused operations while its windows are below it.
func (t Tolerance) divide(l Limits) (refill, capacity float64) {
	limit := t.limit(l.sanitized())
	refill = limit * (1 + t.Overage*refillOverage) / t.Window.Seconds()
	capacity = limit*t.Overage*(1-refillOverage) + t.Slack*(1-reserve)
	return refill, capacity
}
