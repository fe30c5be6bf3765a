package experiment_test

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/experiment"
)

func TestReadMeasures(t *testing.T) {
	report := []byte(`{"worth": 0.5, "broken": {}, "windows": [{"name": "0", "worth": 1}, {"worth": 0.25}], "parts": [["day", 0.35]]}`)
	var measures []experiment.Measure
	for _, text := range []string{"worth=worth", "broken=broken", "window=windows.*.worth", "day=parts.0.1", "missing=a.b"} {
		m, err := experiment.ParseMeasure(text)
		if err != nil {
			t.Fatal(err)
		}
		measures = append(measures, m)
	}
	got, err := experiment.ReadMeasures(report, measures)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{"worth": 0.5, "broken": 0, "window 0": 1, "window 1": 0.25, "day": 0.35}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParseMeasureRejectsMissingPath(t *testing.T) {
	if _, err := experiment.ParseMeasure("worth"); err == nil {
		t.Error("a measure without a path was accepted")
	}
}

// The interval of the differences 1, 2, 3 is 2 +/- 4.303 * 1/sqrt(3).
func TestCompareUsesPairedDifferences(t *testing.T) {
	pair := func(base, change float64) experiment.Pair {
		return experiment.Pair{Base: map[string]float64{"m": base}, Change: map[string]float64{"m": change}}
	}
	d := experiment.Compare("m", []experiment.Pair{pair(10, 11), pair(100, 102), pair(1000, 1003)})
	if d.Mean != 2 || math.Abs(d.Margin-2.484) > 0.001 || d.Significant() {
		t.Errorf("difference %+v", d)
	}
}

func TestRunPairedRunsEveryCaseAndSeedInBothDirectories(t *testing.T) {
	base, change := t.TempDir(), t.TempDir()
	for directory, text := range map[string]string{base: "1", change: "3"} {
		if err := os.WriteFile(filepath.Join(directory, "value"), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	pairs, err := experiment.RunPaired(context.Background(), experiment.PairedConfig{
		Base: base, Change: change, Cases: []string{"a", "b"}, Seeds: []uint64{7}, Jobs: 2,
		Command:  []string{"sh", "-c", `echo "{\"v\": $(cat value), \"s\": {seed}}" > {report}`},
		Measures: []experiment.Measure{{Name: "v", Path: []string{"v"}}, {Name: "s", Path: []string{"s"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []experiment.Pair{
		{Case: "a", Seed: 7, Base: map[string]float64{"v": 1, "s": 7}, Change: map[string]float64{"v": 3, "s": 7}},
		{Case: "b", Seed: 7, Base: map[string]float64{"v": 1, "s": 7}, Change: map[string]float64{"v": 3, "s": 7}},
	}
	if diff := cmp.Diff(want, pairs); diff != "" {
		t.Error(diff)
	}
}
