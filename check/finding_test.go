package check_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/check"
)

// clean returns a configuration without faults.
func clean() check.Configuration {
	return check.Configuration{
		Version: 8,
		Routes: []check.Route{
			{Name: "r1", Database: "orders", Group: "g1", Type: "b", Consistency: check.ConsistencyBounded, TimeLimitMs: 1000, LatencyObjectiveMs: 400, StalenessLimitMs: 2500},
			{Name: "r2", Database: "bookings", Group: "g2", Type: "p", Consistency: check.ConsistencyPrimary, TimeLimitMs: 900, LatencyObjectiveMs: 900},
		},
		Groups:          []check.Group{{Name: "g1", Connections: 27}, {Name: "g2", Connections: 66, SyncReplicas: 1}},
		AccountsDefined: true, TransactionIdleMs: 1000,
		Accounts: []check.Account{account("a", 50, 20, "key-a1", "key-a2"), account("b", 10, 0, "key-b1")},
	}
}

func account(name string, rate, burst float64, keys ...string) check.Account {
	a := check.Account{Name: name, RatePerS: &rate, Burst: &burst}
	for _, k := range keys {
		a.Keys = append(a.Keys, check.NewKey(k))
	}
	return a
}

// ruleCase changes a clean configuration; want are the starts of the findings, without which there must be none.
type ruleCase struct {
	name   string
	change func(c *check.Configuration)
	want   []string
}

var ruleCases = []ruleCase{
	{"clean", func(*check.Configuration) {}, nil},
	{"version missing", func(c *check.Configuration) { c.Version = 0 },
		[]string{"error: configuration: the version is missing", "error: configuration: version 0 is not above version 7"}},
	{"version of the one in force", func(c *check.Configuration) { c.Version = 7 }, []string{"error: configuration: version 7 is not above version 7"}},
	{"accounts dropped", func(c *check.Configuration) { c.AccountsDefined, c.Accounts = false, nil }, []string{"warning: configuration: the version in force defines accounts"}},
	{"no accounts", func(c *check.Configuration) { c.Accounts = nil }, []string{"warning: configuration: the list of accounts is empty"}},
	{"no routes", func(c *check.Configuration) { c.Routes = nil },
		[]string{"warning: configuration: there are no routes", `warning: group "g1": no route`, `warning: group "g2": no route`}},
	{"hidden route", func(c *check.Configuration) { c.Routes[0].Database = "bookings" }, []string{`error: route "r1": it never matches: entry 2 (route "r2")`}},
	{"route name twice", func(c *check.Configuration) { c.Routes[1].Name = "r1" }, []string{`warning: route "r1" (entry 2): the name is already used by entry 1`}},
	{"route name missing", func(c *check.Configuration) { c.Routes[1].Name = "" }, []string{`warning: route 2 (database "bookings"): the name is missing`}},
	{"database missing", func(c *check.Configuration) { c.Routes[0].Database = "" }, []string{`error: route "r1": the database is missing`}},
	{"database with a space", func(c *check.Configuration) { c.Routes[0].Database = "or ders" }, []string{`error: route "r1": no session can name`}},
	{"group missing", func(c *check.Configuration) { c.Routes[0].Group = "" }, []string{`error: route "r1": the group is missing`, `warning: group "g1": no route`}},
	{"undefined group", func(c *check.Configuration) { c.Groups = c.Groups[:1] }, []string{`error: route "r2": group "g2" is not defined`}},
	{"unknown type", func(c *check.Configuration) { c.Routes[1].Consistency = check.ConsistencyUnknown }, []string{`error: route "r2": the type "p" is unknown`}},
	{"objective above time limit", func(c *check.Configuration) { c.Routes[0].LatencyObjectiveMs = 1001 }, []string{`warning: route "r1": the latency objective (1001 ms) is above`}},
	{"staleness 0", func(c *check.Configuration) { c.Routes[0].StalenessLimitMs = 0 }, []string{`warning: route "r1": the staleness of a bounded route is 0`}},
	{"idle limit", func(c *check.Configuration) { c.TransactionIdleMs = 1001 }, []string{"warning: configuration: the idle limit of transactions (1001 ms) is above"}},
	{"idle limit with a default time limit", func(c *check.Configuration) { c.TransactionIdleMs, c.Routes[0].TimeLimitMs = 1001, 0 }, nil},
	{"group without routes", func(c *check.Configuration) { c.Groups = append(c.Groups, check.Group{Name: "g3", Connections: 27}) }, []string{`warning: group "g3": no route`}},
	{"group name twice", func(c *check.Configuration) { c.Groups = append(c.Groups, c.Groups[0]) }, []string{`error: group "g1" (entry 1): it has no effect`}},
	{"group name missing", func(c *check.Configuration) { c.Groups = append(c.Groups, check.Group{Connections: 27}) }, []string{`error: group 3: the name is missing`}},
	{"no connections", func(c *check.Configuration) { c.Groups[0].Connections = 0 }, []string{`error: group "g1": the connection limit is missing or 0`}},
	{"few connections", func(c *check.Configuration) { c.Groups[0].Connections = 26 }, []string{`warning: group "g1": the connection limit (26) is below the 27`}},
	{"account name twice", func(c *check.Configuration) { c.Accounts[1].Name = "a" }, []string{`error: account "a" (entry 2): the name is already used by entry 1`}},
	{"account name missing", func(c *check.Configuration) { c.Accounts[1].Name = "" }, []string{`error: account 2: the name is missing`}},
	{"account name with a space", func(c *check.Configuration) { c.Accounts[1].Name = "b c" }, []string{`error: account "b c": the name contains a space`}},
	{"account without keys", func(c *check.Configuration) { c.Accounts[1].Keys = nil }, []string{`warning: account "b": it has no keys`}},
	{"rate of 0", func(c *check.Configuration) { *c.Accounts[0].RatePerS = 0 }, []string{`warning: account "a": the rate is 0 with a burst of 20`}},
	{"burst without rate", func(c *check.Configuration) { c.Accounts[0].RatePerS = nil }, []string{`warning: account "a": a burst is set without a rate`}},
	{"key of two accounts", func(c *check.Configuration) { c.Accounts[1] = account("b", 10, 0, "key-b1", "key-a2") }, []string{`error: account "b": key 2 is also key 2 of account "a"`}},
	{"key twice", func(c *check.Configuration) { c.Accounts[1] = account("b", 10, 0, "key-b1", "key-b1") }, []string{`warning: account "b": key 2 repeats key 1`}},
	{"key that cannot be sent", func(c *check.Configuration) { c.Accounts[1] = account("b", 10, 0, "", "key b1", "key\n") },
		[]string{`warning: account "b": key 1 can never`, `warning: account "b": key 2 can never`, `warning: account "b": key 3 can never`}},
	{"errors before warnings", func(c *check.Configuration) {
		c.Accounts[0].Keys, c.Accounts[1].Name, c.Routes[0].StalenessLimitMs = nil, "", 0
	},
		[]string{`error: account 2: the name`, `warning: route "r1": the staleness`, `warning: account "a": it has no keys`}},
}

// Guards against a rule that misses its fault, reports it at the wrong place, or reports a fault that is not there.
func TestFindings(t *testing.T) {
	before := clean()
	before.Version = 7
	for _, tc := range ruleCases {
		t.Run(tc.name, func(t *testing.T) {
			c := clean()
			tc.change(&c)
			expectFindings(t, check.Findings(c, check.Options{InForce: &before, ConnectionsNeeded: 27}), tc.want)
		})
	}
}

func expectFindings(t *testing.T, found []check.Finding, want []string) {
	t.Helper()
	for i, f := range found {
		line := fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Message)
		if i >= len(want) || !strings.HasPrefix(line, want[i]) || f.Remedy == "" {
			t.Errorf("finding %d is %q with remedy %q, want the start of one of %q", i, line, f.Remedy, want)
		}
	}
	if len(found) < len(want) {
		t.Errorf("%d findings, want %d: %q", len(found), len(want), want)
	}
}

// Guards against a number that passes although it is negative, not finite or too long a time, in each numeric field.
func TestFindingsOnNumbers(t *testing.T) {
	priority := 0.0
	c := clean()
	c.Accounts[0].Priority = &priority
	times := map[string]*float64{
		`route "r1": the time limit`:                    &c.Routes[0].TimeLimitMs,
		`route "r1": the latency objective`:             &c.Routes[0].LatencyObjectiveMs,
		`route "r1": the staleness`:                     &c.Routes[0].StalenessLimitMs,
		`configuration: the idle limit of transactions`: &c.TransactionIdleMs,
	}
	fields := map[string]*float64{
		`route "r1": the priority`:                       &c.Routes[0].Priority,
		`group "g1": the connection limit`:               &c.Groups[0].Connections,
		`group "g1": the number of synchronous replicas`: &c.Groups[0].SyncReplicas,
		`account "a": the priority`:                      &priority,
		`account "a": the rate`:                          c.Accounts[0].RatePerS,
		`account "a": the burst`:                         c.Accounts[0].Burst,
	}
	maps.Copy(fields, times)
	for start, field := range fields {
		saved := *field
		for value, message := range map[float64]string{-1: " is negative (-1)", math.Inf(1): " is not a finite", math.NaN(): " is not a finite", 1e13: " is too large"} {
			if *field = value; value != 1e13 || times[start] != nil {
				expectFindings(t, check.Findings(c, check.Options{}), []string{"error: " + start + message})
			}
		}
		*field = saved
	}
}

// Guards against a wrong or unstable list of differences, and a moved key that looks like a new one.
func TestDifferences(t *testing.T) {
	before, after := clean(), clean()
	after.Version, after.TransactionIdleMs = 9, 800
	after.Routes[0].TimeLimitMs = 1100.5
	after.Routes[1].Name, after.Routes[1].Public = "r3", true
	after.Groups = append(after.Groups[:1], check.Group{Name: "g3"}, check.Group{Name: "g3"})
	after.Accounts = []check.Account{account("c", 1, 1, "key-c1"), account("a", 60, 20, "key-a3", "key-b1", "key-a1")}
	after.Accounts[1].Burst = nil
	want := []check.Difference{
		{Change: check.ChangeChanged, Place: "configuration", Fields: []check.Field{{"version", "8", "9"}, {"transaction_idle_ms", "1000", "800"}}},
		{Change: check.ChangeChanged, Place: `route "r1"`, Fields: []check.Field{{"time_limit_ms", "1000", "1100.5"}}},
		{Change: check.ChangeAdded, Place: `route "r3"`},
		{Change: check.ChangeRemoved, Place: `route "r2"`},
		{Change: check.ChangeAdded, Place: `group "g3" (entry 2)`},
		{Change: check.ChangeAdded, Place: `group "g3" (entry 3)`},
		{Change: check.ChangeRemoved, Place: `group "g2"`},
		{Change: check.ChangeAdded, Place: `account "c"`},
		{Change: check.ChangeChanged, Place: `account "a"`, Fields: []check.Field{
			{"rate_per_s", "50", "60"}, {"burst", "20", "unset"},
			{"keys", "key 2", "none"}, {"keys", "none", "key 1"}, {"keys", `key 1 of account "b"`, "key 2"},
		}},
		{Change: check.ChangeRemoved, Place: `account "b"`},
	}
	if diff := cmp.Diff(want, check.Differences(before, after)); diff != "" {
		t.Error(diff)
	}
	if got := check.Differences(before, clean()); len(got) != 0 {
		t.Errorf("a version differs from itself: %+v", got)
	}
}

// Guards against keys in reports, and reports that differ between runs, for the configurations of all rules.
func TestReportsAreStableAndHoldNoKeys(t *testing.T) {
	for _, tc := range ruleCases {
		c := clean()
		tc.change(&c)
		if a, b := reportText(t, c), reportText(t, c); a != b || strings.Contains(a, "key-") {
			t.Errorf("%s: the report contains a key, or differs from\n%s:\n%s", tc.name, b, a)
		}
	}
}

func reportText(t *testing.T, c check.Configuration) string {
	t.Helper()
	r := check.Report{File: "new", Against: "old", Version: c.Version, Findings: check.Findings(c, check.Options{}), Differences: check.Differences(clean(), c)}
	var out bytes.Buffer
	if err := errors.Join(r.WriteText(&out), r.WriteJSON(&out)); err != nil {
		t.Fatal(err)
	}
	return out.String()
}
