package check

import "fmt"

// section is a part of a configuration, in the order of the output.
type section uint8

const (
	sectionConfiguration section = iota
	sectionRoutes
	sectionGroups
	sectionAccounts
)

// place is the location of an entry; ordinal counts from 1 within the section.
type place struct {
	section section
	ordinal int
	text    string
}

// placeConfiguration is the place of what concerns the configuration as a whole.
var placeConfiguration = place{section: sectionConfiguration, text: "configuration"}

// placesOf returns the places of the entries with the given names; entries without a name of their own are numbered.
func placesOf(s section, kind string, names []string) []place {
	count := map[string]int{}
	for _, name := range names {
		count[name]++
	}
	places := make([]place, len(names))
	for i, name := range names {
		places[i] = place{section: s, ordinal: i + 1, text: fmt.Sprintf("%s %q", kind, name)}
		switch {
		case name == "":
			places[i].text = fmt.Sprintf("%s %d", kind, i+1)
		case count[name] > 1:
			places[i].text = fmt.Sprintf("%s %q (entry %d)", kind, name, i+1)
		}
	}
	return places
}

func routePlaces(c Configuration) []place {
	places := placesOf(sectionRoutes, "route", namesOf(c.Routes, func(r Route) string { return r.Name }))
	for i, r := range c.Routes {
		if r.Name == "" && r.Database != "" {
			places[i].text += fmt.Sprintf(" (database %q)", r.Database)
		}
	}
	return places
}

func groupPlaces(c Configuration) []place {
	return placesOf(sectionGroups, "group", namesOf(c.Groups, func(g Group) string { return g.Name }))
}

func accountPlaces(c Configuration) []place {
	return placesOf(sectionAccounts, "account", namesOf(c.Accounts, func(a Account) string { return a.Name }))
}

func namesOf[E any](entries []E, name func(E) string) []string {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = name(e)
	}
	return names
}

// firstOccurrence returns, for each name, the index of its first occurrence.
func firstOccurrence(names []string) map[string]int {
	first := map[string]int{}
	for i, name := range names {
		if _, seen := first[name]; !seen {
			first[name] = i
		}
	}
	return first
}

// lastOccurrence returns, for each name, the index of its last occurrence.
func lastOccurrence(names []string) map[string]int {
	last := map[string]int{}
	for i, name := range names {
		last[name] = i
	}
	return last
}
