package fleet

import "sort"

// missingEndpoints holds the entries of the endpoints that were dropped although they had not reported to leave, by name.
//
// Such an endpoint may come back with its log, under another name at the same address.
type missingEndpoints map[string]Entry

// Dropped records that the entry of an endpoint was dropped.
func (m missingEndpoints) Dropped(e Entry, leaving bool) {
	if !leaving {
		m[e.Endpoint] = e
	}
}

// Listed records that an endpoint is listed: it is not missing, nor is one that had its address.
func (m missingEndpoints) Listed(e Entry) {
	for name, missing := range m {
		if name == e.Endpoint || missing.Group == e.Group && missing.Address == e.Address {
			delete(m, name)
		}
	}
}

// Of returns the missing endpoints of a group, sorted.
func (m missingEndpoints) Of(group string) []string {
	var names []string
	for name, missing := range m {
		if missing.Group == group {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
