package check

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Severity is the severity of a finding.
type Severity uint8

// The severities, in ascending order.
const (
	// SeverityWarning marks an entry without effect or limits that contradict each other.
	SeverityWarning Severity = iota + 1
	// SeverityError marks an entry that is refused, ambiguous or makes requests fail.
	SeverityError
)

// String returns the severity as it is written in reports.
func (s Severity) String() string {
	switch s {
	case SeverityWarning:
		return "warning"
	case SeverityError:
		return "error"
	}
	return fmt.Sprintf("severity_%d", uint8(s))
}

// MarshalText returns the severity as it is written in reports; it does not fail.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the entry, such as: route "r1".
	Place   string `json:"place"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// Options holds what a check knows in addition to the configuration.
type Options struct {
	// InForce is the version in force, or nil if it is not known.
	InForce *Configuration
	// ConnectionsNeeded is the least connection limit of a group's members, or 0 if it is not known.
	ConnectionsNeeded int
}

// Findings returns the faults of c: errors first, then in the order of the entries.
func Findings(c Configuration, o Options) []Finding {
	r := &review{configuration: c, options: o}
	r.checkVersion()
	r.checkRoutes()
	r.checkGroups()
	r.checkAccounts()
	r.checkKeys()
	r.checkTransactionIdle()
	return r.sorted()
}

// review collects the findings of one configuration.
type review struct {
	configuration Configuration
	options       Options
	found         []located
}

type located struct {
	place   place
	finding Finding
}

func (r *review) fail(p place, message, remedy string) {
	r.add(SeverityError, p, message, remedy)
}

func (r *review) warn(p place, message, remedy string) {
	r.add(SeverityWarning, p, message, remedy)
}

func (r *review) add(s Severity, p place, message, remedy string) {
	r.found = append(r.found, located{place: p, finding: Finding{Severity: s, Place: p.text, Message: message, Remedy: remedy}})
}

func (r *review) sorted() []Finding {
	slices.SortStableFunc(r.found, func(a, b located) int {
		return cmp.Or(
			-cmp.Compare(a.finding.Severity, b.finding.Severity),
			cmp.Compare(a.place.section, b.place.section),
			cmp.Compare(a.place.ordinal, b.place.ordinal),
		)
	})
	findings := make([]Finding, len(r.found))
	for i, l := range r.found {
		findings[i] = l.finding
	}
	return findings
}

// maxMs is the longest time that fits a time.Duration, in milliseconds.
const maxMs = float64(math.MaxInt64 / 1_000_000)

// number checks that a value is finite and not negative, and reports whether it is.
func (r *review) number(p place, name string, value float64) bool {
	switch {
	case math.IsNaN(value) || math.IsInf(value, 0):
		r.fail(p, name+" is not a finite number", "write a finite number")
	case value < 0:
		r.fail(p, fmt.Sprintf("%s is negative (%s)", name, formatNumber(value)), "write a number of 0 or more")
	default:
		return true
	}
	return false
}

// milliseconds checks a time in milliseconds, and reports whether it is valid.
func (r *review) milliseconds(p place, name string, value float64) bool {
	if !r.number(p, name, value) {
		return false
	}
	if value > maxMs {
		r.fail(p, fmt.Sprintf("%s is too large (%s ms)", name, formatNumber(value)), fmt.Sprintf("write at most %s ms", formatNumber(maxMs)))
		return false
	}
	return true
}

// maxPlain is the limit below which numbers are written without an exponent.
const maxPlain = 1e15

func formatNumber(value float64) string {
	format := byte('f')
	if math.Abs(value) >= maxPlain {
		format = 'g'
	}
	return strconv.FormatFloat(value, format, -1, 64)
}
