package group_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/group"
)

func TestHistoryResolve(t *testing.T) {
	h := group.NewHistory(group.NewTermStart(2, 10), group.NewTermStart(3, 20), group.NewTermStart(5, 25))
	tests := []struct {
		name       string
		point      group.Point
		want       group.Point
		resolution group.Resolution
	}{
		{"current term", group.NewPoint(5, 99), group.NewPoint(5, 99), group.ResolutionSurvived},
		{"survived", group.NewPoint(2, 20), group.NewPoint(5, 20), group.ResolutionSurvived},
		{"survived skipped term", group.NewPoint(4, 25), group.NewPoint(5, 25), group.ResolutionSurvived},
		{"lost tail", group.NewPoint(2, 21), group.Point{}, group.ResolutionLost},
		{"lost tail of newer term", group.NewPoint(3, 26), group.Point{}, group.ResolutionLost},
		{"newer than history", group.NewPoint(6, 1), group.Point{}, group.ResolutionAhead},
		{"older than history", group.NewPoint(1, 1), group.Point{}, group.ResolutionExpired},
		{"unset", group.Point{}, group.NewPoint(5, 0), group.ResolutionSurvived},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, resolution := h.Resolve(test.point)
			if got != test.want || resolution != test.resolution {
				t.Errorf("Resolve(%v) = %v, %v; want %v, %v", test.point, got, resolution, test.want, test.resolution)
			}
		})
	}
}

func TestParseHistoryRejects(t *testing.T) {
	for _, text := range []string{"1", "x:1", "1:x", "2:1,1:5", "1:1,,"} {
		if _, err := group.ParseHistory(text); err == nil {
			t.Errorf("ParseHistory(%q) gave no error", text)
		}
	}
}

func FuzzParseHistory(f *testing.F) {
	f.Add("1:0,2:5")
	f.Fuzz(func(t *testing.T, text string) {
		h, err := group.ParseHistory(text)
		if err != nil {
			return
		}
		reparsed, err := group.ParseHistory(h.String())
		if err != nil || reparsed.String() != h.String() {
			t.Fatalf("round trip of %q: %q, %v", text, reparsed, err)
		}
	})
}
