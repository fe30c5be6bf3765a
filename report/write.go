package report

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
)

// WriteText writes burns as a table in plain text.
func WriteText(w io.Writer, burns []Burn) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "customer\talert\tbudget left\t5m\t1h\t6h\treplica share\tworst gap")
	for _, b := range burns {
		fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.1f%% of %.0f%%\t%d ms of %d ms\n",
			b.Customer, b.Alert, 100*b.BudgetLeft,
			b.rate("5m").Success, b.rate("1h").Success, b.rate("6h").Success,
			100*b.ReplicaShare, 100*b.ReplicaTarget, b.WorstGapMillis, b.GapTargetMillis)
	}
	return t.Flush()
}

// WriteJSON writes burns as one JSON array.
func WriteJSON(w io.Writer, burns []Burn) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(burns)
}

// fullBarBurnRate is the burn rate that fills a bar of the HTML page.
const fullBarBurnRate = pageBurnRate

var burnTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"width":   func(v float64) float64 { return min(100, 100*v/fullBarBurnRate) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font-family:sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin-bottom:2em}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:left}
.page{background:#fbb}.ticket{background:#fe9}.none{background:#dfd}
svg{vertical-align:middle}
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn of 1 uses up the error budget exactly; a full bar is the rate that pages.</p>
{{range .}}<h2>{{.Customer}}</h2>
<p class="{{.Alert}}">Alert: {{.Alert}}. Budget left over 6 h: {{percent .BudgetLeft}}.
Reads on replicas: {{percent .ReplicaShare}} (objective {{percent .ReplicaTarget}}).
Longest failover gap: {{.WorstGapMillis}} ms (objective {{.GapTargetMillis}} ms).</p>
<table><tr><th>window</th><th>requests</th><th>failed</th><th>slow</th><th>success burn</th><th>latency burn</th></tr>
{{range .Rates}}<tr><td>{{.Window}}</td><td>{{.Requests}}</td><td>{{.Failed}}</td><td>{{.Slow}}</td>
<td><svg width="100" height="12"><rect width="100" height="12" fill="#eee"/><rect width="{{width .Success}}" height="12" fill="#c33"/></svg> {{printf "%.2f" .Success}}</td>
<td><svg width="100" height="12"><rect width="100" height="12" fill="#eee"/><rect width="{{width .Latency}}" height="12" fill="#36c"/></svg> {{printf "%.2f" .Latency}}</td></tr>
{{end}}</table>
{{end}}</body></html>
`))

// WriteHTML writes burns as one self-contained HTML page.
func WriteHTML(w io.Writer, burns []Burn) error { return burnTemplate.Execute(w, burns) }
