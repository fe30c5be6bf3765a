package pool

import "time"

// serviceMargin is how many times its mean service time a request is given before its target, where the target allows.
// With a margin of 1, a request that takes longer than the mean would wait, miss its target all the same, and occupy a
// slot that another request could have used in time.
const serviceMargin = 2

// LatestStart returns the latest useful start, as seen at now, of a request with the mean service time service.
//
// The start meets the target, with a margin while now allows one; once the target
// cannot be met, it is the deadline.
func LatestStart(now, target, deadline time.Time, service time.Duration) time.Time {
	for _, margin := range []time.Duration{serviceMargin, 1} {
		if start := target.Add(-margin * service); now.Before(start) && start.Before(deadline) {
			return start
		}
	}
	return deadline
}

// limitShare is the fraction of a request's time limit after which it starts no more: the rest is for the request itself.
const limitShare = 0.85

// Target returns the time by which a request must be answered to be of full use, given its latency objective and its time
// limit.
//
// Where the objective is longer than the limit, a request that started just before the
// objective would be broken off at the limit, and its connection closed with it.
func Target(receivedAt time.Time, objective, limit time.Duration) time.Time {
	return receivedAt.Add(min(objective, time.Duration(limitShare*float64(limit))))
}
