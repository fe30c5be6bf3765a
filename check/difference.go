package check

import (
	"fmt"
	"strconv"
)

// Change is the way in which an entry differs between two versions.
type Change string

// The kinds of change.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is an entry that differs between two versions.
type Difference struct {
	Change Change `json:"change"`
	// Place names the entry, such as: account "a".
	Place string `json:"place"`
	// Fields are the fields that changed, if the entry is in both versions.
	Fields []Field `json:"fields,omitempty"`
}

// Field is a field with its values in two versions.
type Field struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Differences returns the entries that differ between two versions, by section: changed and added entries in the order
// of after, then removed ones in the order of before.
//
// Routes, groups and accounts are matched by name, and routes without a name by their database. Of entries with the same
// name, the first matches the first, and so on. A key is matched by itself, so its move between accounts is visible.
func Differences(before, after Configuration) []Difference {
	var out []Difference
	if fields := changedFields(configurationFields(before), configurationFields(after)); len(fields) > 0 {
		out = append(out, Difference{Change: ChangeChanged, Place: placeConfiguration.text, Fields: fields})
	}
	out = append(out, compareEntries(
		entryList[Route]{before.Routes, routePlaces(before)}, entryList[Route]{after.Routes, routePlaces(after)}, routeName,
		func(b, a int) []Field {
			return changedFields(routeFields(before.Routes[b]), routeFields(after.Routes[a]))
		},
	)...)
	out = append(out, compareEntries(
		entryList[Group]{before.Groups, groupPlaces(before)}, entryList[Group]{after.Groups, groupPlaces(after)},
		func(g Group) string { return g.Name },
		func(b, a int) []Field {
			return changedFields(groupFields(before.Groups[b]), groupFields(after.Groups[a]))
		},
	)...)
	keysBefore, keysAfter := indexKeys(before), indexKeys(after)
	return append(out, compareEntries(
		entryList[Account]{before.Accounts, accountPlaces(before)}, entryList[Account]{after.Accounts, accountPlaces(after)},
		func(a Account) string { return a.Name },
		func(b, a int) []Field {
			fields := changedFields(accountFields(before.Accounts[b]), accountFields(after.Accounts[a]))
			fields = append(fields, keysAfter.missing(before.Accounts[b], a, false)...)
			return append(fields, keysBefore.missing(after.Accounts[a], b, true)...)
		},
	)...)
}

// routeName returns what identifies a route.
func routeName(r Route) string {
	if r.Name != "" {
		return "name " + r.Name
	}
	return "database " + r.Database
}

// entryList holds the entries of a section with their places.
type entryList[E any] struct {
	entries []E
	places  []place
}

// occurrence identifies one of several entries with the same name.
type occurrence struct {
	name  string
	count int
}

func occurrences[E any](entries []E, name func(E) string) []occurrence {
	count := map[string]int{}
	out := make([]occurrence, len(entries))
	for i, e := range entries {
		n := name(e)
		out[i] = occurrence{name: n, count: count[n]}
		count[n]++
	}
	return out
}

// compareEntries returns the differences of a section; changed returns the fields that differ between two entries.
func compareEntries[E any](before, after entryList[E], name func(E) string, changed func(before, after int) []Field) []Difference {
	left := map[occurrence]int{}
	identities := occurrences(before.entries, name)
	for i, o := range identities {
		left[o] = i
	}
	var out []Difference
	for i, o := range occurrences(after.entries, name) {
		b, found := left[o]
		if !found {
			out = append(out, Difference{Change: ChangeAdded, Place: after.places[i].text})
			continue
		}
		delete(left, o)
		if fields := changed(b, i); len(fields) > 0 {
			out = append(out, Difference{Change: ChangeChanged, Place: after.places[i].text, Fields: fields})
		}
	}
	for i, o := range identities {
		if _, remains := left[o]; remains {
			out = append(out, Difference{Change: ChangeRemoved, Place: before.places[i].text})
		}
	}
	return out
}

// value is a field with its value as text.
type value struct{ name, text string }

func changedFields(before, after []value) []Field {
	var out []Field
	for i, b := range before {
		if a := after[i]; a.text != b.text {
			out = append(out, Field{Name: b.name, Before: b.text, After: a.text})
		}
	}
	return out
}

func configurationFields(c Configuration) []value {
	return []value{
		{"version", strconv.FormatUint(c.Version, 10)},
		{"accounts_defined", strconv.FormatBool(c.AccountsDefined)},
		{"transaction_idle_ms", formatNumber(c.TransactionIdleMs)},
	}
}

func routeFields(r Route) []value {
	return []value{
		{"database", strconv.Quote(r.Database)},
		{"group", strconv.Quote(r.Group)},
		{"type", strconv.Quote(r.Type)},
		{"public", strconv.FormatBool(r.Public)},
		{"time_limit_ms", formatNumber(r.TimeLimitMs)},
		{"latency_objective_ms", formatNumber(r.LatencyObjectiveMs)},
		{"max_staleness_ms", formatNumber(r.StalenessLimitMs)},
		{"priority", formatNumber(r.Priority)},
	}
}

func groupFields(g Group) []value {
	return []value{
		{"connections", formatNumber(g.Connections)},
		{"sync_replicas", formatNumber(g.SyncReplicas)},
	}
}

func accountFields(a Account) []value {
	return []value{
		{"priority", formatOptional(a.Priority)},
		{"rate_per_s", formatOptional(a.RatePerS)},
		{"burst", formatOptional(a.Burst)},
	}
}

func formatOptional(v *float64) string {
	if v == nil {
		return "unset"
	}
	return formatNumber(*v)
}

// keyIndex holds the occurrences of each key in one version.
type keyIndex struct {
	holders map[Key][]keyHolder
	places  []place
}

func indexKeys(c Configuration) keyIndex {
	index := keyIndex{holders: map[Key][]keyHolder{}, places: accountPlaces(c)}
	for a, account := range c.Accounts {
		for k, key := range account.Keys {
			index.holders[key] = append(index.holders[key], keyHolder{account: a, key: k})
		}
	}
	return index
}

// missing returns a field for each key of an account that the same account lacks in the version of the index, where it
// is entry number same; added states that the index is that of the version before.
func (x keyIndex) missing(account Account, same int, added bool) []Field {
	var out []Field
	for k, key := range account.Keys {
		holders := x.holders[key]
		if x.holds(holders, same) {
			continue
		}
		here, there := fmt.Sprintf("key %d", k+1), "none"
		if len(holders) > 0 {
			there = holders[0].text(x.places)
		}
		field := Field{Name: "keys", Before: here, After: there}
		if added {
			field.Before, field.After = there, here
		}
		out = append(out, field)
	}
	return out
}

func (x keyIndex) holds(holders []keyHolder, account int) bool {
	for _, h := range holders {
		if h.account == account {
			return true
		}
	}
	return false
}
