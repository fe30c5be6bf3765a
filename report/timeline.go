package report

import (
	"fmt"
	"html/template"
	"io"
	"time"
)

// Timeline is a recorded run: the outcomes of the requests in consecutive windows of time, and the faults.
type Timeline struct {
	Title string
	// Window is the duration of each window.
	Window  time.Duration
	Windows []Outcomes
	Faults  []TimelineFault
	// DataCentres and Kinds split the outcomes of the whole run by the callers' data centre and by kind of request.
	DataCentres []Outcomes
	Kinds       []Outcomes
}

// Outcomes counts requests by outcome.
type Outcomes struct {
	Name string
	// InTime counts the requests answered within their latency target, Late those answered after it.
	InTime  int
	Late    int
	Refused int
	Failed  int
	P50     time.Duration
	P99     time.Duration
}

// Total returns the number of requests.
func (o Outcomes) Total() int { return o.InTime + o.Late + o.Refused + o.Failed }

// TimelineFault is a fault, or planned work, during a recorded run.
type TimelineFault struct {
	// From and To are times since the start of the run.
	From time.Duration
	To   time.Duration
	Kind string
	// Planned is true for planned work.
	Planned bool
}

// Sizes of the drawing in pixels; barHeight is the height of the tallest column.
const (
	timelineWidth = 1000
	barHeight     = 220
	faultHeight   = 18
)

// bar is a rectangle: one outcome in a window's column, a fault, or a tick of the time axis.
type bar struct {
	X, Y, Width, Height float64
	Class               string
	Text                string
}

// drawing is the data of the page's template; sizes and positions are in pixels.
type drawing struct {
	Timeline
	Width, BarHeight, Height float64
	Bars, Faults             []bar
	// Marks are the ticks of the time axis.
	Marks []bar
}

// layout computes the drawing of a timeline.
//
// Column heights are proportional to request counts; the window with the most requests has barHeight.
func (t Timeline) layout() drawing {
	d := drawing{Timeline: t, Width: timelineWidth, BarHeight: barHeight}
	maxTotal := 1
	for _, w := range t.Windows {
		maxTotal = max(maxTotal, w.Total())
	}
	end := time.Duration(len(t.Windows)) * t.Window
	for _, f := range t.Faults {
		end = max(end, f.To)
	}
	x := func(at time.Duration) float64 { return timelineWidth * float64(at) / float64(max(end, 1)) }
	for i, w := range t.Windows {
		y := float64(barHeight)
		for _, part := range []struct {
			class string
			count int
		}{{"in_time", w.InTime}, {"late", w.Late}, {"refused", w.Refused}, {"failed", w.Failed}} {
			height := barHeight * float64(part.count) / float64(maxTotal)
			y -= height
			d.Bars = append(d.Bars, bar{
				X: x(time.Duration(i) * t.Window), Y: y, Width: x(t.Window) - 1, Height: height, Class: part.class,
				Text: fmt.Sprintf("%v: %d %s of %d, p99 %v", time.Duration(i)*t.Window, part.count, part.class, w.Total(), w.P99),
			})
		}
	}
	for i, f := range t.Faults {
		class := "fault"
		if f.Planned {
			class = "planned"
		}
		d.Faults = append(d.Faults, bar{
			X: x(f.From), Y: barHeight + float64(i+1)*faultHeight, Width: max(2, x(f.To)-x(f.From)), Height: faultHeight - 4,
			Class: class, Text: fmt.Sprintf("%s, %v to %v", f.Kind, f.From, f.To),
		})
	}
	const tickInterval = 5 * time.Second
	for at := time.Duration(0); at <= end; at += tickInterval {
		d.Marks = append(d.Marks, bar{X: x(at), Text: at.String()})
	}
	d.Height = barHeight + float64(len(t.Faults)+2)*faultHeight
	return d
}

var timelineTemplate = template.Must(template.New("timeline").Funcs(template.FuncMap{
	"add": func(a, b float64) float64 { return a + b },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font-family:sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin-bottom:2em}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}
text{font-size:11px}
.in_time{fill:#7a7}.late{fill:#db5}.refused{fill:#68c}.failed{fill:#c33}.fault{fill:#c99}.planned{fill:#bbb}.mark{stroke:#eee}
</style></head><body>
<h1>{{.Title}}</h1>
<p>Requests per window of {{.Window}}: <svg width="12" height="12"><rect width="12" height="12" class="in_time"/></svg> in time,
<svg width="12" height="12"><rect width="12" height="12" class="late"/></svg> late,
<svg width="12" height="12"><rect width="12" height="12" class="refused"/></svg> refused,
<svg width="12" height="12"><rect width="12" height="12" class="failed"/></svg> failed. Below, faults and, in grey, planned work.</p>
<svg width="{{.Width}}" height="{{.Height}}">
{{$height := .Height}}{{range .Marks}}<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$height}}" class="mark"/><text x="{{add .X 2}}" y="{{add $height -4}}">{{.Text}}</text>
{{end}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" class="{{.Class}}"><title>{{.Text}}</title></rect>
{{end}}{{range .Faults}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" class="{{.Class}}"><title>{{.Text}}</title></rect><text x="{{add .X 4}}" y="{{add .Y 11}}">{{.Text}}</text>
{{end}}</svg>
{{define "table"}}<table><tr><th></th><th>requests</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>p50</th><th>p99</th></tr>
{{range .}}<tr><td>{{.Name}}</td><td>{{.Total}}</td><td>{{.InTime}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.P50}}</td><td>{{.P99}}</td></tr>
{{end}}</table>{{end}}
<h2>By kind of request</h2>{{template "table" .Kinds}}
<h2>By data centre of the callers</h2>{{template "table" .DataCentres}}
</body></html>
`))

// WriteTimeline writes a timeline as one self-contained HTML page.
func WriteTimeline(w io.Writer, t Timeline) error { return timelineTemplate.Execute(w, t.layout()) }
