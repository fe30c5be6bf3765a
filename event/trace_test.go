package event_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/event"
)

const logs = `  13.01 one {"ts":"2026-08-14T01:11:12.5Z","instance":"one","msg":"endpoint_part","group":"g1","endpoint":"e1","role":"primary"}
{"ts":"2026-08-14T01:11:13.0Z","instance":"one","msg":"statement_refused","id":"q7","account":"a1","endpoint":"e1","reason":"in_doubt"}
{"ts":"2026-08-14T01:11:12.9Z","instance":"two","msg":"primary_suspected","subject":"group/g1","evidence":"silent"}
{"ts":"2026-08-14T01:11:12.9Z","instance":"two","msg":"primary_suspected","subject":"group/g2","evidence":"silent"}
{"ts":"2026-08-14T01:11:30.0Z","instance":"two","msg":"primary_promoted","subject":"group/g1"}
{"ts":"2026-08-14T01:11:12.0Z","instance":"one","msg":"store_lost","table":"op"}
{"ts":"2026-08-14T01:11:12.0Z","instance":"two","msg":"store_lost","table":"op"}
{"ts":"2026-08-14T01:11:13.1Z","instance":"one","msg":"statement_refused","id":"q8","endpoint":"e1"}
{"ts":"2026-08-14T01:11:13.2Z","instance":"one","msg":"quota_exhausted","account":"a1"}
{"ts":"2026-08-14T01:11:13.2Z","instance":"one","msg":"quota_exhausted","account":"a2"}
{"ts":"2026-08-14T01:11:13.2Z","instance":"two","msg":"quota_exhausted","account":"a1"}
not a line of a log {
`

func TestTraceExplainsRequest(t *testing.T) {
	trace := event.NewTrace()
	if err := trace.Read(strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range trace.Explain("q7") {
		got = append(got, l.Instance+" "+l.Message)
	}
	want := []string{"one store_lost", "one endpoint_part", "two primary_suspected", "one statement_refused", "one quota_exhausted"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if got := trace.Explain("q9"); got != nil {
		t.Errorf("Explain of an unknown request returned %v, want nil", got)
	}
}
