package report_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/report"
)

const tolerance = 1e-9

var now = time.Unix(36_000, 0)

// minutes returns the count minutes up to now with the given number of requests and failures in each.
func minutes(count int, requests, failed uint64) []report.MinuteCounts {
	var out []report.MinuteCounts
	for i := count - 1; i >= 0; i-- {
		out = append(out, report.MinuteCounts{UnixMinute: now.Unix()/60 - int64(i), Requests: requests, Failed: failed, Reads: 10, ReplicaReads: 9})
	}
	return out
}

func TestBurnRatesAndAlerts(t *testing.T) {
	objectives := report.Objectives{Success: 0.999, ReplicaShare: 0.8, FailoverGap: 9 * time.Second}
	tests := []struct {
		name    string
		minutes []report.MinuteCounts
		alert   report.Alert
		burn5m  float64
	}{
		{"quiet", minutes(360, 1000, 0), report.AlertNone, 0},
		{"just the budget", minutes(360, 1000, 1), report.AlertNone, 1},
		{"slow burn", minutes(360, 1000, 7), report.AlertTicket, 7},
		{"fast burn", minutes(60, 1000, 20), report.AlertPage, 20},
		{"short spike", append(minutes(60, 1000, 0)[:58], minutes(2, 1000, 50)...), report.AlertNone, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := report.NewBurn(now, report.CustomerCounts{Name: "c", Objectives: objectives, Minutes: test.minutes})
			if b.Alert != test.alert {
				t.Errorf("alert = %v, want %v", b.Alert, test.alert)
			}
			if got := b.Rates[0].Success; math.Abs(got-test.burn5m) > tolerance {
				t.Errorf("5m burn = %v, want %v", got, test.burn5m)
			}
			if !b.ReplicaMet || math.Abs(b.ReplicaShare-0.9) > tolerance {
				t.Errorf("replica share = %v, met %v", b.ReplicaShare, b.ReplicaMet)
			}
		})
	}
}

func TestMergeCountsAGapOnce(t *testing.T) {
	counts := []report.CustomerCounts{{Name: "c", Minutes: []report.MinuteCounts{{UnixMinute: 1, Requests: 2, Gap: time.Second}}, WorstGap: time.Second}}
	got := report.Merge(counts, counts)
	if len(got) != 1 || got[0].Minutes[0].Requests != 4 || got[0].Minutes[0].Gap != time.Second {
		t.Errorf("Merge = %+v", got)
	}
}

func TestCountsDropOldMinutes(t *testing.T) {
	clockTime := now
	c := report.NewCounts(report.CountsConfig{Clock: func() time.Time { return clockTime }})
	c.Add("c", report.MinuteCounts{Requests: 1})
	clockTime = clockTime.Add(report.Window)
	c.Add("c", report.MinuteCounts{Requests: 1})
	if m, _ := c.Minutes("c"); len(m) != 1 {
		t.Errorf("Counts keeps %d minutes, want only the newest", len(m))
	}
}

func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	burns := []report.Burn{report.NewBurn(now, report.CustomerCounts{Name: "<c>", Minutes: minutes(5, 10, 1)})}
	if err := report.WriteHTML(&b, burns); err != nil {
		t.Fatal(err)
	}
	if text := b.String(); strings.Contains(text, "http") || strings.Contains(text, "<c>") {
		t.Error("the page has an external reference or an unescaped name")
	}
}
