package fleet

import (
	"time"

	"github.com/monsoontiller/monsoontiller/store"
)

// listedEndpoint holds an endpoint's newest entry.
type listedEndpoint struct {
	entry    Entry
	position store.Position
	// removedAt is when the entry was found missing, or zero while it exists.
	removedAt time.Time
	// leavingUntil is until when the endpoint counts as leaving although its entry does not say so, or zero.
	leavingUntil time.Time
}

// leaving reports whether the endpoint is about to stop.
func (l *listedEndpoint) leaving(now time.Time) bool {
	return l.entry.Leaving || now.Before(l.leavingUntil)
}

// replacedBy returns the endpoint with a newer entry, read at now.
//
// A store that returns from an older copy may show an endpoint as it was before it
// reported to leave. It counts as leaving until it has had time to report again.
func (l *listedEndpoint) replacedBy(e Entry, at store.Position, now time.Time) *listedEndpoint {
	next := &listedEndpoint{entry: e, position: at}
	switch {
	case l == nil || e.Leaving || e.Incarnation != l.entry.Incarnation:
	case at.Era() == l.position.Era():
		next.leavingUntil = l.leavingUntil
	case l.leaving(now):
		next.leavingUntil = now.Add(removalGrace)
	}
	return next
}
