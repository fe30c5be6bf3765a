package experiment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/monsoontiller/monsoontiller/experiment"
)

// matrixFile writes a description of three builds in which each run appends a line to the file runs, and returns its path.
func matrixFile(t *testing.T, command string) string {
	t.Helper()
	directory := t.TempDir()
	text := fmt.Sprintf("command = [\"sh\", \"-c\", %q, \"{case}\", \"{seed}\", \"{report}\"]\njobs = 2\nresults = \"results.jsonl\"\n", command)
	for n, name := range []string{"base", "first way", "second way"} {
		build := filepath.Join(directory, name)
		if err := os.Mkdir(build, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(build, "value"), fmt.Appendf(nil, "%d", 10*n), 0o644); err != nil {
			t.Fatal(err)
		}
		text += fmt.Sprintf("[[build]]\nname = %q\ndirectory = %q\n", name, build)
	}
	text += "[[case]]\nname = \"a\"\nseeds = [1, 2, 3]\n[[case]]\nname = \"b\"\nseeds = [4]\n[[measure]]\nname = \"worth\"\npath = \"worth\"\n"
	path := filepath.Join(directory, "matrix.toml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// reportWorth writes a report whose number is that of the build plus the seed, and counts the run.
const reportWorth = `echo "$0 $1" >> ../runs; echo "{\"worth\": $(($(cat value) + $1))}" > "$2"`

func TestMatrixComparesEachBuildWithTheFirst(t *testing.T) {
	m, err := experiment.ReadMatrix(matrixFile(t, reportWorth))
	if err != nil {
		t.Fatal(err)
	}
	results, err := m.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	differences := m.Differences(results)
	got := map[string]float64{}
	for _, d := range differences {
		got[d.Build+" "+d.Case] = d.Difference.Mean
	}
	for build, want := range map[string]float64{"first way": 10, "second way": 20} {
		for _, name := range []string{"a", "b", experiment.AllCases} {
			if got[build+" "+name] != want {
				t.Errorf("%s, case %s: difference %v, want %v", build, name, got[build+" "+name], want)
			}
		}
	}
	// A single pair has no interval, which JSON can not express as a number.
	if _, err := json.Marshal(differences); err != nil {
		t.Error(err)
	}
	plot := filepath.Join(t.TempDir(), "plot.svg")
	if err := experiment.PlotMatrix(differences, plot); err != nil {
		t.Error(err)
	}
}

// Guards against hours of runs that are repeated because one of them failed, or because the comparison was stopped while it wrote
// a result.
func TestMatrixContinuesAfterFailure(t *testing.T) {
	path := matrixFile(t, `if [ "$1" = 3 ] && [ ! -e ../mended ]; then exit 1; fi; `+reportWorth)
	m, err := experiment.ReadMatrix(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Run(context.Background(), nil); err == nil || !strings.Contains(err.Error(), "seed 3") {
		t.Fatalf("error %v, want one that names the seed of the failed run", err)
	}
	directory := filepath.Dir(path)
	results, err := os.OpenFile(filepath.Join(directory, "results.jsonl"), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := results.WriteString(`{"build":"ba`); err != nil {
		t.Fatal(err)
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "mended"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	all, err := m.Run(context.Background(), nil)
	if err != nil || len(all) != 12 {
		t.Fatalf("%d results, %v, want 12", len(all), err)
	}
	runs, err := os.ReadFile(filepath.Join(directory, "runs"))
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(runs), "\n"); n != 12 {
		t.Errorf("%d runs, want each of 12 once", n)
	}
	if again, err := m.Run(context.Background(), nil); err != nil || len(again) != 12 {
		t.Errorf("%d results, %v after a result that was cut off, want 12", len(again), err)
	}
}

// Guards against hours of runs whose results are empty, because a path of the description does not exist in the reports.
func TestMatrixFailsWithoutAnyMeasure(t *testing.T) {
	m, err := experiment.ReadMatrix(matrixFile(t, `echo "{\"other\": 1}" > "$2"`))
	if err != nil {
		t.Fatal(err)
	}
	if results, err := m.Run(context.Background(), nil); err == nil || len(results) > 0 {
		t.Errorf("%d results, error %v, want an error", len(results), err)
	}
}

func TestReadMatrixNamesThePlaceOfAnError(t *testing.T) {
	good, err := os.ReadFile(matrixFile(t, reportWorth))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", "jobs = 2", "jbos = 2", "line 2: unknown key jbos"},
		{"wrong type", "jobs = 2", `jobs = "2"`, "line 2"},
		{"too many jobs", "jobs = 2", "jobs = 200", "jobs is 200"},
		{"no seeds", "seeds = [4]", "seeds = []", `case 2 ("b")`},
		{"build twice", `name = "first way"`, `name = "base"`, `build 2 ("base")`},
		{"no report", "{report}", "report", "{report}"},
		{"measure without a path", `path = "worth"`, `path = ""`, `measure 1 ("worth")`},
	} {
		path := filepath.Join(t.TempDir(), "matrix.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(string(good), c.old, c.new, 1)), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := experiment.ReadMatrix(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one that contains %q", c.name, err, c.want)
		}
	}
}
