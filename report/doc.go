// Package report measures service levels against the objectives of contracts.
//
// Counts holds request counts per customer and minute. Burn holds the multi-window
// burn rates that follow from the counts and the objectives, as in the Site
// Reliability Workbook (Beyer et al., 2018, chapter 5): a burn rate is the speed at
// which the error budget is used up, as a multiple of the speed that uses it up
// exactly. Burns are written as text, JSON or one HTML page. A Timeline holds the
// request outcomes and faults of a recorded run and is written as an HTML page.
package report
