package report

import (
	"sort"
	"time"
)

// Objectives are the service-level objectives in a customer's contract.
type Objectives struct {
	// Success is the share of requests that must be answered, and ReplicaShare the
	// share of reads that replicas must answer, both from 0 to 1.
	Success      float64
	ReplicaShare float64
	Latency      time.Duration
	FailoverGap  time.Duration
}

// CustomerCounts holds the objectives and counts of one customer, from one or more instances.
type CustomerCounts struct {
	Name       string
	Objectives Objectives
	// Minutes is ordered from the oldest to the newest minute.
	Minutes []MinuteCounts
	// WorstGap is the longest failover gap.
	WorstGap time.Duration
}

// Merge combines the customers reported by several instances and sorts them by name.
func Merge(parts ...[]CustomerCounts) []CustomerCounts {
	byName := map[string]*CustomerCounts{}
	for _, part := range parts {
		for _, c := range part {
			merged := byName[c.Name]
			if merged == nil {
				merged = &CustomerCounts{Name: c.Name, Objectives: c.Objectives}
				byName[c.Name] = merged
			}
			merged.Minutes = mergeMinutes(merged.Minutes, c.Minutes)
			merged.WorstGap = max(merged.WorstGap, c.WorstGap)
		}
	}
	out := make([]CustomerCounts, 0, len(byName))
	for _, c := range byName {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// mergeMinutes adds up the counts of each minute.
//
// Several instances count the same failover gap, so the result has the longest gap of a minute, not the sum.
func mergeMinutes(a, b []MinuteCounts) []MinuteCounts {
	byMinute := map[int64]MinuteCounts{}
	for _, m := range append(append([]MinuteCounts(nil), a...), b...) {
		merged := byMinute[m.UnixMinute]
		gap := max(merged.Gap, m.Gap)
		merged = merged.add(m)
		merged.Gap = gap
		byMinute[m.UnixMinute] = merged
	}
	out := make([]MinuteCounts, 0, len(byMinute))
	for _, m := range byMinute {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].UnixMinute < out[j].UnixMinute })
	return out
}

// Rate holds the counts and burn rates of one window.
type Rate struct {
	Window   string `json:"window"`
	Requests uint64 `json:"requests"`
	Failed   uint64 `json:"failed"`
	Slow     uint64 `json:"slow"`
	// Success is the burn rate of failed requests, Latency that of slow requests.
	Success float64 `json:"success_burn"`
	Latency float64 `json:"latency_burn"`
}

// Alert is the urgency of the alert that the burn rates raise.
type Alert string

// The alerts, in order of urgency.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Burn is the service-level report of one customer.
type Burn struct {
	Customer      string  `json:"customer"`
	SuccessTarget float64 `json:"objective_success"`
	Rates         []Rate  `json:"rates"`
	// BudgetLeft is the unused share of the error budget of the last six hours, negative when the budget is exceeded.
	BudgetLeft      float64 `json:"budget_left"`
	Alert           Alert   `json:"alert"`
	Reads           uint64  `json:"reads"`
	ReplicaReads    uint64  `json:"replica_reads"`
	ReplicaShare    float64 `json:"replica_share"`
	ReplicaTarget   float64 `json:"objective_replica_share"`
	ReplicaMet      bool    `json:"replica_share_met"`
	WorstGapMillis  int64   `json:"worst_gap_ms"`
	GapTargetMillis int64   `json:"objective_gap_ms"`
	GapMet          bool    `json:"gap_met"`
}

// windows are the durations over which burn rates are measured.
var windows = []struct {
	name     string
	duration time.Duration
}{
	{"5m", 5 * time.Minute},
	{"30m", 30 * time.Minute},
	{"1h", time.Hour},
	{"6h", Window},
}

// Burn rates above which the Site Reliability Workbook pages or files a ticket.
// Both the short and the long window of an alert must exceed them.
const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6
)

// NewBurn returns the report of one customer as of now.
func NewBurn(now time.Time, c CustomerCounts) Burn {
	b := Burn{
		Customer:        c.Name,
		SuccessTarget:   c.Objectives.Success,
		ReplicaTarget:   c.Objectives.ReplicaShare,
		GapTargetMillis: c.Objectives.FailoverGap.Milliseconds(),
		WorstGapMillis:  c.WorstGap.Milliseconds(),
		GapMet:          c.WorstGap <= c.Objectives.FailoverGap,
	}
	for _, w := range windows {
		b.Rates = append(b.Rates, newRate(w.name, sumSince(now, w.duration, c.Minutes), c.Objectives))
	}
	total := sumSince(now, Window, c.Minutes)
	b.Reads = total.Reads
	b.ReplicaReads = total.ReplicaReads
	b.ReplicaShare = ratio(total.ReplicaReads, total.Reads)
	b.ReplicaMet = total.Reads == 0 || b.ReplicaShare >= b.ReplicaTarget
	b.BudgetLeft = 1 - b.rate("6h").Success
	b.Alert = b.alertLevel()
	return b
}

// sumSince adds up the minutes that start within the given duration before now.
func sumSince(now time.Time, duration time.Duration, minutes []MinuteCounts) MinuteCounts {
	cutoff := now.Add(-duration).Unix() / 60
	var total MinuteCounts
	for _, m := range minutes {
		if m.UnixMinute > cutoff {
			total = total.add(m)
		}
	}
	return total
}

func newRate(window string, counts MinuteCounts, o Objectives) Rate {
	return Rate{
		Window:   window,
		Requests: counts.Requests,
		Failed:   counts.Failed,
		Slow:     counts.Slow,
		Success:  burnRate(counts.Failed, counts.Requests, o.Success),
		Latency:  burnRate(counts.Slow, counts.Requests, o.Success),
	}
}

// burnRate returns the share of bad requests as a multiple of the share that the objective allows.
//
// An objective of 1 allows none; a share of 1e-6 then avoids a division by zero.
func burnRate(bad, total uint64, objective float64) float64 {
	budget := 1 - objective
	if budget <= 0 {
		budget = 1e-6
	}
	return ratio(bad, total) / budget
}

// ratio returns count/total, or 0 if total is 0.
func ratio(count, total uint64) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}

func (b Burn) rate(window string) Rate {
	for _, r := range b.Rates {
		if r.Window == window {
			return r
		}
	}
	return Rate{}
}

// alertLevel returns the most urgent alert for which both windows exceed the burn rate.
func (b Burn) alertLevel() Alert {
	maxBurnRate := func(window string) float64 {
		r := b.rate(window)
		return max(r.Success, r.Latency)
	}
	switch {
	case maxBurnRate("5m") > pageBurnRate && maxBurnRate("1h") > pageBurnRate:
		return AlertPage
	case maxBurnRate("30m") > ticketBurnRate && maxBurnRate("6h") > ticketBurnRate:
		return AlertTicket
	}
	return AlertNone
}

// NewFleetBurn returns the report on all customers together, measured against the strictest of their objectives.
func NewFleetBurn(now time.Time, customers []CustomerCounts) Burn {
	fleet := CustomerCounts{Name: "all customers", Objectives: Objectives{FailoverGap: time.Duration(1<<63 - 1)}}
	for _, c := range customers {
		fleet.Minutes = mergeMinutes(fleet.Minutes, c.Minutes)
		fleet.WorstGap = max(fleet.WorstGap, c.WorstGap)
		fleet.Objectives.Success = max(fleet.Objectives.Success, c.Objectives.Success)
		fleet.Objectives.ReplicaShare = max(fleet.Objectives.ReplicaShare, c.Objectives.ReplicaShare)
		fleet.Objectives.FailoverGap = min(fleet.Objectives.FailoverGap, c.Objectives.FailoverGap)
	}
	return NewBurn(now, fleet)
}
