package main

import "strings"

// unasked returns the statements that members ran and no client sent, or that were sent with another text.
func (w *world) unasked(sent *sentTexts) []string {
	var found []string
	for _, e := range w.executions() {
		if e.ID == "-" || !e.Signed() {
			continue
		}
		text := e.Text
		if rest, ok := strings.CutPrefix(text, "MINLSN "); ok {
			_, text, _ = strings.Cut(rest, " ")
		}
		if original, ok := sent.get(e.ID); !ok || original != text {
			found = append(found, e.ID+" "+shorten(e.Text))
		}
	}
	return found
}
