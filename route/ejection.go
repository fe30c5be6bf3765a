package route

import "time"

// The consecutive failures that eject a member from reads, and the bounds of an ejection.
const (
	ejectAfterFailures = 3
	minEjection        = 500 * time.Millisecond
	maxEjection        = 3 * time.Second
)

// ejection prevents a member that answers probes but fails requests from attracting all reads, also if it is the primary.
//
// Least-loaded routing favours an endpoint that fails fast, because it is always
// idle. GridBot avoids such black holes by the failure rate of hosts (Silberstein,
// Sharov, Geiger, Schuster: "GridBot: Execution of Bags of Tasks in Multiple Grids",
// SC 2009).
type ejection struct {
	failures int
	duration time.Duration
	until    time.Time
}

// recordFailure counts a consecutive failure.
//
// The failure with which the count reaches ejectAfterFailures ejects the member;
// each later one doubles the ejection, up to maxEjection.
func (e *ejection) recordFailure(now time.Time) {
	e.failures++
	if e.failures < ejectAfterFailures {
		return
	}
	e.duration = min(max(2*e.duration, minEjection), maxEjection)
	e.until = now.Add(e.duration)
}

// reset ends the ejection and clears the count of failures.
func (e *ejection) reset() { *e = ejection{} }

// active reports whether the member is ejected at now.
func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// Ejected reports whether an endpoint is ejected at now.
func (t *Tracker) Ejected(endpoint string, now time.Time) bool {
	m := t.members[endpoint]
	return m != nil && m.ejection.active(now)
}

// RecordSuccess records that an endpoint answered a request completely.
func (t *Tracker) RecordSuccess(endpoint string) {
	if m := t.members[endpoint]; m != nil {
		m.ejection.reset()
	}
}

// RecordFailure records that an endpoint lost a request, and reports whether the endpoint is ejected.
//
// The failures of an endpoint that answers no probes do not count, because it gets
// no reads anyway.
func (t *Tracker) RecordFailure(endpoint string, now time.Time) bool {
	m := t.members[endpoint]
	if m == nil || m.down {
		return false
	}
	m.ejection.recordFailure(now)
	return m.ejection.active(now)
}
