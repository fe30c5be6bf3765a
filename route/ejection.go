package route

import "time"

// Bounds of the ejection of a replica that keeps failing.
const (
	ejectAfter   = 3
	ejectFirst   = 500 * time.Millisecond
	ejectLongest = 3 * time.Second
)

// ejection keeps a replica that answers probes but fails requests from attracting all reads.
//
// Least-loaded routing favours an endpoint that fails fast: it is always idle.
// Avoiding hosts by their rate of failures is what GridBot does against such black
// holes (Silberstein, Sharov, Geiger, Schuster: "GridBot: Execution of Bags of Tasks
// in Multiple Grids", SC 2009).
type ejection struct {
	failures int
	span     time.Duration
	until    time.Time
}

// failed counts a failure in a row; from ejectAfter on, each doubles the time for which the replica is left out.
func (e *ejection) failed(now time.Time) {
	e.failures++
	if e.failures < ejectAfter {
		return
	}
	e.span = min(max(2*e.span, ejectFirst), ejectLongest)
	e.until = now.Add(e.span)
}

// answered ends the ejection and its history.
func (e *ejection) answered() { *e = ejection{} }

// active reports whether the replica is left out at now.
func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// Answered notes that an endpoint answered a request whole.
func (t *Tracker) Answered(endpoint string) {
	if m := t.members[endpoint]; m != nil {
		m.ejection.answered()
	}
}

// Failed notes that an endpoint lost a request, and reports whether that ejects it; one that answers no probe either is left out by that.
func (t *Tracker) Failed(endpoint string, now time.Time) bool {
	m := t.members[endpoint]
	if m == nil || m.down {
		return false
	}
	m.ejection.failed(now)
	return m.ejection.active(now)
}
