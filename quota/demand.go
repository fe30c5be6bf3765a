package quota

import (
	"math"
	"time"
)

const (
	// horizon is the time for which a bucket provides: a call to a lender, and the 100 ms in which a lender without tokens is
	// not asked again.
	horizon = 250 * time.Millisecond
	// deviations is the margin of the need, in standard deviations of the Poisson arrivals within the horizon.
	deviations = 2
	// demandTime is the time constant of the mean demand. With 1 s, two operations of a small account in a row would count as
	// a high rate, and the bucket would borrow tokens that expire.
	demandTime = 3 * time.Second
	// retryTime is the time in which a client repeats a refused operation.
	retryTime = time.Second
	// quietAfter is the time without an operation after which a bucket keeps no token ready. Operations of an account
	// of 2/s over 8 buckets come 6 s apart on average at its usual load; 1 in 10,000 gaps is longer than 60 s.
	quietAfter = time.Minute
)

// demand estimates the rate at which operations arrive, whether they are admitted or refused.
type demand struct {
	// rate is in operations per second, as of at.
	rate float64
	at   time.Time
	// last is the time of the last operation.
	last time.Time
}

// advance lets the estimate decay until now.
func (d *demand) advance(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	d.rate *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	d.at = now
}

// add records an operation.
func (d *demand) add(now time.Time) {
	d.rate += 1 / demandTime.Seconds()
	d.last = now
}
