package check

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Report holds the result of the check of one file.
type Report struct {
	// File and Against name the sources of the configuration and of the version in force.
	File    string `json:"file"`
	Against string `json:"against,omitempty"`
	// Version is the configuration's version, or 0 if it could not be decoded.
	Version     uint64       `json:"version"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
}

// Worst returns the highest severity of the findings, or 0 if there are none.
func (r Report) Worst() Severity {
	var worst Severity
	for _, f := range r.Findings {
		worst = max(worst, f.Severity)
	}
	return worst
}

// count returns the number of findings of a severity.
func (r Report) count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// WriteText writes the report for people; it fails if w does.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: errors %d, warnings %d\n", r.File, r.count(SeverityError), r.count(SeverityWarning))
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: %s\n    remedy: %s\n", f.Severity, f.Place, f.Message, f.Remedy)
	}
	if r.Against != "" {
		fmt.Fprintf(&b, "differences from %s: %d\n", r.Against, len(r.Differences))
	}
	for _, d := range r.Differences {
		fmt.Fprintf(&b, "%s: %s\n", d.Change, d.Place)
		for _, f := range d.Fields {
			fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Name, f.Before, f.After)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// jsonReport is the form of a report as JSON.
type jsonReport struct {
	Report
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
}

// WriteJSON writes the report as one JSON object; it fails if w does.
func (r Report) WriteJSON(w io.Writer) error {
	out := jsonReport{Report: r, Errors: r.count(SeverityError), Warnings: r.count(SeverityWarning)}
	// Lists are written as [] rather than null.
	out.Findings = append([]Finding{}, r.Findings...)
	out.Differences = append([]Difference{}, r.Differences...)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(out)
}
