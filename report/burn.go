package report

import (
	"sort"
	"time"
)

// Objectives are the service levels promised to a customer.
type Objectives struct {
	Success      float64
	ReplicaShare float64
	Latency      time.Duration
	FailoverGap  time.Duration
}

// Customer is what is known of one customer on one or more instances.
type Customer struct {
	Name       string
	Objectives Objectives
	Minutes    []Minute
	WorstGap   time.Duration
}

// Merge adds up the customers of several instances by name.
func Merge(parts ...[]Customer) []Customer {
	byName := map[string]*Customer{}
	for _, part := range parts {
		for _, c := range part {
			held := byName[c.Name]
			if held == nil {
				held = &Customer{Name: c.Name, Objectives: c.Objectives}
				byName[c.Name] = held
			}
			held.Minutes = mergeMinutes(held.Minutes, c.Minutes)
			held.WorstGap = max(held.WorstGap, c.WorstGap)
		}
	}
	out := make([]Customer, 0, len(byName))
	for _, c := range byName {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// mergeMinutes adds up counts by minute; a gap that several instances saw counts once.
func mergeMinutes(a, b []Minute) []Minute {
	byMinute := map[int64]Minute{}
	for _, m := range append(append([]Minute(nil), a...), b...) {
		held := byMinute[m.UnixMinute]
		gap := max(held.Gap, m.Gap)
		held = held.add(m)
		held.Gap = gap
		byMinute[m.UnixMinute] = held
	}
	out := make([]Minute, 0, len(byMinute))
	for _, m := range byMinute {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].UnixMinute < out[j].UnixMinute })
	return out
}

// Rate is the burn of one window.
type Rate struct {
	Window   string  `json:"window"`
	Requests uint64  `json:"requests"`
	Failed   uint64  `json:"failed"`
	Slow     uint64  `json:"slow"`
	Success  float64 `json:"success_burn"`
	Latency  float64 `json:"latency_burn"`
}

// Alert is what the burn rates call for.
type Alert string

// The alerts, by urgency.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Burn is the service-level report of one customer.
type Burn struct {
	Customer        string  `json:"customer"`
	Success         float64 `json:"objective_success"`
	Rates           []Rate  `json:"rates"`
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

// windows are the spans over which burn is measured.
var windows = []struct {
	name string
	span time.Duration
}{
	{"5m", 5 * time.Minute},
	{"30m", 30 * time.Minute},
	{"1h", time.Hour},
	{"6h", Window},
}

// Burn rates at which the workbook pages or files a ticket, on a long and a short window together.
const (
	pageBurn   = 14.4
	ticketBurn = 6
)

// NewBurn returns the report of one customer as of now.
func NewBurn(now time.Time, c Customer) Burn {
	b := Burn{
		Customer:        c.Name,
		Success:         c.Objectives.Success,
		ReplicaTarget:   c.Objectives.ReplicaShare,
		GapTargetMillis: c.Objectives.FailoverGap.Milliseconds(),
		WorstGapMillis:  c.WorstGap.Milliseconds(),
		GapMet:          c.WorstGap <= c.Objectives.FailoverGap,
	}
	for _, w := range windows {
		b.Rates = append(b.Rates, newRate(w.name, sum(now, w.span, c.Minutes), c.Objectives))
	}
	all := sum(now, Window, c.Minutes)
	b.Reads = all.Reads
	b.ReplicaReads = all.ReplicaReads
	b.ReplicaShare = share(all.ReplicaReads, all.Reads)
	b.ReplicaMet = all.Reads == 0 || b.ReplicaShare >= b.ReplicaTarget
	b.BudgetLeft = 1 - b.rate("6h").Success
	b.Alert = b.alert()
	return b
}

func sum(now time.Time, span time.Duration, minutes []Minute) Minute {
	first := now.Add(-span).Unix() / 60
	var total Minute
	for _, m := range minutes {
		if m.UnixMinute > first {
			total = total.add(m)
		}
	}
	return total
}

func newRate(name string, m Minute, o Objectives) Rate {
	return Rate{
		Window:   name,
		Requests: m.Requests,
		Failed:   m.Failed,
		Slow:     m.Slow,
		Success:  burn(m.Failed, m.Requests, o.Success),
		Latency:  burn(m.Slow, m.Requests, o.Success),
	}
}

// burn returns how many times the allowed share of bad requests there were.
func burn(bad, all uint64, objective float64) float64 {
	budget := 1 - objective
	if budget <= 0 {
		budget = 1e-6
	}
	return share(bad, all) / budget
}

func share(part, all uint64) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

func (b Burn) rate(window string) Rate {
	for _, r := range b.Rates {
		if r.Window == window {
			return r
		}
	}
	return Rate{}
}

func (b Burn) alert() Alert {
	worst := func(window string) float64 {
		r := b.rate(window)
		return max(r.Success, r.Latency)
	}
	switch {
	case worst("5m") > pageBurn && worst("1h") > pageBurn:
		return AlertPage
	case worst("30m") > ticketBurn && worst("6h") > ticketBurn:
		return AlertTicket
	}
	return AlertNone
}

// Fleet returns the report over all customers together, with the strictest of their objectives.
func Fleet(now time.Time, customers []Customer) Burn {
	all := Customer{Name: "all customers", Objectives: Objectives{FailoverGap: time.Duration(1<<63 - 1)}}
	for _, c := range customers {
		all.Minutes = mergeMinutes(all.Minutes, c.Minutes)
		all.WorstGap = max(all.WorstGap, c.WorstGap)
		all.Objectives.Success = max(all.Objectives.Success, c.Objectives.Success)
		all.Objectives.ReplicaShare = max(all.Objectives.ReplicaShare, c.Objectives.ReplicaShare)
		all.Objectives.FailoverGap = min(all.Objectives.FailoverGap, c.Objectives.FailoverGap)
	}
	return NewBurn(now, all)
}
