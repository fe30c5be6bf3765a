package fleet

import (
	"sync"

	"github.com/monsoontiller/monsoontiller/store"
)

// maxInvalidEntries bounds invalidEntries, which is cleared at this size, so that every entry counts as new again.
const maxInvalidEntries = 4096

// invalidEntries holds the entries that were found to name no usable endpoint, with the reasons; it is safe for concurrent use.
type invalidEntries struct {
	mu      sync.Mutex
	reasons map[string]string
}

// Add records an invalid entry, and reports whether it is new or invalid for a new reason.
func (i *invalidEntries) Add(endpoint, reason string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reasons[endpoint] == reason {
		return false
	}
	if i.reasons == nil || len(i.reasons) >= maxInvalidEntries {
		i.reasons = map[string]string{}
	}
	i.reasons[endpoint] = reason
	return true
}

// Remove records that an endpoint has a valid entry, or none.
func (i *invalidEntries) Remove(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.reasons, endpoint)
}

// leaveOut logs and counts an entry that names no usable endpoint, once for each reason: entries are read again by each check of
// the store, and from each peer.
func (i *Instance[L]) leaveOut(key string, at store.Position, err error) {
	if i.invalid.Add(key, err.Error()) {
		i.meters.invalid.Inc(1)
		logLine(i.cfg.Logger, "level", "warn", "msg", "endpoint_entry_left_out", "endpoint", key, "position", at.String(), "error", err.Error())
	}
}
