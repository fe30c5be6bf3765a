// Package report measures service levels against the objectives of contracts.
//
// Counts keeps what happened per customer and minute. Burn turns counts and
// objectives into multi-window burn rates as in the Site Reliability Workbook
// (Beyer et al., 2018, chapter 5): how many times faster than allowed the error
// budget is being used. The results are written as text, JSON or one HTML page.
package report
