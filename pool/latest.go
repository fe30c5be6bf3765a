package pool

import "time"

// tailMargin is how many times its usual time a request is given at the endpoint where its target allows: what takes
// longer than usual would otherwise come late after having waited, and keep the slot from one that does not.
const tailMargin = 2

// LatestStart returns the latest useful start of a request as seen at now, for an endpoint that usually takes service.
//
// It is one that still meets the target, with a margin while there is room for it;
// once the target cannot be met, it is the deadline.
func LatestStart(now, target, deadline time.Time, service time.Duration) time.Time {
	for _, margin := range []time.Duration{tailMargin, 1} {
		if start := target.Add(-margin * service); now.Before(start) && start.Before(deadline) {
			return start
		}
	}
	return deadline
}
